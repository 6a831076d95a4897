package dispatch

import (
	"testing"
	"time"
)

// canceledRequests returns the IDs of the requests whose attempts acts cancel.
func canceledRequests(acts []Action) (ids []RequestID) {
	for _, a := range acts {
		if c, ok := a.(CancelAttempt); ok {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// observeResponses lets n0 answer a few requests, so that the dispatcher knows its service
// time.
func observeResponses(r *fixture) {
	for range 4 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.complete(id, 0, OK)
	}
}

// TestOvertakenAttemptDoesNotCountAsDelay checks that the age of an attempt does not count as
// delay once its node has promptly answered an attempt that was sent later.
func TestOvertakenAttemptDoesNotCountAsDelay(t *testing.T) {
	r := newFixture(t, testConfig())
	observeResponses(r)
	r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass}) // the response to this request is lost
	r.advance(1 * ms)
	later, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(5 * ms)
	r.complete(later, 0, OK)
	r.advance(400 * ms)
	for range 2 {
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		expectOutcome(t, "request after a lost response", acts, id, sent)
	}
}

// TestLateResponseDoesNotOvertake checks that a late response to a later attempt does not make
// an earlier attempt count as lost, because a late response shows that the node is slow.
func TestLateResponseDoesNotOvertake(t *testing.T) {
	r := newFixture(t, testConfig())
	observeResponses(r)
	first, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(1 * ms)
	later, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(150 * ms)
	acts := r.handle(AttemptCompleted{ID: later, Result: OK, Responded: true, Latency: 150 * ms})
	if got := canceledRequests(acts); len(got) > 0 {
		t.Errorf("got canceled attempts of requests %v after a slow response, want none", got)
	}
	if n := r.d.nodes["n0"]; n.lastPromptSentAt > r.d.requests[first].sentAt {
		t.Error("got a slow response counted as prompt, want it counted as late")
	}
}

// TestOvertakenAttemptIsCanceled checks when an overtaken attempt is canceled. An attempt is
// overtaken when its node promptly answers an attempt that was sent later. The dispatcher
// cancels it once, if its class may be repeated and a retry can complete within the latency
// objective.
func TestOvertakenAttemptIsCanceled(t *testing.T) {
	for _, c := range []struct {
		class Class
		want  bool
	}{
		{testConfig().Classes[idempotentClass], true},
		{testConfig().Classes[deduplicatedClass], true},
		{testConfig().Classes[nonIdempotentClass], false},
	} {
		cfg := testConfig()
		cfg.Classes[0] = c.class
		cfg.Classes[0].Ordered = false
		r := newFixture(t, cfg)
		observeResponses(r)
		lost, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(60 * ms)
		later, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		expectOutcome(t, "second request", acts, later, sent)
		r.advance(5 * ms)
		acts = r.complete(later, 0, OK)
		if got := canceledRequests(acts); (len(got) == 1 && got[0] == lost) != c.want {
			t.Errorf("class %s: got canceled attempts of requests %v, want the overtaken one canceled: %v", c.class.Name, got, c.want)
		}
		if !c.want {
			continue
		}
		third, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(5 * ms)
		if got := canceledRequests(r.complete(third, 0, OK)); len(got) > 0 {
			t.Errorf("class %s: got the attempt canceled twice, want once", c.class.Name)
		}
		before := r.d.lossRate
		r.complete(lost, 0, Canceled)
		expectOutcome(t, "retry after the cancellation", r.advance(1*ms), lost, sent)
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(5 * ms)
		r.complete(id, 0, OK)
		if r.d.lossRate <= before {
			t.Errorf("class %s: got no higher loss rate, want the response counted as lost", c.class.Name)
		}
	}
}

// TestOvertakenAttemptIsNotCanceledWithoutBudget checks that an overtaken attempt stays in
// flight if the retry budget has no room for a retry. If the attempt were canceled, the request
// could only fail.
func TestOvertakenAttemptIsNotCanceledWithoutBudget(t *testing.T) {
	cfg := testConfig()
	cfg.RetryBudget.MinRetries = 0
	cfg.RetryBudget.Ratio = 0
	r := newFixture(t, cfg)
	observeResponses(r)
	r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(60 * ms)
	later, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(5 * ms)
	if got := canceledRequests(r.complete(later, 0, OK)); len(got) > 0 {
		t.Errorf("got canceled attempts of requests %v without a retry budget, want none", got)
	}
}

// loseResponse sends a request to n0 that times out.
func loseResponse(r *fixture) {
	id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.now += time.Second
	r.complete(id, 0, TimedOut)
}

// answerPromptly lets n0 answer a request promptly. It checks that the request was sent without
// an early deadline.
func answerPromptly(t *testing.T, r *fixture) {
	t.Helper()
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	if sentDeadline(t, acts) != 0 {
		t.Error("got an early deadline while the loss rate is 0, want none")
	}
	r.now += 5 * ms
	r.complete(id, 0, OK)
}

// sentDeadline returns the deadline of the first attempt that acts send.
func sentDeadline(t *testing.T, acts []Action) time.Duration {
	t.Helper()
	for _, a := range acts {
		if a, ok := a.(SendAttempt); ok {
			return a.Deadline
		}
	}
	t.Fatal("got no attempt sent, want one")
	return 0
}

// TestLossRateSetsEarlyDeadlines checks that the dispatcher sends attempts with an early
// deadline once it has detected lost responses. A request with a lost response can then be
// retried in the time that its client has left, whatever that time is.
func TestLossRateSetsEarlyDeadlines(t *testing.T) {
	r := newFixture(t, testConfig())
	answerPromptly(t, r)
	loseResponse(r)
	if r.d.lossRate != 0 {
		t.Error("got a timeout alone counted as a lost response, want loss rate 0")
	}
	r.now += 3 * time.Second
	answerPromptly(t, r)
	// An attempt takes 5 ms, and its response counts as late after four times as long.
	const timeout, latest = 150 * ms, 150*ms - 4*5*ms
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: timeout})
	deadline := sentDeadline(t, acts)
	if deadline <= r.now || deadline > r.now+latest {
		t.Fatalf("deadline of the attempt: got %v after sending, want at most %v", deadline-r.now, latest)
	}
	r.now = deadline
	acts = append(r.complete(id, 0, TimedOut), r.advance(0)...)
	acts = append(acts, r.advance(ms)...)
	expectOutcome(t, "retry after a lost response", acts, id, sent)
}

func TestLossRateIgnoresSlowNodes(t *testing.T) {
	r := newFixture(t, testConfig())
	answerPromptly(t, r)
	loseResponse(r)
	id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.now += 900 * ms
	r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 900 * ms})
	if r.d.lossRate != 0 {
		t.Error("got the timeout of a slow node counted as a lost response, want loss rate 0")
	}
}
