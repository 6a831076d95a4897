package dispatch

import (
	"slices"
	"testing"
	"time"
)

func TestNodeThatIsNotReadyGetsNoRequests(t *testing.T) {
	for _, kind := range []string{"draining", "removed", "missing from a snapshot"} {
		t.Run(kind, func(t *testing.T) {
			r := newFixture(t, testConfig())
			switch kind {
			case "draining":
				r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Draining})
			case "removed":
				r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Removed})
			default:
				r.updateEndpoints(Snapshot, Node{ID: "n1", Shard: 1})
			}
			id, acts := r.request(Request{Shard: 0})
			expectOutcome(t, "shard without a ready node", acts, id, rejected)
			r.updateEndpoints(Delta, Node{ID: "n2", Shard: 0})
			id, acts = r.request(Request{Shard: 0})
			expectOutcome(t, "shard with a new node", acts, id, sent)
		})
	}
	t.Run("queued requests move to the successor", func(t *testing.T) {
		r := newFixture(t, testConfig())
		for range 4 {
			r.request(Request{Shard: 0, Plan: unlimitedPlan})
		}
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		expectOutcome(t, "request at the concurrency limit", acts, id, pending)
		acts = r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Draining}, Node{ID: "n2", Shard: 0})
		expectOutcome(t, "queued request after the new node is ready", acts, id, sent)
	})
	t.Run("an empty snapshot rejects requests", func(t *testing.T) {
		r := newFixture(t, testConfig())
		r.updateEndpoints(Snapshot)
		id, acts := r.request(Request{Shard: AnyShard})
		expectOutcome(t, "request without any node", acts, id, rejected)
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
		t.Fatal("got no Watch action at the first event, want one")
	}
	now := time.Hour
	// Dispatchers must apply a change of the node list within 6 s after discovery becomes
	// reachable, and a call to discovery may take 2.5 s of that time. They must also apply it
	// within 6 s after a watch becomes silent, which is detected after 2.7 s. The delays below
	// stay within these limits.
	for range 3 {
		maxDelay := 750 * ms
		for range 20 {
			if watched(d.Handle(now, EndpointUpdate{Kind: PollFailed})) {
				t.Fatal("got a Watch action at once after a failed call, want it after a delay")
			}
			if now += maxDelay; !watched(d.Handle(now, TimerFired{"wake"})) {
				t.Fatalf("got no Watch action %v after a failed call, want one by then", maxDelay)
			}
			maxDelay = 3 * time.Second
		}
		d.Handle(now, EndpointUpdate{Kind: Delta}) // a successful call resets the delay
	}
}

// Where lists are pushed, a change that discovery learns at the end of an outage binds a dispatcher at
// once, with a grace of half a second on some deployments. While discovery is silent, the pause between
// two calls is shorter than that, however long the outage lasts. Before the fix, it grew to 3 s. A
// discovery that refuses calls at once is still called less and less often.
func TestPushedListsArePolledThroughOutage(t *testing.T) {
	const callTimeout = 2500 * ms // a caller gives up a call that has no answer for so long
	cfg := testConfig()
	cfg.PollDiscovery, cfg.ListsPushed = true, true
	d, err := New(cfg, 3)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	d.Handle(now, EndpointUpdate{Kind: Cached})
	failAfter := func(callTime time.Duration) (pause time.Duration) {
		now += callTime
		acts := d.Handle(now, EndpointUpdate{Kind: PollFailed})
		for !slices.ContainsFunc(acts, func(a Action) bool { return a == Watch{On: true} }) {
			now += 10 * ms
			pause += 10 * ms
			if acts = d.Handle(now, TimerFired{"wake"}); pause > 5*time.Second {
				t.Fatal("got no Watch action 5 s after a failed call")
			}
		}
		return pause
	}
	failAfter(callTimeout) // the first pause keeps apart the calls of dispatchers whose watches end together
	for range 20 {
		if pause := failAfter(callTimeout); pause > 300*ms || pause < 50*ms {
			t.Fatalf("got a pause of %v after a silent call, want 50 to 300 ms", pause)
		}
	}
	sum := time.Duration(0)
	for range 20 {
		sum += failAfter(0)
	}
	if mean := sum / 20; mean < 1500*ms {
		t.Errorf("got a mean pause of %v between refused calls, want at least 1.5 s", mean)
	}
}

func TestNodeChangesShard(t *testing.T) {
	r := newFixture(t, testConfig())
	for range 5 {
		r.request(Request{Shard: 0, Plan: unlimitedPlan})
	}
	r.updateEndpoints(Delta, Node{ID: "n0", Shard: 9, Kind: 3})
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	expectOutcome(t, "request for the old shard of the node", acts, id, rejected)
	for id, q := range r.d.requests {
		if q.outstanding {
			r.complete(id, 0, OK)
		}
	}
	for _, a := range r.advance(time.Second) {
		if a, ok := a.(SendAttempt); ok {
			t.Errorf("got request %d of the old shard sent to the node, want none sent", a.ID)
		}
	}
	id, acts = r.request(Request{Shard: 9, Plan: unlimitedPlan})
	expectOutcome(t, "request for the new shard of the node", acts, id, sent)
}
