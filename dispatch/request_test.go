package dispatch

import (
	"testing"
	"time"
)

// Odd but possible input at a grown deployment leads to a harmless decision.
func TestOddInput(t *testing.T) {
	t.Run("more hosts than there are dispatchers", func(t *testing.T) {
		r := newRig(t, testConfig()) // limit 30, burst and slack 48, in 12 parts
		sent := 0.0
		for range 40 {
			id, _ := r.request(Request{Shard: 0, Dispatchers: 12})
			if q := r.d.requests[id]; q != nil && q.outstanding {
				sent++
				r.complete(id, 0, OK)
			}
		}
		if sent > 48.0/12 {
			t.Errorf("%g units at once, want at most a twelfth of the store", sent)
		}
	})
	t.Run("a node changes kind and shard under its id", func(t *testing.T) {
		r := newRig(t, testConfig())
		for range 5 {
			r.request(Request{Shard: 0, Plan: 1})
		}
		r.updateEndpoints(Delta, Node{ID: "n0", Shard: 9, Kind: 3})
		id, acts := r.request(Request{Shard: 0, Plan: 1})
		expectOutcome(t, "its old shard", acts, id, "refused")
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
		id, acts = r.request(Request{Shard: 9, Plan: 1})
		expectOutcome(t, "its new shard", acts, id, "sent")
	})
	t.Run("an outcome after the attempt's own time-out", func(t *testing.T) {
		r := newRig(t, testConfig())
		id, _ := r.request(Request{Shard: 0, Plan: 1})
		r.now += 10 * ms
		r.complete(id, 0, TimedOut)
		acts := r.advance(ms)
		expectOutcome(t, "tried again", acts, id, "sent")
		expectOutcome(t, "a second end of the first attempt", r.complete(id, 0, OK), id, "held")
		if q := r.d.requests[id]; q == nil || !q.outstanding {
			t.Error("the second attempt is no longer awaited")
		}
		r.complete(id, 1, OK)
		r.complete(id, 1, OK)
		if len(r.d.requests) != 0 || r.d.nodes["n0"].inFlight != 0 {
			t.Errorf("%d requests, %d out", len(r.d.requests), r.d.nodes["n0"].inFlight)
		}
	})
	t.Run("an older or repeated use figure acts once an interval at most", func(t *testing.T) {
		r := newRig(t, testConfig())
		for range 6 {
			id, _ := r.request(Request{Shard: 0, Plan: 1})
			r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 5 * ms, QuotaUsage: 301})
		}
		r.advance(controllerInterval)
		phi := r.d.volumes["v"].weight
		if r.advance(controllerInterval); r.d.volumes["v"].weight != phi || phi >= 3 {
			t.Errorf("weight %g, then %g: want one step down from 3", phi, r.d.volumes["v"].weight)
		}
	})
}

func TestRequestIsAnsweredOnce(t *testing.T) {
	r := newRig(t, testConfig())
	id, acts := r.request(Request{Shard: 0})
	expectOutcome(t, "idle node", acts, id, "sent")
	expectOutcome(t, "time-out at the deadline", func() []Action { r.now += time.Second; return r.complete(id, 0, TimedOut) }(), id, "refused")
	if acts := r.complete(id, 0, OK); len(sentRequests(acts)) > 0 {
		t.Error("sent after the answer")
	}
	id, acts = r.request(Request{Shard: 7})
	expectOutcome(t, "a shard that no node holds", acts, id, "refused")
	id, _ = r.request(Request{Shard: 0})
	r.handle(ClientCanceled{id})
	if acts := r.complete(id, 0, Rejected); outcomeOf(acts, id) != "held" {
		t.Errorf("answered a client that has left: %v", acts)
	}
	r.handle(ClientCanceled{999}) // never heard of: harmless
	r.complete(999, 0, OK)
	if len(r.d.requests) != 0 {
		t.Errorf("%d requests kept after their end", len(r.d.requests))
	}
}

func TestQueuedRequestIsAnsweredByItsObjective(t *testing.T) {
	r := newRig(t, testConfig())
	var ids []RequestID
	for range 12 {
		id, _ := r.request(Request{Shard: 0, Plan: 1})
		ids = append(ids, id)
	}
	waits := 0
	for _, id := range ids {
		if q := r.d.requests[id]; q != nil && q.state == queued {
			waits++
		}
	}
	if waits == 0 {
		t.Fatal("nothing held behind a full depth")
	}
	r.advance(200 * ms)
	for id, q := range r.d.requests {
		if q.state == queued {
			t.Errorf("request %d still held at its aim", id)
		}
	}
}
