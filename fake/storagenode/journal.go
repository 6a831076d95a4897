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

// A data set in a directory keeps a journal of what changed, a JSON line a change,
// beside the files with the objects' bytes. A node process that takes the directory
// over reads it from its start; a last line that broke off counts as not written.

const journalName = "journal"

type journalEntry struct {
	What   string            `json:"What"` // bucket, unbucket, put, delete, upload, part, end
	Bucket string            `json:"Bucket"`
	Key    string            `json:"Key,omitempty"`
	ID     string            `json:"ID,omitempty"` // of an upload
	Part   int               `json:"Part,omitempty"`
	At     time.Time         `json:"At,omitempty"`
	Header map[string]string `json:"Header,omitempty"`
	Object *objectRecord           `json:"Object,omitempty"`
}

// objectRecord is an object as the journal has it.
type objectRecord struct {
	Files    []string          `json:"Files,omitempty"`
	Sizes    []int64           `json:"Sizes,omitempty"`
	Size     int64             `json:"Size"`
	ETag     string            `json:"ETag"`
	Modified time.Time         `json:"Modified"`
	Header   map[string]string `json:"Header,omitempty"`
	Sum      string            `json:"Sum,omitempty"`
	Value    string            `json:"Value,omitempty"`
	Parts    []int64           `json:"Parts,omitempty"`
}

func (o *object) record() *objectRecord {
	return &objectRecord{o.blob.files, o.blob.sizes, o.blob.size, o.etag, o.modified, o.header, o.sum.name, o.sum.value, o.parts}
}

func (r *objectRecord) object() *object {
	return &object{
		blob: blob{files: r.Files, sizes: r.Sizes, size: r.Size}, etag: r.ETag, modified: r.Modified, header: r.Header,
		sum: checksum{r.Sum, r.Value}, parts: r.Parts,
	}
}

// OpenDataset opens the data set of a directory, which no other process may have
// open. An empty directory is an empty shard.
func OpenDataset(dir string) (*Dataset, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("data set: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, journalName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("data set: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("data set %s: another node holds it: %w", dir, err)
	}
	d := NewDataset(dir)
	end, err := d.replay(f)
	if err == nil {
		err = f.Truncate(end)
	}
	if err == nil {
		_, err = f.Seek(end, io.SeekStart)
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("data set %s: %w", dir, err)
	}
	d.journal = f
	return d, nil
}

// Close gives the directory free for a successor.
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

// appendJournal writes a change. Called with mu held.
func (d *Dataset) appendJournal(c journalEntry) {
	if d.journal == nil {
		return
	}
	b, err := json.Marshal(c)
	if err == nil {
		_, err = d.journal.Write(append(b, '\n'))
	}
	if err != nil { // a stand-in that cannot keep its word must not give it
		panic(fmt.Sprintf("storage: journal: %v", err))
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

func (d *Dataset) apply(c journalEntry) {
	switch b := d.buckets[c.Bucket]; c.What {
	case "bucket":
		d.buckets[c.Bucket] = &bucket{created: c.At, objects: map[string]*object{}}
	case "unbucket":
		delete(d.buckets, c.Bucket)
	case "put":
		b.objects[c.Key] = c.Object.object()
	case "delete":
		delete(b.objects, c.Key)
	case "upload":
		d.uploads[c.ID] = &upload{bucket: c.Bucket, key: c.Key, started: c.At, header: c.Header, parts: map[int]*object{}}
	case "part":
		if u := d.uploads[c.ID]; u != nil {
			u.parts[c.Part] = c.Object.object()
		}
	case "end":
		delete(d.uploads, c.ID)
	}
}
