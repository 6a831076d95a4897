package dispatch

import (
	"testing"
	"time"
)

func TestRequestIsAnsweredOnce(t *testing.T) {
	r := newRig(t, testConfig())
	id, acts := r.request(Request{Shard: 0})
	expectOutcome(t, "idle node", acts, id, sent)
	r.now += time.Second
	expectOutcome(t, "timeout at the deadline", r.complete(id, 0, TimedOut), id, rejected)
	if acts := r.complete(id, 0, OK); len(sentRequests(acts)) > 0 {
		t.Error("sent after the answer")
	}
	id, acts = r.request(Request{Shard: 7})
	expectOutcome(t, "a shard without a node", acts, id, rejected)
	id, _ = r.request(Request{Shard: 0})
	r.handle(ClientCanceled{id})
	if acts := r.complete(id, 0, Rejected); outcomeOf(acts, id) != pending {
		t.Errorf("answered a client that canceled: %v", acts)
	}
	r.handle(ClientCanceled{999}) // unknown
	r.complete(999, 0, OK)
	if len(r.d.requests) != 0 {
		t.Errorf("%d completed requests kept", len(r.d.requests))
	}
}

func TestQueuedRequestIsAnsweredByItsObjective(t *testing.T) {
	r := newRig(t, testConfig())
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
		t.Fatal("nothing queued at the concurrency limit")
	}
	r.advance(200 * ms)
	for id, q := range r.d.requests {
		if q.state == queued {
			t.Errorf("request %d still queued at its objective", id)
		}
	}
}

func TestDuplicateCompletionIsIgnored(t *testing.T) {
	r := newRig(t, testConfig())
	id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.now += 10 * ms
	r.complete(id, 0, TimedOut)
	acts := r.advance(ms)
	expectOutcome(t, "retried", acts, id, sent)
	expectOutcome(t, "a second completion of the first attempt", r.complete(id, 0, OK), id, pending)
	if q := r.d.requests[id]; q == nil || !q.outstanding {
		t.Error("the second attempt is no longer outstanding")
	}
	r.complete(id, 1, OK)
	r.complete(id, 1, OK)
	if len(r.d.requests) != 0 || r.d.nodes["n0"].inFlight != 0 {
		t.Errorf("%d requests, %d in flight", len(r.d.requests), r.d.nodes["n0"].inFlight)
	}
}
