package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Odd but possible input at a grown deployment leads to a harmless decision.
func TestOddInput(t *testing.T) {
	t.Run("more hosts than there are dispatchers", func(t *testing.T) {
		r := newRig(t, testConfig()) // limit 30, burst and slack 48, in 12 parts
		sent := 0.0
		for range 40 {
			id, _ := r.ask(Request{Shard: 0, Dispatchers: 12})
			if q := r.d.requests[id]; q != nil && q.outstanding {
				sent++
				r.end(id, 0, OK)
			}
		}
		if sent > 48.0/12 {
			t.Errorf("%g units at once, want at most a twelfth of the store", sent)
		}
	})
	t.Run("a node changes kind and shard under its id", func(t *testing.T) {
		r := newRig(t, testConfig())
		for range 5 {
			r.ask(Request{Shard: 0, Plan: 1})
		}
		r.list(Delta, Node{ID: "n0", Shard: 9, Kind: 3})
		id, acts := r.ask(Request{Shard: 0, Plan: 1})
		want(t, "its old shard", acts, id, "refused")
		for id, q := range r.d.requests {
			if q.outstanding {
				r.end(id, 0, OK)
			}
		}
		for _, a := range r.at(time.Second) {
			if a, ok := a.(SendAttempt); ok {
				t.Errorf("request %d of the old shard sent to the node", a.ID)
			}
		}
		id, acts = r.ask(Request{Shard: 9, Plan: 1})
		want(t, "its new shard", acts, id, "sent")
	})
	t.Run("an outcome after the attempt's own time-out", func(t *testing.T) {
		r := newRig(t, testConfig())
		id, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.now += 10 * ms
		r.end(id, 0, TimedOut)
		acts := r.at(ms)
		want(t, "tried again", acts, id, "sent")
		want(t, "a second end of the first attempt", r.end(id, 0, OK), id, "held")
		if q := r.d.requests[id]; q == nil || !q.outstanding {
			t.Error("the second attempt is no longer awaited")
		}
		r.end(id, 1, OK)
		r.end(id, 1, OK)
		if len(r.d.requests) != 0 || r.d.nodes["n0"].inFlight != 0 {
			t.Errorf("%d requests, %d out", len(r.d.requests), r.d.nodes["n0"].inFlight)
		}
	})
	t.Run("an older or repeated use figure acts once an interval at most", func(t *testing.T) {
		r := newRig(t, testConfig())
		for range 6 {
			id, _ := r.ask(Request{Shard: 0, Plan: 1})
			r.do(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 5 * ms, QuotaUsage: 301})
		}
		r.at(controllerInterval)
		phi := r.d.volumes["v"].weight
		if r.at(controllerInterval); r.d.volumes["v"].weight != phi || phi >= 3 {
			t.Errorf("weight %g, then %g: want one step down from 3", phi, r.d.volumes["v"].weight)
		}
	})
}

// A run of requests with a long aim waits in its own line, also where D is one: it bars no
// other volume. One with the tightest aim is refused.
func TestRunWithALongAimWaits(t *testing.T) {
	cfg := testConfig()
	cfg.DispatcherCount = 40
	cfg.Classes = append(cfg.Classes, Class{Name: "scan", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 2})
	for class, held := range map[int]bool{3: true, 0: false} {
		r := newRig(t, cfg)
		id, _ := r.ask(Request{Shard: 0, Plan: 1, Volume: "w"})
		r.now += 40 * ms
		r.do(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 40 * ms})
		kinds := ""
		for range 4 {
			id, acts := r.ask(Request{Shard: 0, Plan: 1, Class: class, Units: 2})
			kinds += kindOf(acts, id) + " "
		}
		if want := "sent held held held "; (kinds == want) != held {
			t.Errorf("class %d: %s", class, kinds)
		}
	}
}

// The cost of a decision by backlog and by number of nodes: at most a logarithm of the one,
// nothing of the other.
func BenchmarkDecision(b *testing.B) {
	for _, nodes := range []int{10, 1000} {
		for _, backlog := range []int{0, 100, 10000} {
			b.Run(fmt.Sprintf("nodes=%d/backlog=%d", nodes, backlog), func(b *testing.B) {
				cfg := testConfig()
				cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = time.Hour, 2*time.Hour
				d, _ := New(cfg, 1)
				l := EndpointUpdate{Kind: Snapshot}
				for i := range nodes {
					l.Nodes = append(l.Nodes, Node{ID: NodeID(fmt.Sprint("n", i)), Shard: Shard(i)})
				}
				d.Handle(0, l)
				id := RequestID(0)
				ask := func() {
					id++
					d.Handle(time.Second, Request{
						ID: id, Plan: 1, Volume: VolumeID(fmt.Sprint("v", id%500)),
						Shard: 0, Units: 1, Dispatchers: 1, Timeout: 2 * time.Hour,
					})
				}
				for range backlog {
					ask()
				}
				for b.Loop() {
					ask()
					d.Handle(time.Second, ClientCanceled{id})
				}
			})
		}
	}
}

// A request that has its answer leaves nothing behind until its aim: with long aims
// the agenda would else hold every request of the last minutes.
func TestAnsweredRequestsLeaveTheAgenda(t *testing.T) {
	d, err := New(Config{
		DispatcherCount: 1, MeanUnits: 1, MaxUnits: 1, MaxRetryAfter: time.Second,
		Classes: []Class{{LatencyObjective: time.Hour, Deadline: 2 * time.Hour, PriorityWeight: 1, Ordered: true}}, Plans: []Plan{{Weight: 1, Reserve: 1000, Price: 1}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	d.Handle(now, EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	for i := range RequestID(1000) {
		now += time.Millisecond
		d.Handle(now, Request{ID: 2*i + 1, Volume: "v", Key: "k", Units: 1, Dispatchers: 1, Timeout: 2 * time.Hour})
		d.Handle(now, Request{ID: 2*i + 2, Volume: "v", Key: "k", Units: 1, Dispatchers: 1, Timeout: 2 * time.Hour}) // waits for its turn
		d.Handle(now, ClientCanceled{ID: 2*i + 2})
		d.Handle(now, AttemptCompleted{ID: 2*i + 1, Node: "a", Result: OK, Responded: true, Latency: time.Millisecond})
	}
	if n := d.timers.Len(); n > 10 {
		t.Fatalf("%d tasks in the agenda", n)
	}
}
