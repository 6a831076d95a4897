package dispatch

import (
	"testing"
	"time"
)

func TestNodeThatIsNotReadyGetsNoRequests(t *testing.T) {
	for _, kind := range []string{"draining", "gone", "missing from the whole list"} {
		t.Run(kind, func(t *testing.T) {
			r := newRig(t, testConfig())
			switch kind {
			case "draining":
				r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Draining})
			case "gone":
				r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Removed})
			default:
				r.updateEndpoints(Snapshot, Node{ID: "n1", Shard: 1})
			}
			id, acts := r.request(Request{Shard: 0})
			expectOutcome(t, "no node serves it", acts, id, "refused")
			r.updateEndpoints(Delta, Node{ID: "n2", Shard: 0})
			id, acts = r.request(Request{Shard: 0})
			expectOutcome(t, "a successor", acts, id, "sent")
		})
	}
	t.Run("what is held moves to the successor", func(t *testing.T) {
		r := newRig(t, testConfig())
		for range 4 {
			r.request(Request{Shard: 0, Plan: 1})
		}
		id, acts := r.request(Request{Shard: 0, Plan: 1})
		expectOutcome(t, "depth is full", acts, id, "held")
		acts = r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Draining}, Node{ID: "n2", Shard: 0})
		expectOutcome(t, "successor", acts, id, "sent")
	})
	t.Run("an emptied list is harmless", func(t *testing.T) {
		r := newRig(t, testConfig())
		r.updateEndpoints(Snapshot)
		id, acts := r.request(Request{Shard: AnyShard})
		expectOutcome(t, "no nodes", acts, id, "refused")
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
		t.Fatal("discovery not asked at the start")
	}
	now := time.Hour
	// A change binds 6 s after discovery could be reached, and a call may take 2.5 s of these; 6 s after
	// a watch fell silent, which shows 2.7 s later.
	for range 3 {
		longest := 750 * ms
		for range 20 {
			if watched(d.Handle(now, EndpointUpdate{Kind: PollFailed})) {
				t.Fatal("asked again at once after a failure")
			}
			if now += longest; !watched(d.Handle(now, TimerFired{"wake"})) {
				t.Fatalf("not asked again %v after a failure", longest)
			}
			longest = 3 * time.Second
		}
		d.Handle(now, EndpointUpdate{Kind: Delta}) // it was told something: what failed before is over
	}
}
