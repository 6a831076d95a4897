package attributionlog

import (
	"bytes"
	"chalkstand/attribution"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var epoch = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

// slot is a record of a slot of ten seconds with one volume.
func slot(run string, i int) Record {
	at := time.Duration(i) * 10 * time.Second
	w := attribution.Window{From: at, To: at + 10*time.Second, Slot: 10 * time.Second}
	w.All.Requests = int64(i + 1)
	w.All.Parts[attribution.NodeUnknown] = time.Duration(i+1) * time.Millisecond
	w.Volumes = []attribution.VolumeSummary{{Volume: "v", Requests: w.All.Requests, Parts: w.All.Parts}}
	r := attribution.Run{ID: run, Gateway: "gw", Started: epoch}
	return Record{Run: r, Saved: r.At(w.To + time.Second), At: w.To + time.Second, Slot: &w}
}

func write(t *testing.T, path string, size int64, files int, recs ...Record) {
	t.Helper()
	w, err := Open(path, size, files)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range recs {
		if err := w.Append(r); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// A log that was cut anywhere is read up to its last whole record, says where it
// ends, and is written on from there.
func TestCutAnywhere(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "log")
	write(t, path, 1<<20, 1, slot("a", 0), slot("a", 1), slot("a", 2))
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) {
		cut := filepath.Join(dir, "cut")
		if err := os.WriteFile(cut, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		recs, damage, err := Read(cut)
		if err != nil {
			t.Fatalf("%d bytes: %v", n, err)
		}
		had := len(recs)
		if had > 2 || n > len(header()) && len(damage) == 0 && !bytes.Equal(whole[:n], whole[:endOf(whole, had)]) {
			t.Fatalf("%d bytes: %d records, damage %v", n, had, damage)
		}
		write(t, cut, 1<<20, 1, slot("b", 7))
		recs, damage, err = Read(cut)
		if err != nil || len(damage) > 0 || len(recs) != had+1 || recs[had].Run.ID != "b" || recs[had].Slot.All.Requests != 8 {
			t.Fatalf("%d bytes, written on: %d records after %d, %v, %v", n, len(recs), had, damage, err)
		}
	}
}

// endOf is where the n-th record ends.
func endOf(b []byte, n int) int {
	at := len(header())
	for range n {
		at += frameSize + int(uint32(b[at])|uint32(b[at+1])<<8|uint32(b[at+2])<<16|uint32(b[at+3])<<24)
	}
	return at
}

// A byte that was changed anywhere is found; what lies before it is read.
func TestChangedBytes(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "log")
	write(t, path, 1<<20, 1, slot("a", 0), slot("a", 1))
	whole, _ := os.ReadFile(path)
	for n := len(header()); n < len(whole); n++ {
		b := bytes.Clone(whole)
		b[n] ^= 0x40
		os.WriteFile(path, b, 0o600)
		recs, damage, err := Read(path)
		want := 0
		if n >= endOf(whole, 1) {
			want = 1
		}
		if err != nil || len(damage) != 1 || len(recs) != want || damage[0].Offset != int64(endOf(whole, want)) {
			t.Fatalf("byte %d: %d records, %v, %v", n, len(recs), damage, err)
		}
	}
}

func TestOtherFormsAreRefused(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{
		magic + "2\nxxxxxxxxxxxxxx":                  `version "2"; this program reads version 1`,
		"date,volume,ms\n2026-05-04,a,b,c,d,e,f,g\n": "this is no log of accounts",
	} {
		path := filepath.Join(dir, "other")
		os.WriteFile(path, []byte(text), 0o600)
		if _, _, err := Read(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
		if _, err := Open(path, 1<<20, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q, to write on: %v", text, err)
		}
		if b, _ := os.ReadFile(path); string(b) != text {
			t.Errorf("%q was changed to %q", text, b)
		}
	}
	if _, _, err := Read(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
}

// Files are bounded in size and number; the newest records stay.
func TestRotation(t *testing.T) {
	for _, files := range []int{1, 3} {
		dir := t.TempDir()
		path := filepath.Join(dir, "log")
		var recs []Record
		for i := range 60 {
			recs = append(recs, slot("a", i))
		}
		write(t, path, 2000, files, recs...)
		names, _ := filepath.Glob(path + "*")
		if len(names) != files {
			t.Fatalf("%v, want %d", names, files)
		}
		for _, n := range names {
			if info, _ := os.Stat(n); info.Size() > 2000 {
				t.Errorf("%s has %d bytes", n, info.Size())
			}
		}
		got, damage, err := Read(path)
		if err != nil || len(damage) > 0 || len(got) < 2*files {
			t.Fatalf("%d records, %v, %v", len(got), damage, err)
		}
		for i, r := range got {
			if r.Slot.All.Requests != int64(60-len(got)+i+1) {
				t.Fatalf("record %d is of slot %d", i, r.Slot.All.Requests)
			}
		}
	}
}

// Corrections find their slots; a second life and a step of the wall clock are told.
func TestTimeline(t *testing.T) {
	fix := Record{Run: slot("a", 0).Run, Saved: epoch.Add(25 * time.Second), At: 25 * time.Second, Correction: &attribution.Correction{
		Volume: "v", Ended: 15 * time.Second,
		From: attribution.NodeUnknown, Had: 2 * time.Millisecond, To: []attribution.ComponentTime{{Component: attribution.NodeQueue, Time: time.Millisecond}},
	}}
	lost := fix
	lost.Correction = &attribution.Correction{Volume: "v", Ended: time.Hour}
	stepped := slot("a", 2)
	stepped.Saved = stepped.Saved.Add(-time.Hour)
	second := slot("b", 0)
	second.Run.Started = epoch.Add(time.Minute)
	second.Saved = second.Run.At(second.At)
	l := NewTimeline([]Record{slot("a", 0), slot("a", 1), fix, lost, stepped, second})
	if len(l.Slots) != 4 || l.Slots[1].All.Parts[attribution.NodeQueue] != time.Millisecond || !l.Slots[1].Corrected || l.Slots[0].Corrected {
		t.Fatalf("%+v", l.Slots)
	}
	notes := fmt.Sprint(l.Notes)
	for _, want := range []string{"set by -1h0m0s", "started anew", "1 late reports are of slots that are not in the log"} {
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

// FuzzRead reads whatever stands in a file without failing in any way but by an error.
func FuzzRead(f *testing.F) {
	path := filepath.Join(f.TempDir(), "log")
	w, _ := Open(path, 1<<20, 1)
	w.Append(slot("a", 0))
	w.Close()
	b, _ := os.ReadFile(path)
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add(append(header(), make([]byte, 40)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		file := filepath.Join(t.TempDir(), "log")
		os.WriteFile(file, b, 0o600)
		if recs, _, err := Read(file); err == nil {
			NewTimeline(recs)
		}
	})
}
