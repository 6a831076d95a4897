package dispatch

import "testing"

func TestEjectionNeedsConsecutiveFailures(t *testing.T) {
	r := newFixture(t, testConfig())
	n := r.d.nodes["n0"]
	for i := range ejectionThreshold {
		if n.ejectedUntil > r.now {
			t.Fatalf("got the node ejected after %d consecutive failures, want it in use", i)
		}
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass})
		r.complete(id, 0, ConnectionReset)
	}
	if n.ejectedUntil <= r.now {
		t.Fatal("got no ejection after the last failure, want the node ejected")
	}
	r.now = n.ejectedUntil
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass})
	expectOutcome(t, "first request after the ejection", acts, id, sent)
	id2, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass})
	expectOutcome(t, "second request after the ejection", acts, id2, pending)
	r.complete(id, 0, OK)
	if r.d.concurrencyLimit(n) < minConcurrency {
		t.Error("got a concurrency limit below the minimum after a served response, want the ejection ended")
	}
}
