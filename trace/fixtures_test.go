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

// storedTrace describes a trace in testdata.
type storedTrace struct {
	name            string
	events, actions int
}

// read returns the stored file.
func (c storedTrace) read(t *testing.T) []byte {
	t.Helper()
	stored, err := os.ReadFile(filepath.Join("testdata", c.name))
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// checkCounts checks the number of events and actions in the stored file.
func (c storedTrace) checkCounts(t *testing.T, events, actions int) {
	t.Helper()
	if events != c.events || actions != c.actions {
		t.Errorf("got %d events and %d actions, want %d and %d", events, actions, c.events, c.actions)
	}
}

// TestStoredTraces checks that traces of this build's decisions replay without divergence. It
// replays each stored trace, records it again, and expects the same lines as in the stored file.
// The traces have the events of the traces in TestTracesOfEarlierBuilds.
func TestStoredTraces(t *testing.T) {
	for _, c := range []storedTrace{
		{"callertime/gateway0.trace", 433, 322},
		{"callertime/gateway1.trace", 581, 455},
		{"callertime/every-event.trace", 719, 361},
	} {
		t.Run(c.name, func(t *testing.T) {
			stored := c.read(t)
			res, err := Replay(bytes.NewReader(stored))
			if err != nil || res.Divergence != nil || res.Truncated {
				t.Fatalf("replay: got result %+v, divergence %+v, error %v, want a complete replay without divergence",
					res, res.Divergence, err)
			}
			c.checkCounts(t, res.Events, res.Actions)
			want := decompress(t, stored)
			if got := rewrite(t, want); !bytes.Equal(got, want) {
				t.Errorf("the trace that was recorded again differs from the stored one:\n%s",
					firstDifference(got, want))
			}
		})
	}
}

// TestTracesOfEarlierBuilds checks that traces from an earlier build, which decided differently,
// stay readable. It decodes and encodes every line, and expects the same lines as in the stored
// file. A replay must report where the decisions diverge, and no error.
func TestTracesOfEarlierBuilds(t *testing.T) {
	for _, c := range []storedTrace{
		{"gateway0.trace", 433, 354},
		{"gateway1.trace", 581, 493},
		{"every-event.trace", 719, 423},
	} {
		t.Run(c.name, func(t *testing.T) {
			stored := c.read(t)
			want := decompress(t, stored)
			got, events, actions := reencode(t, want)
			if !bytes.Equal(got, want) {
				t.Errorf("the encoded lines differ from the stored ones:\n%s", firstDifference(got, want))
			}
			c.checkCounts(t, events, actions)
			res, err := Replay(bytes.NewReader(stored))
			if err != nil || res.Truncated || res.Divergence == nil || res.Divergence.Event != res.Events {
				t.Errorf("replay: got result %+v and error %v, want a divergence at the last replayed event", res, err)
			}
		})
	}
}

// reencode decodes each line of a trace and encodes it again. It returns the encoded lines and
// the number of events and actions.
func reencode(t *testing.T, lines []byte) (out []byte, events, actions int) {
	t.Helper()
	var buffer bytes.Buffer
	enc := json.NewEncoder(&buffer)
	encode := func(v any) {
		if err := enc.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	header, rest, _ := bytes.Cut(lines, []byte("\n"))
	h := decodeLine[headerRecord](t, header)
	if _, err := dispatch.New(h.Config.decode(), h.Seed); err != nil {
		t.Errorf("settings of the trace: %v", err)
	}
	encode(h)
	for line := range bytes.Lines(rest) {
		r := decodeLine[eventRecord](t, line)
		ev, err := r.event()
		if err != nil {
			t.Fatal(err)
		}
		again := encodeEvent(r.Now, ev, nil)
		again.Actions = r.Actions
		encode(again)
		events++
		actions += len(r.Actions)
	}
	return buffer.Bytes(), events, actions
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
