package dispatch

import (
	"slices"
	"testing"
	"time"
)

// A burst of requests with a long objective waits in its own flow, also where the concurrency
// limit is one: it blocks no other volume. One with the tightest objective is rejected.
func TestLongObjectiveWaitsInItsFlow(t *testing.T) {
	cfg := testConfig()
	cfg.DispatcherCount = 40
	cfg.Classes = append(cfg.Classes, Class{
		Name:             "scan",
		LatencyObjective: 2 * time.Second,
		Deadline:         4 * time.Second,
		PriorityWeight:   2,
	})
	scanClass := len(cfg.Classes) - 1
	for class, want := range map[int]bool{scanClass: true, idempotentClass: false} {
		r := newRig(t, cfg)
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "w"})
		r.now += 40 * ms
		r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 40 * ms})
		var got []outcome
		for range 4 {
			id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: class, Units: 2})
			got = append(got, outcomeOf(acts, id))
		}
		allQueued := slices.Equal(got, []outcome{sent, pending, pending, pending})
		if allQueued != want {
			t.Errorf("class %d: %v", class, got)
		}
	}
}

// Clients that give up early and retry at once are rejected at once, and take no place, reserve
// or retry budget from others.
func TestImpatientClientsTakeNothingFromOthers(t *testing.T) {
	r := newRig(t, testConfig())
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan}) // shows the timeout of clients of the class
	expectOutcome(t, "patient", acts, id, sent)
	r.complete(id, 0, OK)
	r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "w"})
	v := r.d.volumes["v"]
	reserve := v.reserve
	for range 15 {
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: 60 * ms})
		expectOutcome(t, "impatient", acts, id, rejected)
	}
	if v.reserve != reserve || v.queuedUnits != 0 || len(r.d.budgetRetries) != 0 {
		t.Errorf("reserve %g, was %g; %g units queued", v.reserve, reserve, v.queuedUnits)
	}
}
