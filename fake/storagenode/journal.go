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

// A data set from OpenDataset keeps a journal in its directory, which also has the blob files. The
// journal is a file of JSON lines, one for each change. A process that opens the directory later
// replays the journal. It ignores and removes an incomplete last line.

const journalName = "journal"

// Kinds of changes, as the field What of a journal entry names them.
const (
	entryBucket       = "bucket"
	entryDeleteBucket = "unbucket"
	entryPut          = "put"
	entryDelete       = "delete"
	entryUpload       = "upload"
	entryPart         = "part"
	entryEndUpload    = "end"
)

// journalEntry is one change of a data set.
type journalEntry struct {
	What   string            `json:"What"`
	Bucket string            `json:"Bucket"`
	Key    string            `json:"Key,omitempty"`
	ID     string            `json:"ID,omitempty"` // upload ID
	Part   int               `json:"Part,omitempty"`
	At     time.Time         `json:"At,omitempty"`
	Header map[string]string `json:"Header,omitempty"`
	Object *objectRecord     `json:"Object,omitempty"`
}

// objectRecord is the form in which the journal stores an object or a part of an upload.
type objectRecord struct {
	Files    []string          `json:"Files,omitempty"`
	Sizes    []int64           `json:"Sizes,omitempty"`
	Size     int64             `json:"Size"`
	ETag     string            `json:"ETag"`
	Modified time.Time         `json:"Modified"`
	Header   map[string]string `json:"Header,omitempty"`
	Sum      string            `json:"Sum,omitempty"`   // header name of the checksum
	Value    string            `json:"Value,omitempty"` // value of the checksum
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

// object returns the object of a record, with its blob files in dir. The record has the paths that the files had
// when it was written. Only their base names are used, because the directory may have been moved since then.
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

// OpenDataset opens the data set in a directory and creates the directory if necessary. It fails if
// the data set is already open, in this or another process. An empty directory is an empty data set.
func OpenDataset(dir string) (*Dataset, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create data set directory: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, journalName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open data set: %w", err)
	}
	d := NewDataset(dir)
	if err := d.openJournal(f); err != nil {
		_ = f.Close() // the caller gets err, which is the cause
		return nil, fmt.Errorf("open data set %s: %w", dir, err)
	}
	return d, nil
}

// openJournal locks and replays a journal file, and removes its last line if that is incomplete.
func (d *Dataset) openJournal(f *os.File) error {
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return fmt.Errorf("lock journal, which another node may have open: %w", err)
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

// Close closes the journal, so that another node can open the directory. Changes after Close are not written to the
// journal.
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

// appendJournal writes a change to the journal if the data set has one. The caller must hold mu. It panics
// on a write error, because the node must not confirm a change that is missing after a restart.
func (d *Dataset) appendJournal(entry journalEntry) {
	if d.journal == nil {
		return
	}
	b, err := json.Marshal(entry)
	if err == nil {
		_, err = d.journal.Write(append(b, '\n'))
	}
	if err != nil {
		panic(fmt.Sprintf("storage node: append to journal: %v", err))
	}
}

// replay applies the entries of a journal and returns the offset at which its last complete line ends.
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
		var entry journalEntry
		if err := json.Unmarshal(line, &entry); err != nil {
			return end, fmt.Errorf("journal line %d: %w", n, err)
		}
		d.apply(entry)
		end += int64(len(line))
	}
}

// apply applies one journal entry to the data set.
func (d *Dataset) apply(entry journalEntry) {
	switch b := d.buckets[entry.Bucket]; entry.What {
	case entryBucket:
		d.buckets[entry.Bucket] = newBucket(entry.At)
	case entryDeleteBucket:
		delete(d.buckets, entry.Bucket)
	case entryPut:
		b.objects[entry.Key] = entry.Object.object(d.dir)
	case entryDelete:
		delete(b.objects, entry.Key)
	case entryUpload:
		d.uploads[entry.ID] = &upload{
			bucket:  entry.Bucket,
			key:     entry.Key,
			started: entry.At,
			header:  entry.Header,
			parts:   map[int]*object{},
		}
	case entryPart:
		if u := d.uploads[entry.ID]; u != nil {
			u.parts[entry.Part] = entry.Object.object(d.dir)
		}
	case entryEndUpload:
		delete(d.uploads, entry.ID)
	}
}
