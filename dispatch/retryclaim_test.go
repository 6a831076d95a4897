package dispatch

import "testing"

// oneRetryFixture returns a fixture whose retry budget has room for one retry. The dispatcher knows the
// service time of n0.
func oneRetryFixture(t *testing.T) *fixture {
	t.Helper()
	cfg := testConfig()
	cfg.Classes[idempotentClass].LatencyObjective = 1000 * ms
	cfg.Classes[idempotentClass].Deadline = 2000 * ms
	cfg.RetryBudget = RetryBudget{MinRetries: 1, Window: 5000 * ms}
	r := newFixture(t, cfg)
	for range 40 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(2 * ms)
		r.complete(id, 0, OK)
	}
	return r
}

// TestBackoffHoldsRoomInTheRetryBudget checks that the dispatcher does not cancel an attempt if
// a request in backoff needs the last retry that the budget allows.
func TestBackoffHoldsRoomInTheRetryBudget(t *testing.T) {
	r := oneRetryFixture(t)
	slow, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(60 * ms)
	other, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	reset, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan})
	expectOutcome(t, "request during its backoff", r.complete(reset, 0, ConnectionReset), reset, pending)
	r.advance(2 * ms)
	if canceled := canceledRequests(r.complete(other, 0, OK)); len(canceled) > 0 {
		t.Errorf("got canceled attempts of requests %v (request %d is slow), want none because the only retry is claimed", canceled, slow)
	}
	expectOutcome(t, "retry after the backoff", r.advance(retryDelay), reset, sent)
}

// TestRetryClaimEndsWithItsRequest checks that a claim on the retry budget ends when its
// request ends or its retry is sent. A claim without an end would reduce the budget of other
// requests forever.
func TestRetryClaimEndsWithItsRequest(t *testing.T) {
	r := oneRetryFixture(t)
	canceled, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan})
	r.complete(canceled, 0, ConnectionReset)
	if r.d.scheduledRetries != 1 {
		t.Fatalf("got %d claims for a request in backoff, want 1", r.d.scheduledRetries)
	}
	r.handle(ClientCanceled{ID: canceled})
	if r.d.scheduledRetries != 0 {
		t.Fatalf("got %d claims after the client canceled, want 0", r.d.scheduledRetries)
	}
	id, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan})
	r.complete(id, 0, ConnectionReset)
	expectOutcome(t, "retry after the backoff", r.advance(retryDelay), id, sent)
	if r.d.scheduledRetries != 0 {
		t.Errorf("got %d claims after the retry was sent, want 0", r.d.scheduledRetries)
	}
}

// TestReservedRetryEndsWithItsRequest checks that the reservation for the retry of a canceled
// attempt ends when the client cancels the request.
func TestReservedRetryEndsWithItsRequest(t *testing.T) {
	r := oneRetryFixture(t)
	slow, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(60 * ms)
	other, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(2 * ms)
	if canceled := canceledRequests(r.complete(other, 0, OK)); len(canceled) != 1 || r.d.reservedRetries != 1 {
		t.Fatalf("got canceled attempts of requests %v with %d reservations, want 1 reservation for request %d alone", canceled, r.d.reservedRetries, slow)
	}
	reset, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan})
	expectOutcome(t, "request that needs the reserved retry", r.complete(reset, 0, ConnectionReset), reset, rejected)
	r.handle(ClientCanceled{ID: slow})
	r.complete(slow, 0, Canceled)
	if r.d.reservedRetries != 0 {
		t.Errorf("got %d reservations after the request has ended, want 0", r.d.reservedRetries)
	}
}
