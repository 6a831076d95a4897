package attributionlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chalkstand/attribution"
)

var epoch = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

// slotRecord returns a record of the i-th slot of a run. The slot is 10 seconds long and has i+1
// requests of one volume.
func slotRecord(run string, i int) Record {
	at := time.Duration(i) * 10 * time.Second
	w := attribution.Window{From: at, To: at + 10*time.Second, Slot: 10 * time.Second}
	w.All.Requests = int64(i + 1)
	w.All.Parts[attribution.NodeUnknown] = time.Duration(i+1) * time.Millisecond
	w.Volumes = []attribution.VolumeSummary{{Volume: "v", Requests: w.All.Requests, Parts: w.All.Parts}}
	r := attribution.Run{ID: run, Gateway: "gw", Started: epoch}
	return Record{Run: r, Saved: r.At(w.To + time.Second), At: w.To + time.Second, Slot: &w}
}

// writeLog opens the log at path, appends the records and closes the log.
func writeLog(tb testing.TB, path string, size int64, files int, recs ...Record) {
	tb.Helper()
	w, err := Open(path, size, files)
	if err != nil {
		tb.Fatal(err)
	}
	for _, r := range recs {
		if err := w.Append(r); err != nil {
			tb.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		tb.Fatal(err)
	}
}

func writeFile(tb testing.TB, path string, b []byte) {
	tb.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		tb.Fatal(err)
	}
}

func readFileBytes(tb testing.TB, path string) []byte {
	tb.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// A log may be truncated at any byte. Read returns the intact records before the truncation and
// reports a record that was cut. A writer appends new records after the last intact one.
func TestTruncatedAnywhere(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "log")
	writeLog(t, path, 1<<20, 1, slotRecord("a", 0), slotRecord("a", 1), slotRecord("a", 2))
	complete := readFileBytes(t, path)
	for n := range complete {
		truncated := filepath.Join(dir, "cut")
		writeFile(t, truncated, complete[:n])
		recs, corruption, err := Read(truncated)
		if err != nil {
			t.Fatalf("log truncated to %d bytes: Read returned error %v, want none", n, err)
		}
		intact := len(recs)
		if intact > 2 || n > len(header()) && len(corruption) == 0 &&
			!bytes.Equal(complete[:n], complete[:recordEnd(complete, intact)]) {
			t.Fatalf("log truncated to %d bytes: got %d records, want at most 2; got corruption %v, want it reported",
				n, intact, corruption)
		}
		writeLog(t, truncated, 1<<20, 1, slotRecord("b", 7))
		recs, corruption, err = Read(truncated)
		if err != nil || len(corruption) > 0 || len(recs) != intact+1 ||
			recs[intact].Run.ID != "b" || recs[intact].Slot.All.Requests != 8 {
			t.Fatalf("append to log truncated to %d bytes: got %d records, want 1 more than %d; corruption %v, error %v",
				n, len(recs), intact, corruption, err)
		}
	}
}

// recordEnd returns the offset at which the n-th record of a log ends. For n = 0, it returns the end
// of the header.
func recordEnd(b []byte, n int) int {
	at := len(header())
	for range n {
		at += frameSize + int(binary.LittleEndian.Uint32(b[at:]))
	}
	return at
}

// Read finds a corrupt byte at any offset after the header, and returns the records before the
// corrupt one.
func TestCorruptBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	writeLog(t, path, 1<<20, 1, slotRecord("a", 0), slotRecord("a", 1))
	complete := readFileBytes(t, path)
	for n := len(header()); n < len(complete); n++ {
		b := bytes.Clone(complete)
		b[n] ^= 0x40
		writeFile(t, path, b)
		recs, corruption, err := Read(path)
		want := 0
		if n >= recordEnd(complete, 1) {
			want = 1
		}
		if err != nil || len(recs) != want || len(corruption) != 1 ||
			corruption[0].Offset != int64(recordEnd(complete, want)) {
			t.Fatalf("byte %d corrupt: got %d records, corruption %v, error %v, want its record reported as corrupt",
				n, len(recs), corruption, err)
		}
	}
}

// Read and Open reject files that are not attribution logs or have another version, and leave them
// unchanged.
func TestOtherFormatsAreRejected(t *testing.T) {
	isVersion2 := func(err error) bool {
		var e *VersionError
		return errors.As(err, &e) && e.Version == "2"
	}
	isFormat := func(err error) bool { return errors.Is(err, ErrFormat) }
	for _, x := range []struct {
		name, text string
		matches    func(error) bool
		want       string
	}{
		{"version", magic + "2\nxxxxxxxxxxxxxx", isVersion2, `version "2"; this program reads version 1`},
		{"format", "date,volume,ms\n2026-05-04,a,b,c,d,e,f,g\n", isFormat, "this is not an attribution log"},
	} {
		t.Run(x.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "other")
			writeFile(t, path, []byte(x.text))
			if _, _, err := Read(path); !x.matches(err) || !strings.Contains(err.Error(), x.want) {
				t.Errorf("Read: got error %v, want one that says which format or version the file has", err)
			}
			if _, err := Open(path, 1<<20, 1); !x.matches(err) || !strings.Contains(err.Error(), x.want) {
				t.Errorf("Open: got error %v, want one that says which format or version the file has", err)
			}
			if b := readFileBytes(t, path); string(b) != x.text {
				t.Errorf("contents after Open: got %q, want them unchanged", b)
			}
		})
	}
	if _, _, err := Read(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Read of a missing file: got error %v, want os.ErrNotExist", err)
	}
}

