package dispatch

import "testing"

// oneRetryRig returns a rig whose budget has room for one retry, with the service time of n0 known.
func oneRetryRig(t *testing.T) *rig {
	t.Helper()
	cfg := testConfig()
	cfg.Classes[idempotentClass].LatencyObjective = 1000 * ms
	cfg.Classes[idempotentClass].Deadline = 2000 * ms
	cfg.RetryBudget = RetryBudget{MinRetries: 1, Window: 5000 * ms}
	r := newRig(t, cfg)
	for range 40 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(2 * ms)
		r.complete(id, 0, OK)
	}
	return r
}

// An attempt is not canceled for a retry whose room in the budget a request in backoff needs.
func TestBackoffHoldsRoomInTheRetryBudget(t *testing.T) {
	r := oneRetryRig(t)
	slow, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(60 * ms)
	other, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	reset, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan})
	expectOutcome(t, "after the reset", r.complete(reset, 0, ConnectionReset), reset, pending)
	r.advance(2 * ms)
	if canceled := canceledRequests(r.complete(other, 0, OK)); len(canceled) > 0 {
		t.Errorf("canceled %v (sent %d), the room for 1 retry is reserved", canceled, slow)
	}
	expectOutcome(t, "after the backoff", r.advance(retryDelay), reset, sent)
}

// A claim ends with its request or its retry, so that it does not take room from others for good.
func TestRetryClaimEndsWithItsRequest(t *testing.T) {
	r := oneRetryRig(t)
	canceled, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan})
	r.complete(canceled, 0, ConnectionReset)
	if r.d.scheduledRetries != 1 {
		t.Fatalf("%d claims for a request in backoff", r.d.scheduledRetries)
	}
	r.handle(ClientCanceled{ID: canceled})
	if r.d.scheduledRetries != 0 {
		t.Fatalf("%d claims without a request", r.d.scheduledRetries)
	}
	id, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan})
	r.complete(id, 0, ConnectionReset)
	expectOutcome(t, "after the backoff", r.advance(retryDelay), id, sent)
	if r.d.scheduledRetries != 0 {
		t.Errorf("%d claims after the retry was sent", r.d.scheduledRetries)
	}
}

// The room reserved for a canceled attempt is free again when its client cancels the request.
func TestReservedRetryEndsWithItsRequest(t *testing.T) {
	r := oneRetryRig(t)
	slow, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(60 * ms)
	other, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(2 * ms)
	if canceled := canceledRequests(r.complete(other, 0, OK)); len(canceled) != 1 || r.d.reservedRetries != 1 {
		t.Fatalf("canceled %v with %d reservations, want %d alone", canceled, r.d.reservedRetries, slow)
	}
	reset, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan})
	expectOutcome(t, "a retry beside the reservation", r.complete(reset, 0, ConnectionReset), reset, rejected)
	r.handle(ClientCanceled{ID: slow})
	r.complete(slow, 0, Canceled)
	if r.d.reservedRetries != 0 {
		t.Errorf("%d reservations without a request", r.d.reservedRetries)
	}
}
