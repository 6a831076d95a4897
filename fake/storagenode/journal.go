package storagenode

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// A data set in a directory keeps a journal of its changes, as JSON lines, beside the files with
// the objects' bytes. A process that takes the directory over replays it; an incomplete last line
// counts as not written.

const journalName = "journal"

// Kinds of changes in the journal.
const (
	entryBucket       = "bucket"
	entryDeleteBucket = "unbucket"
	entryPut          = "put"
	entryDelete       = "delete"
	entryUpload       = "upload"
	entryPart         = "part"
	entryEndUpload    = "end"
)

// journalEntry is one change.
type journalEntry struct {
	What   string            `json:"What"`
	Bucket string            `json:"Bucket"`
	Key    string            `json:"Key,omitempty"`
	ID     string            `json:"ID,omitempty"` // of an upload
	Part   int               `json:"Part,omitempty"`
	At     time.Time         `json:"At,omitempty"`
	Header map[string]string `json:"Header,omitempty"`
	Object *objectRecord     `json:"Object,omitempty"`
}

// objectRecord is an object in the journal.
type objectRecord struct {
	Files    []string          `json:"Files,omitempty"`
	Sizes    []int64           `json:"Sizes,omitempty"`
	Size     int64             `json:"Size"`
	ETag     string            `json:"ETag"`
	Modified time.Time         `json:"Modified"`
	Header   map[string]string `json:"Header,omitempty"`
	Sum      string            `json:"Sum,omitempty"`   // header name of the checksum
	Value    string            `json:"Value,omitempty"` // of the checksum
	Parts    []int64           `json:"Parts,omitempty"`
}

func (o *object) record() *objectRecord {
	return &objectRecord{
		Files:    o.blob.files,
		Sizes:    o.blob.sizes,
		Size:     o.blob.size,
		ETag:     o.etag,
		Modified: o.modified,
		Header:   o.header,
		Sum:      o.sum.name,
		Value:    o.sum.value,
		Parts:    o.parts,
	}
}

// object returns the object of a record. Its files are looked for in dir, whatever directory the
// record names: that is where they were when it was written, and the directory may have been moved.
func (r *objectRecord) object(dir string) *object {
	var files []string
	for _, name := range r.Files {
		files = append(files, filepath.Join(dir, filepath.Base(name)))
	}
	return &object{
		blob:     blob{files: files, sizes: r.Sizes, size: r.Size},
		etag:     r.ETag,
		modified: r.Modified,
		header:   r.Header,
		sum:      checksum{name: r.Sum, value: r.Value},
		parts:    r.Parts,
	}
}

// OpenDataset opens the data set of a directory, which no other process may have open. An empty
// directory is an empty shard.
func OpenDataset(dir string) (*Dataset, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("data set: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, journalName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("data set: %w", err)
	}
	d := NewDataset(dir)
	if err := d.openJournal(f); err != nil {
		_ = f.Close() // err says more
		return nil, fmt.Errorf("data set %s: %w", dir, err)
	}
	return d, nil
}

// openJournal locks a journal, replays it and cuts off an incomplete last line.
func (d *Dataset) openJournal(f *os.File) error {
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("another node holds it: %w", err)
	}
	end, err := d.replay(f)
	if err != nil {
		return err
	}
	if err := f.Truncate(end); err != nil {
		return err
	}
	if _, err := f.Seek(end, io.SeekStart); err != nil {
		return err
	}
	d.journal = f
	return nil
}

// Close releases the directory for a successor.
func (d *Dataset) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.journal == nil {
		return nil
	}
	err := d.journal.Close()
	d.journal = nil
	return err
}

// appendJournal writes a change to the journal, if there is one. It is called with mu held, and panics
// if it fails, as the node must not confirm a change that its successor would not see.
func (d *Dataset) appendJournal(c journalEntry) {
	if d.journal == nil {
		return
	}
	b, err := json.Marshal(c)
	if err == nil {
		_, err = d.journal.Write(append(b, '\n'))
	}
	if err != nil {
		panic(fmt.Sprintf("storage node: journal: %v", err))
	}
}

// replay reads the journal and returns where its last whole line ends.
func (d *Dataset) replay(r io.Reader) (int64, error) {
	br := bufio.NewReader(r)
	end := int64(0)
	for n := 1; ; n++ {
		line, err := br.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return end, nil
		}
		if err != nil {
			return end, err
		}
		var c journalEntry
		if err := json.Unmarshal(line, &c); err != nil {
			return end, fmt.Errorf("journal, line %d: %w", n, err)
		}
		d.apply(c)
		end += int64(len(line))
	}
}

// apply replays one change.
func (d *Dataset) apply(c journalEntry) {
	switch b := d.buckets[c.Bucket]; c.What {
	case entryBucket:
		d.buckets[c.Bucket] = newBucket(c.At)
	case entryDeleteBucket:
		delete(d.buckets, c.Bucket)
	case entryPut:
		b.objects[c.Key] = c.Object.object(d.dir)
	case entryDelete:
		delete(b.objects, c.Key)
	case entryUpload:
		d.uploads[c.ID] = &upload{
			bucket:  c.Bucket,
			key:     c.Key,
			started: c.At,
			header:  c.Header,
			parts:   map[int]*object{},
		}
	case entryPart:
		if u := d.uploads[c.ID]; u != nil {
			u.parts[c.Part] = c.Object.object(d.dir)
		}
	case entryEndUpload:
		delete(d.uploads, c.ID)
	}
}
