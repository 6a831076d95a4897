package dispatch

import (
	"testing"
	"time"
)

func canceledRequests(acts []Action) (ids []RequestID) {
	for _, a := range acts {
		if c, ok := a.(CancelAttempt); ok {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// observeResponses has n0 answer a few requests, so that its service time is known.
func observeResponses(r *rig) {
	for range 4 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.complete(id, 0, OK)
	}
}

// The age of an attempt does not count as delay once its node has answered a later one promptly.
func TestOvertakenAttemptIsNoDelay(t *testing.T) {
	r := newRig(t, testConfig())
	observeResponses(r)
	r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass}) // its response is lost
	r.advance(1 * ms)
	later, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(5 * ms)
	r.complete(later, 0, OK)
	r.advance(400 * ms)
	for range 2 {
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		expectOutcome(t, "after a lost response", acts, id, sent)
	}
}

// A late response overtakes nothing: the node is slow.
func TestLateResponseOvertakesNothing(t *testing.T) {
	r := newRig(t, testConfig())
	observeResponses(r)
	first, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(1 * ms)
	later, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(150 * ms)
	acts := r.handle(AttemptCompleted{ID: later, Result: OK, Responded: true, Latency: 150 * ms})
	if got := canceledRequests(acts); len(got) > 0 {
		t.Errorf("canceled %v after a slow response", got)
	}
	if n := r.d.nodes["n0"]; n.lastPromptSentAt > r.d.requests[first].sentAt {
		t.Error("a slow response counts as prompt")
	}
}

// An overtaken attempt is canceled once, where its class may be repeated, while a retry can
// complete within the objective.
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
		r := newRig(t, cfg)
		observeResponses(r)
		lost, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(60 * ms)
		later, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		expectOutcome(t, "a second request", acts, later, sent)
		r.advance(5 * ms)
		acts = r.complete(later, 0, OK)
		if got := canceledRequests(acts); (len(got) == 1 && got[0] == lost) != c.want {
			t.Errorf("%s: canceled %v, want %v", c.class.Name, got, c.want)
		}
		if !c.want {
			continue
		}
		third, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(5 * ms)
		if got := canceledRequests(r.complete(third, 0, OK)); len(got) > 0 {
			t.Errorf("%s: canceled twice", c.class.Name)
		}
		before := r.d.lossRate
		r.complete(lost, 0, Canceled)
		expectOutcome(t, "the retry", r.advance(1*ms), lost, sent)
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(5 * ms)
		r.complete(id, 0, OK)
		if r.d.lossRate <= before {
			t.Errorf("%s: the response does not count as lost", c.class.Name)
		}
	}
}

// Beyond the retry budget an overtaken attempt stays in flight: canceled, it could only fail.
func TestOvertakenAttemptIsKeptBeyondBudget(t *testing.T) {
	cfg := testConfig()
	cfg.RetryBudget.MinRetries = 0
	cfg.RetryBudget.Ratio = 0
	r := newRig(t, cfg)
	observeResponses(r)
	r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(60 * ms)
	later, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(5 * ms)
	if got := canceledRequests(r.complete(later, 0, OK)); len(got) > 0 {
		t.Errorf("canceled: %v", got)
	}
}

// loseResponse has a request to n0 time out.
func loseResponse(r *rig) {
	id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.now += time.Second
	r.complete(id, 0, TimedOut)
}

// answerPromptly has n0 answer a request, which must have been sent without an early deadline.
func answerPromptly(t *testing.T, r *rig) {
	t.Helper()
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	if sentDeadline(t, acts) != 0 {
		t.Error("early deadline without a loss rate")
	}
	r.now += 5 * ms
	r.complete(id, 0, OK)
}

// sentDeadline returns the deadline of the first attempt among actions.
func sentDeadline(t *testing.T, acts []Action) time.Duration {
	t.Helper()
	for _, a := range acts {
		if a, ok := a.(SendAttempt); ok {
			return a.Deadline
		}
	}
	t.Fatal("nothing sent")
	return 0
}

// Once responses are known to be lost, a lost one costs a timeout within the objective.
func TestLossRateSetsEarlyDeadlines(t *testing.T) {
	r := newRig(t, testConfig())
	answerPromptly(t, r)
	loseResponse(r)
	if r.d.lossRate != 0 {
		t.Error("a timeout alone counts as a lost response")
	}
	r.now += 3 * time.Second
	answerPromptly(t, r)
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	deadline := sentDeadline(t, acts)
	if deadline <= r.now || deadline >= r.now+200*ms {
		t.Fatalf("ends after %v, want within the objective", deadline-r.now)
	}
	r.now = deadline
	acts = append(r.complete(id, 0, TimedOut), r.advance(0)...)
	acts = append(acts, r.advance(ms)...)
	expectOutcome(t, "a lost response, in time for a retry", acts, id, sent)
}

func TestLossRateIgnoresSlowNodes(t *testing.T) {
	r := newRig(t, testConfig())
	answerPromptly(t, r)
	loseResponse(r)
	id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.now += 900 * ms
	r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 900 * ms})
	if r.d.lossRate != 0 {
		t.Error("the timeout of a slow node counts as a lost response")
	}
}
