package dispatch

import (
	"testing"
	"time"
)

func TestNodeThatIsNotReadyGetsNoRequests(t *testing.T) {
	for _, kind := range []string{"draining", "removed", "missing from a snapshot"} {
		t.Run(kind, func(t *testing.T) {
			r := newRig(t, testConfig())
			switch kind {
			case "draining":
				r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Draining})
			case "removed":
				r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Removed})
			default:
				r.updateEndpoints(Snapshot, Node{ID: "n1", Shard: 1})
			}
			id, acts := r.request(Request{Shard: 0})
			expectOutcome(t, "no node serves it", acts, id, rejected)
			r.updateEndpoints(Delta, Node{ID: "n2", Shard: 0})
			id, acts = r.request(Request{Shard: 0})
			expectOutcome(t, "a successor", acts, id, sent)
		})
	}
	t.Run("queued requests move to the successor", func(t *testing.T) {
		r := newRig(t, testConfig())
		for range 4 {
			r.request(Request{Shard: 0, Plan: unlimitedPlan})
		}
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		expectOutcome(t, "at the concurrency limit", acts, id, pending)
		acts = r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Draining}, Node{ID: "n2", Shard: 0})
		expectOutcome(t, "successor", acts, id, sent)
	})
	t.Run("an empty snapshot rejects requests", func(t *testing.T) {
		r := newRig(t, testConfig())
		r.updateEndpoints(Snapshot)
		id, acts := r.request(Request{Shard: AnyShard})
		expectOutcome(t, "no nodes", acts, id, rejected)
	})
}

func TestDiscoveryIsPolledAgainAfterFailure(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	d, err := New(cfg, 3)
	if err != nil {
		t.Fatal(err)
	}
	watched := func(acts []Action) bool {
		for _, a := range acts {
			if w, ok := a.(Watch); ok && w.On {
				return true
			}
		}
		return false
	}
	if !watched(d.Handle(time.Hour, EndpointUpdate{Kind: Cached})) {
		t.Fatal("discovery not called at the start")
	}
	now := time.Hour
	// A change is binding 6 s after discovery is reachable, of which a call may take 2.5 s, and 6 s
	// after a watch became silent, which is detected after 2.7 s.
	for range 3 {
		longest := 750 * ms
		for range 20 {
			if watched(d.Handle(now, EndpointUpdate{Kind: PollFailed})) {
				t.Fatal("called again at once after a failure")
			}
			if now += longest; !watched(d.Handle(now, TimerFired{"wake"})) {
				t.Fatalf("not called again %v after a failure", longest)
			}
			longest = 3 * time.Second
		}
		d.Handle(now, EndpointUpdate{Kind: Delta}) // resets the delay
	}
}

func TestNodeChangesShard(t *testing.T) {
	r := newRig(t, testConfig())
	for range 5 {
		r.request(Request{Shard: 0, Plan: unlimitedPlan})
	}
	r.updateEndpoints(Delta, Node{ID: "n0", Shard: 9, Kind: 3})
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	expectOutcome(t, "its old shard", acts, id, rejected)
	for id, q := range r.d.requests {
		if q.outstanding {
			r.complete(id, 0, OK)
		}
	}
	for _, a := range r.advance(time.Second) {
		if a, ok := a.(SendAttempt); ok {
			t.Errorf("request %d of the old shard sent to the node", a.ID)
		}
	}
	id, acts = r.request(Request{Shard: 9, Plan: unlimitedPlan})
	expectOutcome(t, "its new shard", acts, id, sent)
}
