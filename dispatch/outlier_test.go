package dispatch

import "testing"

func TestEjectionNeedsConsecutiveFailures(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.d.nodes["n0"]
	for i := range ejectionThreshold {
		if n.ejectedUntil > r.now {
			t.Fatalf("ejected after %d failures", i)
		}
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass})
		r.complete(id, 0, ConnectionReset)
	}
	if n.ejectedUntil <= r.now {
		t.Fatal("not ejected")
	}
	r.now = n.ejectedUntil
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass})
	expectOutcome(t, "the first request after the ejection", acts, id, sent)
	id2, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass})
	expectOutcome(t, "only one at a time", acts, id2, pending)
	r.complete(id, 0, OK)
	if r.d.concurrencyLimit(n) < minConcurrency {
		t.Error("a response did not end the ejection")
	}
}
