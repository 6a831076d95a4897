package dispatch

import (
	"testing"
	"time"
)

func TestRetryByIdempotency(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result AttemptResult
		delay  time.Duration
		want   outcome
	}{
		{"idempotent after a server error is retried", idempotentClass, ServerError, retryDelay, sent},
		{"idempotent after a rejection is retried", idempotentClass, Rejected, retryDelay, sent},
		{"non-idempotent after a rejection is retried", nonIdempotentClass, Rejected, retryDelay, sent},
		{"non-idempotent after a server error fails", nonIdempotentClass, ServerError, 0, failed},
		{"non-idempotent after a reset fails", nonIdempotentClass, ConnectionReset, 0, failed},
		{"non-idempotent after a failed connect is retried", nonIdempotentClass, ConnectFailed, retryDelay, sent},
		{"deduplicated after a server error is retried at its node", deduplicatedClass, ServerError, retryDelay, sent},
		{"deduplicated after a timeout is retried at its node", deduplicatedClass, TimedOut, ms, sent},
		{"idempotent after a timeout is retried", idempotentClass, TimedOut, ms, sent},
		{"non-idempotent after a timeout fails", nonIdempotentClass, TimedOut, 0, failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, testConfig())
			id, acts := r.request(Request{Shard: 0, Class: c.class, Plan: unlimitedPlan})
			expectOutcome(t, "first attempt", acts, id, sent)
			r.now += 10 * ms
			acts = r.complete(id, 0, c.result)
			if c.delay > 0 {
				expectOutcome(t, "request before the retry delay has passed", acts, id, pending)
				acts = r.advance(c.delay)
			}
			expectOutcome(t, "request after the failed attempt", acts, id, c.want)
		})
	}
	t.Run("deduplicated stays in its scope and window", func(t *testing.T) {
		r := newFixture(t, testConfig())
		q := &request{
			class:          &r.d.cfg.Classes[deduplicatedClass],
			attempts:       1,
			ambiguous:      true,
			ambiguousSince: r.d.now,
			ambiguousShard: 0,
		}
		for range 40 { // make room in the retry budget
			r.d.budgetRequests = append(r.d.budgetRequests, r.d.now)
		}
		if !r.d.mayRetry(q, r.d.nodes["n0"]) || r.d.mayRetry(q, r.d.nodes["n1"]) {
			t.Error("got a retry refused at the same shard or permitted at another, want it at the same shard only")
		}
		r.d.now += 800 * ms
		if r.d.mayRetry(q, r.d.nodes["n0"]) {
			t.Error("got a retry permitted at the end of the deduplication window, want it refused")
		}
	})
}

func TestRetryBudget(t *testing.T) {
	r := newFixture(t, testConfig()) // the retry budget is 2 plus 10 % of the requests
	retries := 0
	for range 10 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.complete(id, 0, ServerError)
		for _, a := range sentRequests(r.advance(retryDelay)) {
			retries++
			r.complete(a, 1, OK)
		}
	}
	if retries != 3 { // 2 plus 10 % of 10 requests
		t.Errorf("retries for 10 requests: got %d, want 3", retries)
	}
	cfg := testConfig()
	cfg.RetryBudget = RetryBudget{}
	r = newFixture(t, cfg)
	for range 10 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.complete(id, 0, ServerError)
		acts := r.advance(retryDelay)
		expectOutcome(t, "retry without a retry budget", acts, id, sent)
		r.complete(id, 1, OK)
	}
}
