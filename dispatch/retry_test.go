package dispatch

import (
	"testing"
	"time"
)

func TestRetryByIdempotency(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		ends  AttemptResult
		wait  time.Duration
		want  string
	}{
		{"safe after an error is tried again", 0, ServerError, retryDelay, "sent"},
		{"safe turned away is tried again", 0, Rejected, retryDelay, "sent"},
		{"unsafe turned away is tried again", 2, Rejected, retryDelay, "sent"},
		{"unsafe after an error is neither sent nor refused", 2, ServerError, 0, "failed"},
		{"unsafe after a reset is neither sent nor refused", 2, ConnectionReset, 0, "failed"},
		{"unsafe that never connected is tried again", 2, ConnectFailed, retryDelay, "sent"},
		{"keyed after an error is tried again at its node", 1, ServerError, retryDelay, "sent"},
		{"keyed whose answer is lost is tried again at its node", 1, TimedOut, ms, "sent"},
		{"safe whose answer is lost is tried again", 0, TimedOut, ms, "sent"},
		{"unsafe whose answer is lost is neither sent nor refused", 2, TimedOut, 0, "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig())
			id, acts := r.request(Request{Shard: 0, Class: c.class, Plan: 1})
			expectOutcome(t, "first", acts, id, "sent")
			r.now += 10 * ms
			acts = r.complete(id, 0, c.ends)
			if c.wait > 0 {
				expectOutcome(t, "before the gap", acts, id, "held")
				acts = r.advance(c.wait)
			}
			expectOutcome(t, "then", acts, id, c.want)
		})
	}
	t.Run("keyed new object stays in its group and window", func(t *testing.T) {
		r := newRig(t, testConfig())
		q := &request{class: &r.d.cfg.Classes[1], attempts: 1, ambiguous: true, ambiguousSince: r.d.now, ambiguousShard: 0}
		for range 40 { // room in the budget
			r.d.budgetRequests = append(r.d.budgetRequests, r.d.now)
		}
		if !r.d.mayRetry(q, r.d.nodes["n0"]) || r.d.mayRetry(q, r.d.nodes["n1"]) {
			t.Error("want a repeat at the same shard only")
		}
		r.d.now += 800 * ms
		if r.d.mayRetry(q, r.d.nodes["n0"]) {
			t.Error("repeated at the end of the window")
		}
	})
}

func TestRetryBudget(t *testing.T) {
	r := newRig(t, testConfig()) // 2 free + 10 %
	again := 0
	for range 10 {
		id, _ := r.request(Request{Shard: 0, Plan: 1})
		r.complete(id, 0, ServerError)
		for _, a := range sentRequests(r.advance(retryDelay)) {
			again++
			r.complete(a, 1, OK)
		}
	}
	if again != 3 { // 2 + 10 % of 10
		t.Errorf("%d further attempts for 10 requests, want 3", again)
	}
	cfg := testConfig()
	cfg.RetryBudget = RetryBudget{}
	r = newRig(t, cfg)
	for range 10 {
		id, _ := r.request(Request{Shard: 0, Plan: 1})
		r.complete(id, 0, ServerError)
		acts := r.advance(retryDelay)
		expectOutcome(t, "no budget stated", acts, id, "sent")
		r.complete(id, 1, OK)
	}
}
