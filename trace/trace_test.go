package trace

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"

	"chalkstand/dispatch"
)

func testConfig() dispatch.Config {
	return dispatch.Config{
		DispatcherIndex: 0,
		DispatcherCount: 2,
		MaxRetryAfter:   time.Second,
		MeanUnits:       1,
		MaxUnits:        4,
		MaxVolumes:      1000,
		Classes: []dispatch.Class{
			{Name: "read", LatencyObjective: 200 * time.Millisecond, Deadline: time.Second},
		},
		Plans: []dispatch.Plan{
			{Name: "p", Reserve: 20, Weight: 1, RateLimit: 100, Burst: 50, Slack: 10},
		},
	}
}

// randomDispatcher passes random events to a dispatcher and records them in a trace.
type randomDispatcher struct {
	d        *dispatch.Dispatcher
	w        *Writer
	rng      *rand.Rand
	now      time.Duration
	inFlight []dispatch.SendAttempt
}

func (r *randomDispatcher) handle(ev dispatch.Event) {
	actions := r.d.Handle(r.now, ev)
	r.w.Record(r.now, ev, actions)
	for _, a := range actions {
		if a, ok := a.(dispatch.SendAttempt); ok {
			r.inFlight = append(r.inFlight, a)
		}
	}
}

// step advances the time and handles one random event. If the event is a new request, id is
// the ID of that request.
func (r *randomDispatcher) step(id dispatch.RequestID) {
	r.now += time.Duration(r.rng.IntN(5)) * time.Millisecond
	switch {
	case r.rng.IntN(2) == 0:
		r.handle(dispatch.Request{
			ID:          id,
			Volume:      dispatch.VolumeID(strconv.Itoa(r.rng.IntN(5))),
			Shard:       dispatch.Shard(r.rng.IntN(2)),
			Units:       r.rng.Float64() * 4,
			Dispatchers: 1,
			Timeout:     time.Second,
		})
	case len(r.inFlight) > 0:
		a := r.inFlight[0]
		r.inFlight = r.inFlight[1:]
		r.handle(dispatch.AttemptCompleted{
			ID:         a.ID,
			Node:       a.Node,
			Result:     dispatch.OK,
			Responded:  true,
			Latency:    3 * time.Millisecond,
			QuotaUsage: 1 + 100*r.rng.Float64(),
			LoadReport: dispatch.LoadReport{"inflight": r.rng.Float64()},
		})
	default:
		r.handle(dispatch.TimerFired{Token: "wake"})
	}
}

// randomTrace returns the trace of a dispatcher that handles an endpoint update and then n
// random events.
func randomTrace(t *testing.T, seed uint64, n int) []byte {
	t.Helper()
	var out bytes.Buffer
	w, err := NewWriter(&out, testConfig(), seed, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	d, err := dispatch.New(testConfig(), seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &randomDispatcher{d: d, w: w, rng: rand.New(rand.NewPCG(seed, 1))}
	r.handle(dispatch.EndpointUpdate{Kind: dispatch.Snapshot, Nodes: []dispatch.Node{{ID: "a"}, {ID: "b", Shard: 1}}})
	for i := range n {
		r.step(dispatch.RequestID(i + 1))
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestReplayReturnsRecordedActions(t *testing.T) {
	res, err := Replay(bytes.NewReader(randomTrace(t, 3, 5000)))
	if err != nil || res.Divergence != nil || res.Truncated || res.Events != 5001 || res.Actions < 1000 {
		t.Fatalf("replay: got result %+v, error %v, want 5001 events and at least 1000 actions, all equal", res, err)
	}
}

// TestReplayOfShutdown checks that a replay repeats what a dispatcher decides during a shutdown.
func TestReplayOfShutdown(t *testing.T) {
	var out bytes.Buffer
	w, err := NewWriter(&out, testConfig(), 1, 10)
	if err != nil {
		t.Fatal(err)
	}
	d, err := dispatch.New(testConfig(), 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &randomDispatcher{d: d, w: w}
	r.handle(dispatch.EndpointUpdate{Kind: dispatch.Snapshot, Nodes: []dispatch.Node{{ID: "a"}}})
	r.handle(dispatch.Shutdown{})
	r.handle(dispatch.Request{ID: 1, Volume: "v", Units: 1, Dispatchers: 1, Timeout: time.Second})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	res, err := Replay(&out)
	if err != nil || res.Divergence != nil || res.Events != 3 {
		t.Fatalf("replay: got result %+v, divergence %+v, error %v, want 3 events without a divergence", res, res.Divergence, err)
	}
}

func TestReplayFindsDivergence(t *testing.T) {
	var out bytes.Buffer
	w, err := NewWriter(&out, testConfig(), 1, 10)
	if err != nil {
		t.Fatal(err)
	}
	w.Record(0, dispatch.ClientCanceled{ID: 1}, []dispatch.Action{dispatch.Fail{ID: 1}})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	res, err := Replay(&out)
	if err != nil || res.Divergence == nil || !strings.Contains(fmt.Sprint(res.Divergence.Recorded), "Fail") {
		t.Fatalf("replay: got result %+v, error %v, want a divergence from the recorded Fail action", res, err)
	}
}

func TestTruncatedTraceReplaysUpToItsEnd(t *testing.T) {
	b := randomTrace(t, 4, 20000)
	res, err := Replay(bytes.NewReader(b[:len(b)*2/3]))
	if err != nil || !res.Truncated || res.Events < 1000 || res.Divergence != nil {
		t.Fatalf("replay of a truncated trace: got result %+v, error %v, want a truncated result with at least 1000 events",
			res, err)
	}
	for _, n := range []int{0, 3, 20} {
		if _, err := Replay(bytes.NewReader(b[:n])); !errors.Is(err, ErrInvalidHeader) {
			t.Fatalf("replay of the first %d bytes: got error %v, want ErrInvalidHeader", n, err)
		}
	}
}

func TestReplayRejectsOtherVersion(t *testing.T) {
	z, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = Replay(bytes.NewReader(z.EncodeAll([]byte("{\"Version\":2}\n"), nil)))
	if versionErr := (*VersionError)(nil); !errors.As(err, &versionErr) || versionErr.Version != 2 {
		t.Fatalf("replay of a trace of version 2: got error %v, want a *VersionError with version 2", err)
	}
}

func TestFullQueueStopsRecording(t *testing.T) {
	unblock := make(chan struct{})
	w, err := NewWriter(blockedWriter{unblock}, testConfig(), 1, 4)
	if err != nil {
		t.Fatal(err)
	}
	for range 1 << 14 { // more events than the queue and the buffer before the first flush hold
		w.Record(0, dispatch.ClientCanceled{ID: 1}, nil)
	}
	close(unblock)
	if err := w.Close(); !errors.Is(err, ErrQueueFull) {
		t.Fatalf("Close after the queue was full: got error %v, want ErrQueueFull", err)
	}
}

// blockedWriter is an io.Writer whose Write blocks until the channel is closed.
type blockedWriter struct{ unblock <-chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}
