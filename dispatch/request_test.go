package dispatch

import (
	"testing"
	"time"
)

func TestRequestIsAnsweredOnce(t *testing.T) {
	r := newFixture(t, testConfig())
	id, acts := r.request(Request{Shard: 0})
	expectOutcome(t, "request to an idle node", acts, id, sent)
	r.now += time.Second
	expectOutcome(t, "request after a timeout at its deadline", r.complete(id, 0, TimedOut), id, rejected)
	if acts := r.complete(id, 0, OK); len(sentRequests(acts)) > 0 {
		t.Error("got a request sent after its final answer, want nothing sent")
	}
	id, acts = r.request(Request{Shard: 7})
	expectOutcome(t, "request for a shard without a node", acts, id, rejected)
	id, _ = r.request(Request{Shard: 0})
	r.handle(ClientCanceled{id})
	if acts := r.complete(id, 0, Rejected); outcomeOf(acts, id) != pending {
		t.Errorf("got an answer after the client canceled, want none (actions: %v)", acts)
	}
	r.handle(ClientCanceled{999}) // the request is unknown
	r.complete(999, 0, OK)
	if len(r.d.requests) != 0 {
		t.Errorf("got %d records of completed requests, want 0", len(r.d.requests))
	}
}

// TestQueuedRequestWaitsAsLongAsItsClient checks that a queued request stays in the queue while its
// client has time, also after the latency objective, and is answered before that time ends.
func TestQueuedRequestWaitsAsLongAsItsClient(t *testing.T) {
	r := newFixture(t, testConfig())
	var ids []RequestID
	for range 12 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		ids = append(ids, id)
	}
	waiting := 0
	for _, id := range ids {
		if q := r.d.requests[id]; q != nil && q.state == queued {
			waiting++
		}
	}
	if waiting == 0 {
		t.Fatal("got no request queued at the concurrency limit, want some")
	}
	cfg := r.d.cfg
	timeout := cfg.Classes[idempotentClass].Deadline
	r.advance(timeout - cfg.RoundTrip - ms)
	still := 0
	for _, q := range r.d.requests {
		if q.state == queued {
			still++
		}
	}
	if still != waiting {
		t.Errorf("got %d requests queued while their clients have time, want all %d", still, waiting)
	}
	r.advance(ms)
	for id, q := range r.d.requests {
		if q.state == queued {
			t.Errorf("got request %d still queued when its client's time ends, want it answered", id)
		}
	}
}

func TestDuplicateCompletionIsIgnored(t *testing.T) {
	r := newFixture(t, testConfig())
	id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.now += 10 * ms
	r.complete(id, 0, TimedOut)
	acts := r.advance(ms)
	expectOutcome(t, "retry after a timeout", acts, id, sent)
	expectOutcome(t, "request after a second completion of its first attempt", r.complete(id, 0, OK), id, pending)
	if q := r.d.requests[id]; q == nil || !q.outstanding {
		t.Error("got the second attempt ended by a duplicate completion, want it outstanding")
	}
	r.complete(id, 1, OK)
	r.complete(id, 1, OK)
	if len(r.d.requests) != 0 || r.d.nodes["n0"].inFlight != 0 {
		t.Errorf("got %d request records and %d requests in flight, want 0 of each", len(r.d.requests), r.d.nodes["n0"].inFlight)
	}
}
