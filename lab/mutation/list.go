package mutation

const (
	exchangeFile = "forwarder/forwarder.go"
	readerFile   = "internal/upstreamhttp/reader.go"
	choiceFile   = "dispatch/dispatcher.go"
)

// All returns the faults.
func All() []Mutant {
	return []Mutant{
		// The forwarder.
		{
			Name: "a second attempt while one is out", File: exchangeFile, From: "	if c.stage != asked {\n		return // cannot happen", To: "	if false {\n		return // cannot happen",
			Equal: "the dispatcher never decides a second attempt before it heard of the first one's end: the guard stands behind another",
		},
		{
			Name: "an attempt at a node that drains", File: exchangeFile, From: "if n == nil || n.State != dispatch.Ready {", To: "if n == nil {",
			Equal: "the dispatcher and the forwarder hear of a drain in one event: the guard stands behind the dispatcher's",
		},
		{Name: "a drain while connecting", File: exchangeFile, From: "	case n.State != dispatch.Ready:", To: "	case false && n.State != dispatch.Ready:"},
		{Name: "a window that ends while connecting", File: exchangeFile, From: "	case x.tooLate(c):", To: "	case false && x.tooLate(c):"},
		{Name: "a connection in doubt is kept", File: exchangeFile, From: "	if k.state == busy {\n		x.close(k)\n	}", To: "	if false {\n		x.close(k)\n	}"},
		{Name: "a body that is gone is sent again", File: exchangeFile, From: "	if c.once && c.stage == out {", To: "	if false {"},
		{
			Name: "the dispatcher hears of an end twice", File: exchangeFile, From: "	if c.settled {\n		return\n	}\n	c.settled = concluded", To: "	c.settled = concluded",
			Equal: "the dispatcher takes one end of an attempt and leaves out the rest",
		},
		{Name: "a client that leaves while connecting is not told", File: exchangeFile, From: "		x.give(c, dispatch.NotSent, ResponseInfo{}, true)", To: "		_ = c"},
		{Name: "a client that leaves while out is not told", File: exchangeFile, From: "		x.tell(dispatch.ClientCanceled{ID: id})\n		x.give(c, dispatch.Canceled, ResponseInfo{}, true)", To: "		x.tell(dispatch.ClientCanceled{ID: id})"},
		{
			Name: "a connection to a drained node rests", File: exchangeFile, From: "if k.node.State != dispatch.Ready || x.now-k.born >= x.cfg.MaxConnAge || x.conns[k.id] == nil {", To: "if x.now-k.born >= x.cfg.MaxConnAge || x.conns[k.id] == nil {",
			Equal: "nothing is sent to a drained node; its connections go when they are old",
		},
		{Name: "a connection that the node closes is used again", File: exchangeFile, From: "	if e.Reuse {", To: "	if true {"},
		{Name: "connections to a former process are kept", File: exchangeFile, From: "if n.Addr != l.Addr || n.Started != l.Started {", To: "if n.Addr != l.Addr {"},
		{Name: "no bound on connections", File: exchangeFile, From: "	if n.conns >= x.cfg.MaxConnsPerNode {", To: "	if false {"},
		{Name: "an unused connection gives way and is not closed", File: exchangeFile, From: "		x.close(n.idle[0])", To: "		x.unlist(n.idle[0])"},
		{Name: "a connection that comes late is left with its call", File: exchangeFile, From: "		x.end(c, dispatch.ConnectFailed, ResponseInfo{})\n		c.conn, k.call = nil, nil", To: "		x.end(c, dispatch.ConnectFailed, ResponseInfo{})\n		c.conn = nil\n		_ = k"},
		{Name: "an attempt that ran out of time keeps its connection", File: exchangeFile, From: "	if c.conn == k {\n		x.detach(c)\n	}", To: "	_ = k"},
		{Name: "a broken connection is not told", File: exchangeFile, From: "		x.end(c, dispatch.ConnectionReset, ResponseInfo{})", To: "		_ = c"},
		{Name: "an answer that breaks off is not cut", File: exchangeFile, From: "		x.conclude(c, AbortResponse{ID: c.req.ID, Loop: c.lane})", To: "		x.conclude(c, nil)"},
		{Name: "a connection that failed is not forgotten", File: exchangeFile, From: "	if !e.OK {\n		k.call = nil\n		x.unlist(k)", To: "	if !e.OK {\n		k.call = nil"},
		{Name: "an attempt outlasts its client", File: exchangeFile, From: "	until := c.deadline\n", To: "	until := c.deadline + time.Second\n"},
		{
			Name: "an answer begins twice", File: exchangeFile, From: "k.call.stage != out && k.call.stage != released {", To: "k.call.stage == done {",
			Equal: "the loop tells of one head for each answer",
		},
		{Name: "a refusal to a body that flowed goes to the dispatcher", File: exchangeFile, From: "	case c.stage == released && e.Info.Result != dispatch.OK:", To: "	case false:"},
		{Name: "a write in its turn lets go of its key", File: exchangeFile, From: `c.bodySent || c.class.Ordered && c.req.Key != "" || !x.stream(c)`, To: "c.bodySent || !x.stream(c)"},
		{Name: "a node that took the body has no time limit", File: exchangeFile, From: "			x.callTimer(c, x.now+c.class.Deadline)", To: "			_ = c.class"},
		{Name: "a late answer is delivered as lost", File: exchangeFile, From: "	case e.Info.Result == dispatch.OK:\n", To: "	case false:\n"},
		{Name: "a call is forgotten before its answer", File: exchangeFile, From: "	if a != nil {\n		x.act(a)\n	}", To: "	if a != nil && c.attempt < 1 {\n		x.act(a)\n	}"},
		{
			Name: "old connections are used", File: exchangeFile, From: "if x.now-k.born >= x.cfg.MaxConnAge || x.now-k.since >= x.cfg.IdleTimeout {", To: "if false {",
			Equal: "an old connection works as a new one does; its age is a matter of prudence",
		},
		{Name: "idle connections are never closed", File: exchangeFile, From: "	case x.now-k.since >= x.cfg.IdleTimeout:\n		x.close(k)", To: "	case x.now-k.since >= x.cfg.IdleTimeout:\n		_ = k"},

		// The reader of responses.
		{
			Name: "a second request on a connection", File: readerFile, From: "	if r.state != Idle {\n		return false\n	}", To: "	if r.state == Broken {\n		return false\n	}",
			Equal: "the forwarder sends one at a time: the guard stands behind it",
		},
		{Name: "a response without a request is accepted", File: readerFile, From: `	return r.fail("a response without a request")`, To: "	return Step{Kind: NeedMore, Used: len(b)}"},
		{Name: "bytes after the response do not end the connection", File: readerFile, From: "!r.Response.Close && !r.surplus", To: "!r.Response.Close"},
		{Name: "the node's Connection: close is ignored", File: readerFile, From: "r.state == Complete && !r.Response.Close && !r.surplus", To: "r.state == Complete && !r.surplus"},
		{
			Name: "a partial response leaves the connection reusable", File: readerFile, From: "		r.state = Broken\n	}\n}\n\n// Break", To: "		r.state = Idle\n	}\n}\n\n// Break",
			Equal: "the forwarder closes the connection of a request that ends before its response",
		},
		{Name: "a body ends short", File: readerFile, From: "	case r.remaining == 0:", To: "	case r.remaining <= 8:"},

		// The dispatcher.
		{
			Name: "a drained node is sent to", File: choiceFile, From: "d.now >= r.deadline || !n.listed || n.State != Ready {", To: "d.now >= r.deadline || !n.listed {",
			Equal: "what a node that drains holds has been taken from it in the same event",
		},
		{Name: "attempts without end", File: choiceFile, From: "d.cfg.MaxAttempts > 0 && r.attempts >= d.cfg.MaxAttempts", To: "false"},
		{Name: "an unsafe request is repeated", File: choiceFile, From: "		case NonIdempotent:\n			return false", To: "		case NonIdempotent:\n			return true"},
		{Name: "the window is not looked at", File: choiceFile, From: "if !in || d.now-r.doubtAt >= r.class.DedupWindow {", To: "if !in {"},
		{Name: "no budget", File: choiceFile, From: "return float64(len(d.extra)+1) <= b.MinRetries+b.Ratio*float64(len(d.taken))", To: "return true"},
		{Name: "a refusal where an attempt may have run", File: choiceFile, From: "	return !r.mayHaveRun && !r.out || r.class.Idempotency == Idempotent ||", To: "	return true || r.class.Idempotency == Idempotent ||"},
		{Name: "a key does not rest", File: choiceFile, From: "		t.rest = max(t.rest, d.now+d.cfg.Quiescence)", To: "		t.rest = max(t.rest, d.now)"},
		{
			Name: "the next of a key before the last has left its node", File: choiceFile, From: "t.line[0].state == over && !t.line[0].out {", To: "t.line[0].state == over {",
			Equal: "the forwarder tells of an attempt's end in the event in which it tells of its request's; the guard counts where attempts outlast requests, as on the bench",
		},
		{
			Name: "a key's turn is not passed on", File: choiceFile, From: "		d.place(t.line[0])\n	default:", To: "	default:",
			Equal: "no rule is broken: the next request is refused at its aim; the dispatcher's TestRuleOrder finds it",
		},
		{
			Name: "a further attempt forgets its queue", File: choiceFile, From: "				if n := r.node; n.listed && n.State == Ready && d.mayRepeat(r, n) {", To: "				if n := r.node; n.listed && n.State == Ready {",
			Equal: "what may not be repeated is not sent, by the guard on what leaves; the request is refused at its aim, not at once",
		},
		{
			Name: "what a drained node holds stays", File: choiceFile, From: "		if n.State != Ready {\n			d.evict(n)\n		}", To: "",
			Equal: "no rule is broken: nothing is sent to the node, and what it holds is refused at its aim; the dispatcher's TestRuleDrain finds it",
		},
		{Name: "no end by the aim", File: choiceFile, From: "if r := t.req; r.state == held || r.state == waiting {", To: "if r := t.req; r.state == held {"},
	}
}
