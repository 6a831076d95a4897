package dispatch

import "testing"

// TestCanceledAttemptsFitTheRetryBudget checks that the dispatcher does not cancel more
// attempts than the retry budget can retry. A request whose attempt was canceled beyond the
// budget would be rejected, although its response might still have arrived.
func TestCanceledAttemptsFitTheRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotentClass].LatencyObjective = 1000 * ms
	cfg.Classes[idempotentClass].Deadline = 2000 * ms
	cfg.RetryBudget = RetryBudget{MinRetries: 1, Ratio: 0, Window: 5000 * ms}
	r := newFixture(t, cfg)
	for range 40 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(2 * ms)
		r.complete(id, 0, OK)
	}
	a, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	b, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(60 * ms)
	c, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	d, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(2 * ms)
	canceled := canceledRequests(r.complete(c, 0, OK))
	canceled = append(canceled, canceledRequests(r.complete(d, 0, OK))...)
	if len(canceled) > 1 {
		t.Errorf("got canceled attempts of requests %v out of %d and %d, want at most 1 because the budget has room for 1 retry", canceled, a, b)
	}
	for _, id := range canceled {
		acts := r.complete(id, 0, Canceled)
		acts = append(acts, r.advance(1*ms)...)
		expectOutcome(t, "retry after the cancellation", acts, id, sent)
	}
}
