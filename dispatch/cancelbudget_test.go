package dispatch

import "testing"

// Canceled attempts are retried: the dispatcher does not cancel more attempts than the retry
// budget has room for, as the requests beyond it are rejected although their responses may
// still come.
func TestCanceledAttemptsFitTheRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotentClass].LatencyObjective = 1000 * ms
	cfg.Classes[idempotentClass].Deadline = 2000 * ms
	cfg.RetryBudget = RetryBudget{MinRetries: 1, Ratio: 0, Window: 5000 * ms}
	r := newRig(t, cfg)
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
		t.Errorf("canceled attempts of %v (sent %d and %d), the budget has room for 1 retry", canceled, a, b)
	}
	for _, id := range canceled {
		acts := r.complete(id, 0, Canceled)
		acts = append(acts, r.advance(1*ms)...)
		expectOutcome(t, "after the cancel", acts, id, sent)
	}
}
