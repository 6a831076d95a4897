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

// slot returns a record of a slot of ten seconds with one volume.
func slot(run string, i int) Record {
	at := time.Duration(i) * 10 * time.Second
	w := attribution.Window{From: at, To: at + 10*time.Second, Slot: 10 * time.Second}
	w.All.Requests = int64(i + 1)
	w.All.Parts[attribution.NodeUnknown] = time.Duration(i+1) * time.Millisecond
	w.Volumes = []attribution.VolumeSummary{{Volume: "v", Requests: w.All.Requests, Parts: w.All.Parts}}
	r := attribution.Run{ID: run, Gateway: "gw", Started: epoch}
	return Record{Run: r, Saved: r.At(w.To + time.Second), At: w.To + time.Second, Slot: &w}
}

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

// A log that was cut anywhere is read up to its last whole record, reports where that ends, and
// is appended to from there.
func TestTruncatedAnywhere(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "log")
	writeLog(t, path, 1<<20, 1, slot("a", 0), slot("a", 1), slot("a", 2))
	whole := readFileBytes(t, path)
	for n := range whole {
		cut := filepath.Join(dir, "cut")
		writeFile(t, cut, whole[:n])
		recs, corruption, err := Read(cut)
		if err != nil {
			t.Fatalf("%d bytes: %v", n, err)
		}
		had := len(recs)
		if had > 2 || n > len(header()) && len(corruption) == 0 && !bytes.Equal(whole[:n], whole[:endOf(whole, had)]) {
			t.Fatalf("%d bytes: %d records, %v", n, had, corruption)
		}
		writeLog(t, cut, 1<<20, 1, slot("b", 7))
		recs, corruption, err = Read(cut)
		if err != nil || len(corruption) > 0 || len(recs) != had+1 ||
			recs[had].Run.ID != "b" || recs[had].Slot.All.Requests != 8 {
			t.Fatalf("%d bytes, appended to: %d records after %d, %v, %v", n, len(recs), had, corruption, err)
		}
	}
}

// endOf returns the offset at which the n-th record ends.
func endOf(b []byte, n int) int {
	at := len(header())
	for range n {
		at += frameSize + int(binary.LittleEndian.Uint32(b[at:]))
	}
	return at
}

// A corrupt byte anywhere is found; what lies before its record is read.
func TestCorruptBytes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	writeLog(t, path, 1<<20, 1, slot("a", 0), slot("a", 1))
	whole := readFileBytes(t, path)
	for n := len(header()); n < len(whole); n++ {
		b := bytes.Clone(whole)
		b[n] ^= 0x40
		writeFile(t, path, b)
		recs, corruption, err := Read(path)
		want := 0
		if n >= endOf(whole, 1) {
			want = 1
		}
		if err != nil || len(recs) != want || len(corruption) != 1 ||
			corruption[0].Offset != int64(endOf(whole, want)) {
			t.Fatalf("byte %d: %d records, %v, %v", n, len(recs), corruption, err)
		}
	}
}

// Files that are no log, or have another version, are rejected and stay as they are.
func TestOtherFormatsAreRejected(t *testing.T) {
	isVersion2 := func(err error) bool {
		var e *VersionError
		return errors.As(err, &e) && e.Version == "2"
	}
	isFormat := func(err error) bool { return errors.Is(err, ErrFormat) }
	for _, x := range []struct {
		name, text string
		is         func(error) bool
		want       string
	}{
		{"version", magic + "2\nxxxxxxxxxxxxxx", isVersion2, `version "2"; this program reads version 1`},
		{"format", "date,volume,ms\n2026-05-04,a,b,c,d,e,f,g\n", isFormat, "this is not an attribution log"},
	} {
		t.Run(x.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "other")
			writeFile(t, path, []byte(x.text))
			if _, _, err := Read(path); !x.is(err) || !strings.Contains(err.Error(), x.want) {
				t.Errorf("read: %v", err)
			}
			if _, err := Open(path, 1<<20, 1); !x.is(err) || !strings.Contains(err.Error(), x.want) {
				t.Errorf("open: %v", err)
			}
			if b := readFileBytes(t, path); string(b) != x.text {
				t.Errorf("the file was changed to %q", b)
			}
		})
	}
	if _, _, err := Read(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
}

