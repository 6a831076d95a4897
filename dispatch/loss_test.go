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

// observeResponses has n0 answer a few requests, so that it is known how fast it is.
func observeResponses(r *rig) {
	for range 4 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.complete(id, 0, OK)
	}
}

// An attempt whose node answered a later one without delay is no sign that the node is slow.
func TestOvertakenAttemptIsNoDelay(t *testing.T) {
	r := newRig(t, testConfig())
	observeResponses(r)
	r.request(Request{Shard: 0, Plan: unlimitedPlan, Class: nonIdempotentClass}) // its answer will not come; it may not be repeated
	r.advance(1 * ms)
	later, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(5 * ms)
	r.complete(later, 0, OK)
	r.advance(400 * ms)
	for range 2 {
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		expectOutcome(t, "behind a lost answer", acts, id, sent)
	}
}

// An answer that itself came late overtakes nothing: the node is slow.
func TestLateResponseOvertakesNothing(t *testing.T) {
	r := newRig(t, testConfig())
	observeResponses(r)
	first, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(1 * ms)
	later, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(150 * ms)
	acts := r.handle(AttemptCompleted{ID: later, Result: OK, Responded: true, Latency: 150 * ms})
	if got := canceledRequests(acts); len(got) > 0 {
		t.Errorf("gave up %v behind a slow answer", got)
	}
	if n := r.d.nodes["n0"]; n.lastPromptSentAt > r.d.requests[first].sentAt {
		t.Error("a slow answer counts as overtaking")
	}
}

// An overtaken attempt that should long have been answered is given up while another can be
// made within the aim, once, and only where its class may be repeated.
func TestOvertakenAttemptIsCanceled(t *testing.T) {
	for _, c := range []struct {
		class Class
		want  bool
	}{{testConfig().Classes[0], true}, {testConfig().Classes[1], true}, {testConfig().Classes[2], false}} {
		cfg := testConfig()
		cfg.Classes[0] = c.class
		cfg.Classes[0].Ordered = false
		r := newRig(t, cfg)
		observeResponses(r)
		lost, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(60 * ms)
		later, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		expectOutcome(t, "a second", acts, later, sent)
		r.advance(5 * ms)
		acts = r.complete(later, 0, OK)
		if got := canceledRequests(acts); (len(got) == 1 && got[0] == lost) != c.want {
			t.Errorf("%s: given up %v, want %v", c.class.Name, got, c.want)
		}
		if !c.want {
			continue
		}
		again, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(5 * ms)
		if got := canceledRequests(r.complete(again, 0, OK)); len(got) > 0 {
			t.Errorf("%s: given up twice", c.class.Name)
		}
		before := r.d.lossRate
		r.complete(lost, 0, Canceled)
		expectOutcome(t, "the second attempt", r.advance(1*ms), lost, sent)
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.advance(5 * ms)
		r.complete(id, 0, OK)
		if r.d.lossRate <= before {
			t.Errorf("%s: the answer does not count as lost", c.class.Name)
		}
	}
}

// Beyond the budget an overtaken attempt stays out: given up, it could only fail.
func TestOvertakenAttemptIsKeptBeyondBudget(t *testing.T) {
	cfg := testConfig()
	cfg.RetryBudget.MinRetries, cfg.RetryBudget.Ratio = 0, 0
	r := newRig(t, cfg)
	observeResponses(r)
	r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(60 * ms)
	later, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(5 * ms)
	if got := canceledRequests(r.complete(later, 0, OK)); len(got) > 0 {
		t.Errorf("given up: %v", got)
	}
}

// A lost answer costs one time-out within the aim, once it is seen that answers are lost;
// a silent node and a slow one are not taken for that.
func TestLossRateIgnoresSilentAndSlowNodes(t *testing.T) {
	lose := func(r *rig) []Action {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.now += time.Second
		return r.complete(id, 0, TimedOut)
	}
	until := func(acts []Action) time.Duration {
		for _, a := range acts {
			if a, ok := a.(SendAttempt); ok {
				return a.Deadline
			}
		}
		t.Fatal("nothing sent")
		return 0
	}
	learn := func(r *rig) {
		id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		if until(acts) != 0 {
			t.Error("ended early without evidence")
		}
		r.now += 5 * ms
		r.complete(id, 0, OK)
	}
	r := newRig(t, testConfig())
	learn(r)
	lose(r)
	if r.d.lossRate != 0 {
		t.Error("a time-out alone taken for a lost answer")
	}
	r.now += 3 * time.Second
	learn(r)
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	at := until(acts)
	if at <= r.now || at >= r.now+200*ms {
		t.Fatalf("ends after %v, want within the aim", at-r.now)
	}
	r.now = at
	acts = append(r.complete(id, 0, TimedOut), r.advance(0)...)
	acts = append(acts, r.advance(ms)...)
	expectOutcome(t, "a lost answer, in time for another attempt", acts, id, sent)

	slow := newRig(t, testConfig())
	learn(slow)
	lose(slow)
	id, _ = slow.request(Request{Shard: 0, Plan: unlimitedPlan})
	slow.now += 900 * ms
	slow.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 900 * ms})
	if slow.d.lossRate != 0 {
		t.Error("a slow node taken for one that loses answers")
	}
}
