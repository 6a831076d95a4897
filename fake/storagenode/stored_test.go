package storagenode

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// directoryMark is the placeholder for the data directory in the journal below testdata. A journal contains the full
// paths of blob files.
const directoryMark = "@DIR@"

// storedDataset copies the data set below testdata into a temporary directory and returns the directory.
func storedDataset(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob("testdata/dataset/*")
	if err != nil || len(files) == 0 {
		t.Fatal("found no files of the stored data set in testdata/dataset:", err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if filepath.Base(f) == journalName {
			b = bytes.ReplaceAll(b, []byte(directoryMark), []byte(dir))
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(f)), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// A data set that an earlier build wrote can still be opened. It has the same objects, with their headers
// and byte for byte, and the same open uploads.
func TestStoredDataset(t *testing.T) {
	dir := storedDataset(t)
	d, err := OpenDataset(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	n := startNode(t, d, Config{ID: "a"})
	text := "hello, storage node\n"
	long, err := os.ReadFile("testdata/dataset/blob-25768-1796290101710915798-2")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		path   string
		status int
		body   string
	}{
		{"/photos/a.txt", 200, text},
		{"/photos/dir/b.txt", 200, string(long)},
		{"/photos/multi.bin", 200, text},
		{"/photos/gone.txt", 404, ""},
		{"/old", 404, ""},
	} {
		t.Run(c.path, func(t *testing.T) {
			status, body := request(t, n, "GET", c.path, "")
			if status != c.status || status == 200 && body != c.body {
				t.Errorf("GET: got status %d and %d bytes, want %d and the stored %d bytes", status, len(body), c.status, len(c.body))
			}
		})
	}
	o, e := d.get("photos", "a.txt")
	if e != nil || o.etag != "17d4f96a28e154f4d3078a24cffab007" || o.header["X-Amz-Meta-Camera"] != "north" ||
		o.modified.IsZero() {
		t.Errorf("photos/a.txt: got object %+v and error %v, want the stored ETag, camera header and modification time", o, e)
	}
	if o, e := d.get("photos", "multi.bin"); e != nil || !slices.Equal(o.parts, []int64{20}) {
		t.Errorf("photos/multi.bin: got object %+v and error %v, want one part of 20 bytes", o, e)
	}
	if len(d.uploads) != 1 {
		t.Errorf("got %d open uploads, want 1", len(d.uploads))
	}
	for _, u := range d.uploads {
		if u.key != "open.bin" || u.started.IsZero() || u.parts[2] == nil || u.parts[2].blob.size != int64(len(long)) {
			t.Errorf("got open upload %+v, want key open.bin, a start time and the stored part 2", u)
		}
	}
}

// The journal has the same field names and kinds of changes as journals of earlier builds.
func TestJournalNames(t *testing.T) {
	dir := t.TempDir()
	d, err := OpenDataset(dir)
	if err != nil {
		t.Fatal(err)
	}
	n := startNode(t, d, Config{ID: "a"})
	request(t, n, "PUT", "/photos", "")
	request(t, n, "PUT", "/photos/k", "text")
	request(t, n, "POST", "/photos/big?uploads", "")
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	journal, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(journal), "\n")
	for i, want := range []string{
		`{"What":"bucket","Bucket":"photos","At":"`,
		`{"What":"put","Bucket":"photos","Key":"k","At":"0001-01-01T00:00:00Z","Object":{"Files":["` + dir,
		`{"What":"upload","Bucket":"photos","Key":"big","ID":"`,
	} {
		if !strings.HasPrefix(lines[i], want) {
			t.Errorf("journal line %d: got %s, want it to start with %s", i+1, lines[i], want)
		}
	}
	for _, name := range []string{`"Sizes":[4]`, `"Size":4`, `"ETag":"`, `"Modified":"`, `"Header":{`} {
		if !strings.Contains(lines[1], name) {
			t.Errorf("%s is missing in the journal line %s", name, lines[1])
		}
	}
	record, err := json.Marshal((&object{sum: checksum{name: "crc32", value: "AAAA"}, parts: []int64{1, 2}}).record())
	if want := `"Sum":"crc32","Value":"AAAA","Parts":[1,2]}`; err != nil || !strings.HasSuffix(string(record), want) {
		t.Errorf("marshaled record: got %s and error %v, want it to end with %s", record, err, want)
	}
}

// A stored fault script with every kind of fault is parsed completely.
func TestStoredFaultScript(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.json")
	if err != nil {
		t.Fatal(err)
	}
	script, err := ParseScript(text)
	if err != nil || len(script) != 10 {
		t.Fatalf("got %d entries and error %v, want 10 entries", len(script), err)
	}
	want := ScriptedFault{AtMS: 60000, ForMS: 1000, Kind: "stall", Share: 0.5, Method: "GET", Path: "/photos/"}
	if script[0] != want || script[7].Factor != 2.5 || script[2].Count != 2 {
		t.Errorf("got script %+v, want the entries of testdata/faults.json", script)
	}
	kinds := []FaultKind{
		Stall, StallInResponse, Reject, ServerError, ResetConnection, LoseResponse, TruncateResponse, Slow, Pause, Exit,
	}
	for i, s := range script {
		if faultNames[s.Kind] != kinds[i] {
			t.Errorf("fault name %q: got kind %v, want %v", s.Kind, faultNames[s.Kind], kinds[i])
		}
	}
}
