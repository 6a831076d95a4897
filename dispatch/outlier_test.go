package dispatch

import (
	"testing"
)

func TestEjectionNeedsConsecutiveFailures(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.d.nodes["n0"]
	for i := range ejectionThreshold {
		if n.ejectedUntil > r.now {
			t.Fatalf("backed off after %d bad ends", i)
		}
		id, _ := r.request(Request{Shard: 0, Plan: 1, Class: 2})
		r.complete(id, 0, ConnectionReset)
	}
	if n.ejectedUntil <= r.now {
		t.Fatal("not backed off")
	}
	r.now = n.ejectedUntil
	id, acts := r.request(Request{Shard: 0, Plan: 1, Class: 2})
	expectOutcome(t, "the first try after the back-off", acts, id, "sent")
	id2, acts := r.request(Request{Shard: 0, Plan: 1, Class: 2})
	expectOutcome(t, "only one at a time", acts, id2, "held")
	r.complete(id, 0, OK)
	if r.d.concurrencyLimit(n) < minConcurrency {
		t.Error("an answer did not clear the suspicion")
	}
}