// Files are bounded in size and number; the newest records stay.
func TestRotation(t *testing.T) {
	for _, files := range []int{1, 3} {
		t.Run(fmt.Sprint(files, " files"), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			var recs []Record
			for i := range 60 {
				recs = append(recs, slot("a", i))
			}
			writeLog(t, path, 2000, files, recs...)
			checkRotated(t, path, files)
		})
	}
}

// checkRotated checks a log of 60 slots in so many files of at most 2000 bytes.
func checkRotated(t *testing.T, path string, files int) {
	t.Helper()
	names, err := filepath.Glob(path + "*")
	if err != nil || len(names) != files {
		t.Fatalf("%v, want %d (%v)", names, files, err)
	}
	for _, n := range names {
		if size := len(readFileBytes(t, n)); size > 2000 {
			t.Errorf("%s has %d bytes", n, size)
		}
	}
	got, corruption, err := Read(path)
	if err != nil || len(corruption) > 0 || len(got) < 2*files {
		t.Fatalf("%d records, %v, %v", len(got), corruption, err)
	}
	for i, r := range got {
		if r.Slot.All.Requests != int64(60-len(got)+i+1) {
			t.Fatalf("record %d is of slot %d", i, r.Slot.All.Requests)
		}
	}
}

// Corrections are applied to their slots; a restart and a step of the wall clock are noted.
func TestTimeline(t *testing.T) {
	fix := Record{
		Run:   slot("a", 0).Run,
		Saved: epoch.Add(25 * time.Second),
		At:    25 * time.Second,
		Correction: &attribution.Correction{
			Volume: "v",
			Ended:  15 * time.Second,
			From:   attribution.NodeUnknown,
			Had:    2 * time.Millisecond,
			To:     []attribution.ComponentTime{{Component: attribution.NodeQueue, Time: time.Millisecond}},
		},
	}
	lost := fix
	lost.Correction = &attribution.Correction{Volume: "v", Ended: time.Hour}
	stepped := slot("a", 2)
	stepped.Saved = stepped.Saved.Add(-time.Hour)
	second := slot("b", 0)
	second.Run.Started = epoch.Add(time.Minute)
	second.Saved = second.Run.At(second.At)
	l := NewTimeline([]Record{slot("a", 0), slot("a", 1), fix, lost, stepped, second})
	if len(l.Slots) != 4 || l.Slots[1].All.Parts[attribution.NodeQueue] != time.Millisecond ||
		!l.Slots[1].Corrected || l.Slots[0].Corrected {
		t.Fatalf("%+v", l.Slots)
	}
	notes := fmt.Sprint(l.Notes)
	for _, want := range []string{
		"set by -1h0m0s",
		"started anew",
		"1 late reports are of slots that are not in the log",
	} {
		if !strings.Contains(notes, want) {
			t.Errorf("%q is not among %v", want, l.Notes)
		}
	}
	if s := l.Since(10 * time.Second); len(s) != 1 || s[0].Run.ID != "b" {
		t.Errorf("the last ten seconds: %+v", s)
	}
	if s := l.Since(time.Hour); len(s) != 4 {
		t.Errorf("the last hour: %d slots", len(s))
	}
	if s := (&Timeline{}).Since(time.Hour); s != nil {
		t.Errorf("an empty log: %v", s)
	}
}

// Any contents of a file are read or give an error, without a panic.
func FuzzRead(f *testing.F) {
	path := filepath.Join(f.TempDir(), "log")
	writeLog(f, path, 1<<20, 1, slot("a", 0))
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