// A writer bounds the size and the number of its files. The files hold the newest records.
func TestRotation(t *testing.T) {
	for _, files := range []int{1, 3} {
		t.Run(fmt.Sprint(files, " files"), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			var recs []Record
			for i := range 60 {
				recs = append(recs, slotRecord("a", i))
			}
			writeLog(t, path, 2000, files, recs...)
			checkRotated(t, path, files)
		})
	}
}

// checkRotated checks a log of 60 slots that may have the given number of files, of at most 2000
// bytes each.
func checkRotated(t *testing.T, path string, files int) {
	t.Helper()
	names, err := filepath.Glob(path + "*")
	if err != nil || len(names) != files {
		t.Fatalf("got files %v, want %d files; error %v", names, files, err)
	}
	for _, n := range names {
		if size := len(readFileBytes(t, n)); size > 2000 {
			t.Errorf("size of %s: got %d bytes, want at most 2000", n, size)
		}
	}
	got, corruption, err := Read(path)
	if err != nil || len(corruption) > 0 || len(got) < 2*files {
		t.Fatalf("got %d records, want at least 2 in each file; corruption %v, error %v", len(got), corruption, err)
	}
	for i, r := range got {
		if r.Slot.All.Requests != int64(60-len(got)+i+1) {
			t.Fatalf("record %d: got %d requests in its slot, want consecutive numbers up to 60", i, r.Slot.All.Requests)
		}
	}
}

// NewTimeline applies corrections to their slots. It adds notes on a restart, on a step of the wall
// clock, and on corrections without a slot.
func TestTimeline(t *testing.T) {
	correction := Record{
		Run:   slotRecord("a", 0).Run,
		Saved: epoch.Add(25 * time.Second),
		At:    25 * time.Second,
		Correction: &attribution.Correction{
			Volume:       "v",
			Ended:        15 * time.Second,
			From:         attribution.NodeUnknown,
			PreviousTime: 2 * time.Millisecond,
			To:           []attribution.ComponentTime{{Component: attribution.NodeQueue, Time: time.Millisecond}},
		},
	}
	unmatched := correction
	unmatched.Correction = &attribution.Correction{Volume: "v", Ended: time.Hour}
	stepped := slotRecord("a", 2)
	stepped.Saved = stepped.Saved.Add(-time.Hour)
	second := slotRecord("b", 0)
	second.Run.Started = epoch.Add(time.Minute)
	second.Saved = second.Run.At(second.At)
	l := NewTimeline([]Record{slotRecord("a", 0), slotRecord("a", 1), correction, unmatched, stepped, second})
	if len(l.Slots) != 4 || l.Slots[1].All.Parts[attribution.NodeQueue] != time.Millisecond ||
		!l.Slots[1].Corrected || l.Slots[0].Corrected {
		t.Fatalf("got slots %+v, want 4, of which only the second is corrected", l.Slots)
	}
	notes := fmt.Sprint(l.Notes)
	for _, want := range []string{
		"set by -1h0m0s",
		"started anew",
		"1 late reports are of slots that are not in the log",
	} {
		if !strings.Contains(notes, want) {
			t.Errorf("no note contains %q: got notes %v", want, l.Notes)
		}
	}
	if s := l.Since(10 * time.Second); len(s) != 1 || s[0].Run.ID != "b" {
		t.Errorf("Since(10s): got slots %+v, want 1 slot of run b", s)
	}
	if s := l.Since(time.Hour); len(s) != 4 {
		t.Errorf("Since(1h): got %d slots, want 4", len(s))
	}
	if s := (&Timeline{}).Since(time.Hour); s != nil {
		t.Errorf("Since of an empty timeline: got %v, want nil", s)
	}
}

// Read returns records or an error for any file contents. It must not panic.
func FuzzRead(f *testing.F) {
	path := filepath.Join(f.TempDir(), "log")
	writeLog(f, path, 1<<20, 1, slotRecord("a", 0))
	b := readFileBytes(f, path)
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add(append(header(), make([]byte, 40)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		file := filepath.Join(t.TempDir(), "log")
		writeFile(t, file, b)
		if recs, _, err := Read(file); err == nil {
			NewTimeline(recs)
		}
	})
}
