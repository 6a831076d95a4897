package mutation

import "slices"

const (
	readerFile = "internal/upstreamhttp/reader.go"
	choiceFile = "dispatch/dispatcher.go"
)

// All returns all mutants.
func All() []Mutant { return slices.Concat(forwarderMutants, readerAndDispatcherMutants()) }

func readerAndDispatcherMutants() []Mutant {
	return []Mutant{
		// The reader of connections.
		{
			Name: "a second request on a connection", File: readerFile, From: "	if r.state != Idle {\n		return false\n	}", To: "	if r.state == Broken {\n		return false\n	}",
			EquivalentBecause: "the forwarder sends one at a time: the guard stands behind it",
		},
		{Name: "an answer without a request is taken", File: readerFile, From: `	return r.fault("an answer came without a request")`, To: "	return Step{Kind: NeedMore, Used: len(b)}"},
		{Name: "more than the answer does not end the connection", File: readerFile, From: "!r.Response.Close && !r.more", To: "!r.Response.Close"},
		{Name: "the node's word to close is not heard", File: readerFile, From: "r.state == Complete && !r.Response.Close && !r.more", To: "r.state == Complete && !r.more"},
		{
			Name: "half an answer leaves the connection good", File: readerFile, From: "		r.state = Broken\n	}\n}\n\n// Break", To: "		r.state = Idle\n	}\n}\n\n// Break",
			EquivalentBecause: "the forwarder closes the connection of a call that ends before its answer",
		},
		{Name: "a body ends short", File: readerFile, From: "		case r.left == 0:", To: "		case r.left <= 8:"},

		// The dispatcher.
		{
			Name: "a drained node is sent to", File: choiceFile, From: "d.now >= r.deadline || !n.listed || n.State != Ready {", To: "d.now >= r.deadline || !n.listed {",
			EquivalentBecause: "what a node that drains holds has been taken from it in the same event",
		},
		{Name: "attempts without end", File: choiceFile, From: "d.cfg.MaxAttempts > 0 && r.attempts >= d.cfg.MaxAttempts", To: "false"},
		{Name: "an unsafe request is repeated", File: choiceFile, From: "		case NonIdempotent:\n			return false", To: "		case NonIdempotent:\n			return true"},
		{Name: "the window is not looked at", File: choiceFile, From: "if !in || d.now-r.doubtAt >= r.class.DedupWindow {", To: "if !in {"},
		{Name: "no budget", File: choiceFile, From: "return float64(len(d.extra)+1) <= b.MinRetries+b.Ratio*float64(len(d.taken))", To: "return true"},
		{Name: "a refusal where an attempt may have run", File: choiceFile, From: "	return !r.mayHaveRun && !r.out || r.class.Idempotency == Idempotent ||", To: "	return true || r.class.Idempotency == Idempotent ||"},
		{Name: "a key does not rest", File: choiceFile, From: "		t.rest = max(t.rest, d.now+d.cfg.Quiescence)", To: "		t.rest = max(t.rest, d.now)"},
		{
			Name: "the next of a key before the last has left its node", File: choiceFile, From: "t.line[0].state == over && !t.line[0].out {", To: "t.line[0].state == over {",
			EquivalentBecause: "the forwarder tells of an attempt's end in the event in which it tells of its request's; the guard counts where attempts outlast requests, as on the bench",
		},
		{
			Name: "a key's turn is not passed on", File: choiceFile, From: "		d.place(t.line[0])\n	default:", To: "	default:",
			EquivalentBecause: "no rule is broken: the next request is refused at its aim; the dispatcher's TestRuleOrder finds it",
		},
		{
			Name: "a further attempt forgets its queue", File: choiceFile, From: "				if n := r.node; n.listed && n.State == Ready && d.mayRepeat(r, n) {", To: "				if n := r.node; n.listed && n.State == Ready {",
			EquivalentBecause: "what may not be repeated is not sent, by the guard on what leaves; the request is refused at its aim, not at once",
		},
		{
			Name: "what a drained node holds stays", File: choiceFile, From: "		if n.State != Ready {\n			d.evict(n)\n		}", To: "",
			EquivalentBecause: "no rule is broken: nothing is sent to the node, and what it holds is refused at its aim; the dispatcher's TestRuleDrain finds it",
		},
		{Name: "no end by the aim", File: choiceFile, From: "if r := t.req; r.state == held || r.state == waiting {", To: "if r := t.req; r.state == held {"},
	}
}
