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

// directoryMark stands for the directory in the stored journal, which names its blobs by
// their full paths.
const directoryMark = "@DIR@"

// storedDataset copies the stored data set into a directory of the test's own.
func storedDataset(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob("testdata/dataset/*")
	if err != nil || len(files) == 0 {
		t.Fatal("no stored data set", err)
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

// A data set that an earlier build wrote is read back: the same objects, byte for byte, with
// their headers, and uploads that were open.
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
				t.Errorf("%d, %d bytes; want %d, %d bytes", status, len(body), c.status, len(c.body))
			}
		})
	}
	o, e := d.get("photos", "a.txt")
	if e != nil || o.etag != "17d4f96a28e154f4d3078a24cffab007" || o.header["X-Amz-Meta-Camera"] != "north" ||
		o.modified.IsZero() {
		t.Errorf("%+v %v", o, e)
	}
	if o, e := d.get("photos", "multi.bin"); e != nil || !slices.Equal(o.parts, []int64{20}) {
		t.Errorf("%+v %v", o, e)
	}
	if len(d.uploads) != 1 {
		t.Errorf("%d open uploads, want 1", len(d.uploads))
	}
	for _, u := range d.uploads {
		if u.key != "open.bin" || u.started.IsZero() || u.parts[2] == nil || u.parts[2].blob.size != int64(len(long)) {
			t.Errorf("%+v", u)
		}
	}
}

// What a data set writes to its journal keeps the names that earlier builds wrote.
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
			t.Errorf("line %d is %s, want %s...", i+1, lines[i], want)
		}
	}
	for _, name := range []string{`"Sizes":[4]`, `"Size":4`, `"ETag":"`, `"Modified":"`, `"Header":{`} {
		if !strings.Contains(lines[1], name) {
			t.Errorf("%s is not in %s", name, lines[1])
		}
	}
	record, err := json.Marshal((&object{sum: checksum{name: "crc32", value: "AAAA"}, parts: []int64{1, 2}}).record())
	if want := `"Sum":"crc32","Value":"AAAA","Parts":[1,2]}`; err != nil || !strings.HasSuffix(string(record), want) {
		t.Errorf("%s %v, want it to end with %s", record, err, want)
	}
}

// A script of faults that names every kind is read whole.
func TestStoredFaultScript(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.json")
	if err != nil {
		t.Fatal(err)
	}
	script, err := ParseScript(text)
	if err != nil || len(script) != 10 {
		t.Fatalf("%d entries, %v", len(script), err)
	}
	want := ScriptedFault{AtMS: 60000, ForMS: 1000, Kind: "stall", Share: 0.5, Method: "GET", Path: "/photos/"}
	if script[0] != want || script[7].Factor != 2.5 || script[2].Count != 2 {
		t.Errorf("%+v", script)
	}
	kinds := []FaultKind{
		Stall, StallInResponse, Reject, ServerError, ResetConnection, LoseResponse, TruncateResponse, Slow, Pause, Exit,
	}
	for i, s := range script {
		if faultNames[s.Kind] != kinds[i] {
			t.Errorf("%q means %v, want %v", s.Kind, faultNames[s.Kind], kinds[i])
		}
	}
}
