package trace

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/klauspost/compress/zstd"

	"chalkstand/dispatch"
)

// TestStoredTraces checks that traces from an earlier build stay readable. It replays each
// stored trace, records it again, and expects the same lines as in the stored file.
func TestStoredTraces(t *testing.T) {
	for _, c := range []struct {
		name            string
		events, actions int
	}{
		{"gateway0.trace", 433, 354},
		{"gateway1.trace", 581, 493},
		{"every-event.trace", 719, 423},
	} {
		t.Run(c.name, func(t *testing.T) {
			stored, err := os.ReadFile(filepath.Join("testdata", c.name))
			if err != nil {
				t.Fatal(err)
			}
			res, err := Replay(bytes.NewReader(stored))
			if err != nil || res.Divergence != nil || res.Truncated {
				t.Fatalf("replay: got result %+v, divergence %+v, error %v, want a complete replay without divergence",
					res, res.Divergence, err)
			}
			if res.Events != c.events || res.Actions != c.actions {
				t.Errorf("replay: got %d events and %d actions, want %d and %d",
					res.Events, res.Actions, c.events, c.actions)
			}
			want := decompress(t, stored)
			if got := rewrite(t, want); !bytes.Equal(got, want) {
				t.Errorf("the trace that was recorded again differs from the stored one:\n%s",
					firstDifference(got, want))
			}
		})
	}
}

func decompress(t *testing.T, b []byte) []byte {
	t.Helper()
	z, err := zstd.NewReader(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer z.Close()
	out, err := z.DecodeAll(b, nil)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// rewrite replays the lines of a decompressed trace on a new dispatcher and records the
// replay as a second trace. It returns the lines of the second trace.
func rewrite(t *testing.T, lines []byte) []byte {
	t.Helper()
	header, rest, _ := bytes.Cut(lines, []byte("\n"))
	h := decodeLine[headerRecord](t, header)
	d, err := dispatch.New(h.Config.decode(), h.Seed)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	w, err := NewWriter(&out, h.Config.decode(), h.Seed, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(rest) {
		r := decodeLine[eventRecord](t, line)
		ev, err := r.event()
		if err != nil {
			t.Fatal(err)
		}
		w.Record(r.Now, ev, d.Handle(r.Now, ev))
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return decompress(t, out.Bytes())
}

func decodeLine[T any](t *testing.T, line []byte) T {
	t.Helper()
	var v T
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		t.Fatalf("decode: %v in line %s", err, line)
	}
	return v
}

func firstDifference(got, want []byte) string {
	g, w := bytes.SplitAfter(got, []byte("\n")), bytes.SplitAfter(want, []byte("\n"))
	for i := range min(len(g), len(w)) {
		if !bytes.Equal(g[i], w[i]) {
			return "got " + string(g[i]) + "want " + string(w[i])
		}
	}
	return "all common lines are equal, but the traces differ in length"
}
