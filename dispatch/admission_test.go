package dispatch

import (
	"slices"
	"testing"
	"time"
)

// TestLongObjectiveWaitsInItsFlow checks that a burst of requests with a long latency objective
// is queued even if the concurrency limit is one, because the queue of its flow delays no other
// volume. Some requests of a burst with the tightest objective are rejected.
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
		r := newFixture(t, cfg)
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
			t.Errorf("outcomes of a burst of class %d: got %v, want all but the first queued only with the long objective", class, got)
		}
	}
}

// TestImpatientClientsTakeNothingFromOthers checks that requests of clients that give up early
// and retry at once are rejected at once. Such requests must not take queue places, reserve or
// retry budget from other requests.
func TestImpatientClientsTakeNothingFromOthers(t *testing.T) {
	r := newFixture(t, testConfig())
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan}) // shows the dispatcher the usual timeout of the class
	expectOutcome(t, "client with the usual timeout", acts, id, sent)
	r.complete(id, 0, OK)
	r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "w"})
	v := r.d.volumes["v"]
	reserve := v.reserve
	for range 15 {
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: 60 * ms})
		expectOutcome(t, "client with a short timeout", acts, id, rejected)
	}
	if v.reserve != reserve || v.queuedUnits != 0 || len(r.d.budgetRetries) != 0 {
		t.Errorf("after rejected requests: got reserve %g, want %g; got %g units queued, want 0; want no retries in the budget", v.reserve, reserve, v.queuedUnits)
	}
}
