package trace

import (
	"bytes"
	"chalkstand/dispatch"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func config() dispatch.Config {
	return dispatch.Config{
		DispatcherIndex: 0, DispatcherCount: 2, MaxRetryAfter: time.Second, MeanUnits: 1, MaxUnits: 4,
		Classes: []dispatch.Class{{Name: "read", LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}},
		Plans:   []dispatch.Plan{{Name: "p", Reserve: 20, Weight: 1, Price: 1, RateLimit: 100, Burst: 50, Slack: 10}},
	}
}

// record makes a history of a dispatcher, and its record.
func record(t *testing.T, seed uint64, n int) []byte {
	var out bytes.Buffer
	w, err := NewWriter(&out, config(), seed, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	d, err := dispatch.New(config(), seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Duration(0)
	type attempt struct {
		dispatch.SendAttempt
		n int
	}
	var out1 []attempt
	tell := func(ev dispatch.Event) {
		acts := d.Handle(now, ev)
		w.Record(now, ev, acts)
		for _, a := range acts {
			if a, ok := a.(dispatch.SendAttempt); ok {
				out1 = append(out1, attempt{a, 0})
			}
		}
	}
	tell(dispatch.EndpointUpdate{Kind: dispatch.Snapshot, Nodes: []dispatch.Node{{ID: "a"}, {ID: "b", Shard: 1}}})
	for i := range n {
		now += time.Duration(rng.IntN(5)) * time.Millisecond
		switch {
		case rng.IntN(2) == 0:
			tell(dispatch.Request{
				ID: dispatch.RequestID(i + 1), Volume: dispatch.VolumeID(fmt.Sprint(rng.IntN(5))), Shard: dispatch.Shard(rng.IntN(2)),
				Units: rng.Float64() * 4, Dispatchers: 1, Timeout: time.Second,
			})
		case len(out1) > 0:
			a := out1[0]
			out1 = out1[1:]
			tell(dispatch.AttemptCompleted{
				ID: a.ID, Node: a.Node, Result: dispatch.OK, Responded: true, Latency: 3 * time.Millisecond,
				QuotaUsage: 1 + 100*rng.Float64(), LoadReport: dispatch.LoadReport{"inflight": rng.Float64()},
			})
		default:
			tell(dispatch.TimerFired{Token: "wake"})
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestReplayGivesTheSameActions(t *testing.T) {
	b := record(t, 3, 5000)
	res, err := Replay(bytes.NewReader(b))
	if err != nil || res.Split != nil || res.Torn || res.Events != 5001 || res.Actions < 1000 {
		t.Fatalf("%+v %v", res, err)
	}
}

func TestReplayFindsAnotherSeed(t *testing.T) {
	var out bytes.Buffer
	w, _ := NewWriter(&out, config(), 1, 10)
	w.Record(0, dispatch.ClientCanceled{ID: 1}, []dispatch.Action{dispatch.Fail{ID: 1}})
	w.Close()
	res, err := Replay(&out)
	if err != nil || res.Split == nil || !strings.Contains(fmt.Sprint(res.Split.Want), "Fail") {
		t.Fatalf("%+v %v", res, err)
	}
}

func TestTornRecordPlaysUpToItsEnd(t *testing.T) {
	b := record(t, 4, 20000)
	res, err := Replay(bytes.NewReader(b[:len(b)*2/3]))
	if err != nil || !res.Torn || res.Events < 1000 || res.Split != nil {
		t.Fatalf("%+v %v", res, err)
	}
	for _, n := range []int{0, 3, 20} {
		if _, err := Replay(bytes.NewReader(b[:n])); err == nil {
			t.Fatalf("%d bytes are taken for a record", n)
		}
	}
}

func TestFullQueueEndsTheRecord(t *testing.T) {
	block := make(chan struct{})
	w, err := NewWriter(waiting{block}, config(), 1, 4)
	if err != nil {
		t.Fatal(err)
	}
	for range 1 << 14 { // more than the queue and the first flush hold
		w.Record(0, dispatch.ClientCanceled{ID: 1}, nil)
	}
	close(block)
	if err := w.Close(); err != ErrFull && !strings.Contains(fmt.Sprint(err), ErrFull.Error()) {
		t.Fatal(err)
	}
}

type waiting struct{ c chan struct{} }

func (w waiting) Write(p []byte) (int, error) { <-w.c; return len(p), nil }
