package dispatch

import "testing"

func cancels(acts []Action) (ids []RequestID) {
	for _, a := range acts {
		if c, ok := a.(CancelAttempt); ok {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// warm has n0 answer a few requests, so that it is known how fast it is.
func warm(r *rig) {
	for range 4 {
		id, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.end(id, 0, OK)
	}
}

// An attempt whose node answered a later one without delay is no sign that the node is slow.
func TestOvertakenAttemptIsNoSignOfDelay(t *testing.T) {
	r := newRig(t, testConfig())
	warm(r)
	r.ask(Request{Shard: 0, Plan: 1, Class: 2}) // its answer will not come; it may not be repeated
	r.at(1 * ms)
	later, _ := r.ask(Request{Shard: 0, Plan: 1})
	r.at(5 * ms)
	r.end(later, 0, OK)
	r.at(400 * ms)
	for range 2 {
		id, acts := r.ask(Request{Shard: 0, Plan: 1})
		want(t, "behind a lost answer", acts, id, "sent")
	}
}

// An answer that itself came late overtakes nothing: the node is slow.
func TestLateAnswerOvertakesNothing(t *testing.T) {
	r := newRig(t, testConfig())
	warm(r)
	first, _ := r.ask(Request{Shard: 0, Plan: 1})
	r.at(1 * ms)
	later, _ := r.ask(Request{Shard: 0, Plan: 1})
	r.at(150 * ms)
	acts := r.do(AttemptCompleted{ID: later, Result: OK, Responded: true, Latency: 150 * ms})
	if got := cancels(acts); len(got) > 0 {
		t.Errorf("gave up %v behind a slow answer", got)
	}
	if n := r.d.nodes["n0"]; n.lastPromptSentAt > r.d.requests[first].sentAt {
		t.Error("a slow answer counts as overtaking")
	}
}

// An overtaken attempt that should long have been answered is given up while another can be
// made within the aim, once, and only where its class may be repeated.
func TestOvertakenAttemptIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		class Class
		want  bool
	}{{testConfig().Classes[0], true}, {testConfig().Classes[1], true}, {testConfig().Classes[2], false}} {
		cfg := testConfig()
		cfg.Classes[0] = c.class
		cfg.Classes[0].Ordered = false
		r := newRig(t, cfg)
		warm(r)
		lost, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.at(60 * ms)
		later, acts := r.ask(Request{Shard: 0, Plan: 1})
		want(t, "a second", acts, later, "sent")
		r.at(5 * ms)
		acts = r.end(later, 0, OK)
		if got := cancels(acts); (len(got) == 1 && got[0] == lost) != c.want {
			t.Errorf("%s: given up %v, want %v", c.class.Name, got, c.want)
		}
		if !c.want {
			continue
		}
		again, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.at(5 * ms)
		if got := cancels(r.end(again, 0, OK)); len(got) > 0 {
			t.Errorf("%s: given up twice", c.class.Name)
		}
		before := r.d.lossRate
		r.end(lost, 0, Canceled)
		want(t, "the second attempt", r.at(1*ms), lost, "sent")
		id, _ := r.ask(Request{Shard: 0, Plan: 1})
		r.at(5 * ms)
		r.end(id, 0, OK)
		if r.d.lossRate <= before {
			t.Errorf("%s: the answer does not count as lost", c.class.Name)
		}
	}
}

// Beyond the budget an overtaken attempt stays out: given up, it could only fail.
func TestOvertakenAttemptStaysBeyondBudget(t *testing.T) {
	cfg := testConfig()
	cfg.RetryBudget.MinRetries, cfg.RetryBudget.Ratio = 0, 0
	r := newRig(t, cfg)
	warm(r)
	r.ask(Request{Shard: 0, Plan: 1})
	r.at(60 * ms)
	later, _ := r.ask(Request{Shard: 0, Plan: 1})
	r.at(5 * ms)
	if got := cancels(r.end(later, 0, OK)); len(got) > 0 {
		t.Errorf("given up: %v", got)
	}
}
