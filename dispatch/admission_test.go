package dispatch

import (
	"slices"
	"testing"
	"time"
)

// TestBurstWaitsAsLongAsItsClients checks that a burst is queued even if the concurrency limit is
// one, provided that each client has the time to wait. Of clients with less time, only those that
// cannot be served in time are rejected. The class and its latency objective make no difference.
func TestBurstWaitsAsLongAsItsClients(t *testing.T) {
	cfg := testConfig()
	cfg.DispatcherCount = 40
	cfg.Classes = append(cfg.Classes, Class{
		Name:             "scan",
		LatencyObjective: 2 * time.Second,
		Deadline:         4 * time.Second,
	})
	scanClass := len(cfg.Classes) - 1
	for _, class := range []int{idempotentClass, scanClass} {
		for timeout, want := range map[time.Duration][]outcome{
			900 * ms: {sent, pending, pending, pending}, // a request of two units takes 80 ms
			300 * ms: {sent, pending, pending, rejected},
		} {
			r := newFixture(t, cfg)
			id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan, Volume: "w"})
			r.now += 40 * ms
			r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 40 * ms})
			var got []outcome
			for range 4 {
				id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: class, Units: 2, Timeout: timeout})
				got = append(got, outcomeOf(acts, id))
			}
			if !slices.Equal(got, want) {
				t.Errorf("outcomes of a burst of class %d with %v left: got %v, want %v", class, timeout, got, want)
			}
		}
	}
}
