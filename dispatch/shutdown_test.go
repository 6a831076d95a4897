package dispatch

import "testing"

// TestShutdownAnswersWaitingRequests checks that a shutdown gives a final answer to the requests that wait
// in a queue or for a retry, rejects later ones, and starts no further attempt.
func TestShutdownAnswersWaitingRequests(t *testing.T) {
	r := newFixture(t, testConfig())
	inFlight, acts := r.request(Request{Shard: 0, Class: deduplicatedClass, Plan: unlimitedPlan, Key: "k"})
	expectOutcome(t, "first request of the key", acts, inFlight, sent)
	queuedByKey, acts := r.request(Request{Shard: 0, Class: deduplicatedClass, Plan: unlimitedPlan, Key: "k"})
	expectOutcome(t, "second request of the key", acts, queuedByKey, pending)
	var queued RequestID
	for queued == 0 {
		if id, acts := r.request(Request{Shard: 1, Plan: unlimitedPlan}); outcomeOf(acts, id) == pending {
			queued = id
		}
	}
	ambiguous := retryInBackoff(t, deduplicatedClass, r)

	acts = r.handle(Shutdown{})
	expectOutcome(t, "request with an attempt in flight", acts, inFlight, pending)
	expectOutcome(t, "request in the queue of its key", acts, queuedByKey, rejected)
	expectOutcome(t, "request in the queue of its node", acts, queued, rejected)
	expectOutcome(t, "request in backoff that may have been executed", acts, ambiguous, failed)
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	expectOutcome(t, "request after the shutdown", acts, id, rejected)
	for range 20 {
		acts = append(acts, r.advance(100*ms)...)
	}
	if ids := sentRequests(acts); len(ids) > 0 {
		t.Errorf("got attempts of requests %v after the shutdown, want none", ids)
	}
}

// retryInBackoff returns a request of a class whose first attempt has failed with a server error.
func retryInBackoff(t *testing.T, class int, r *fixture) RequestID {
	t.Helper()
	id, acts := r.request(Request{Shard: 0, Class: class, Plan: unlimitedPlan})
	expectOutcome(t, "first attempt", acts, id, sent)
	expectOutcome(t, "request in backoff", r.complete(id, 0, ServerError), id, pending)
	return id
}

// TestShutdownAnswersAttemptsInFlight checks the final answer of a request whose attempt ends during a
// shutdown: a rejection only if a retry by the client is safe.
func TestShutdownAnswersAttemptsInFlight(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result AttemptResult
		want   outcome
	}{
		{"idempotent, canceled", idempotentClass, Canceled, rejected},
		{"deduplicated, canceled", deduplicatedClass, Canceled, failed},
		{"deduplicated, not sent", deduplicatedClass, NotSent, rejected},
		{"non-idempotent, canceled", nonIdempotentClass, Canceled, failed},
		{"non-idempotent, rejected by the node", nonIdempotentClass, Rejected, rejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, testConfig())
			id, acts := r.request(Request{Shard: 0, Class: c.class, Plan: unlimitedPlan})
			expectOutcome(t, "first attempt", acts, id, sent)
			expectOutcome(t, "shutdown", r.handle(Shutdown{}), id, pending)
			expectOutcome(t, "end of the attempt", r.complete(id, 0, c.result), id, c.want)
			if len(r.d.requests) > 0 {
				t.Errorf("got %d requests after the shutdown, want none", len(r.d.requests))
			}
		})
	}
}
