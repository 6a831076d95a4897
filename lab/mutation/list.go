package mutation

const (
	forwarderRequests  = "forwarder/requests.go"
	forwarderAttempts  = "forwarder/attempts.go"
	forwarderResponses = "forwarder/responses.go"
	forwarderConnPool  = "forwarder/connpool.go"
	forwarderEndpoints = "forwarder/endpoints.go"

	nodeReader = "internal/upstreamhttp/reader.go"

	dispatchAttempts  = "dispatch/attempts.go"
	dispatchEndpoints = "dispatch/endpoints.go"
	dispatchOrdering  = "dispatch/ordering.go"
	dispatchRequest   = "dispatch/request.go"
	dispatchRetry     = "dispatch/retry.go"
)

// All returns the faults.
func All() []Mutant {
	return []Mutant{
		// The forwarder.
		{
			Name:  "a second attempt while one is in flight",
			File:  forwarderAttempts,
			From:  "\tif r.stage != stageWaiting {\n\t\treturn // cannot happen",
			To:    "\tif false {\n\t\treturn // cannot happen",
			Equal: "the dispatcher never starts a second attempt before the result of the first: the guard is behind another",
		},
		{
			Name:  "an attempt at a draining node",
			File:  forwarderAttempts,
			From:  "if n == nil || n.State != dispatch.Ready {",
			To:    "if n == nil {",
			Equal: "the dispatcher and the forwarder handle a drain in one event: the guard is behind the dispatcher's",
		},
		{
			Name: "a drain while dialing is ignored",
			File: forwarderConnPool,
			From: "\tcase c.node.State != dispatch.Ready:",
			To:   "\tcase false && c.node.State != dispatch.Ready:",
		},
		{
			Name: "a dedup window that ends while dialing is ignored",
			File: forwarderConnPool,
			From: "\tcase f.dedupWindowExpired(r):",
			To:   "\tcase false && f.dedupWindowExpired(r):",
		},
		{
			Name: "a connection on which a response may arrive is kept",
			File: forwarderRequests,
			From: "\tif c.state == connBusy {\n\t\tf.closeConn(c)\n\t}",
			To:   "\tif false {\n\t\tf.closeConn(c)\n\t}",
		},
		{
			Name: "a request that is not replayable is sent again",
			File: forwarderAttempts,
			From: "\tif r.notReplayable && r.stage == stageInFlight {",
			To:   "\tif false {",
		},
		{
			Name:  "a result is reported twice",
			File:  forwarderAttempts,
			From:  "\tif r.resultReported {\n\t\treturn\n\t}\n\tr.resultReported = responded",
			To:    "\tr.resultReported = responded",
			Equal: "the dispatcher takes one result of an attempt and ignores the others",
		},
		{
			Name: "a cancellation while dialing is not reported",
			File: forwarderRequests,
			From: "\t\tf.reportResult(r, dispatch.NotSent, ResponseInfo{}, true)",
			To:   "\t\t_ = r",
		},
		{
			Name: "a cancellation while in flight is not reported",
			File: forwarderRequests,
			From: "\t\tf.notify(dispatch.ClientCanceled{ID: id})\n\t\tf.reportResult(r, dispatch.Canceled, ResponseInfo{}, true)",
			To:   "\t\tf.notify(dispatch.ClientCanceled{ID: id})",
		},
		{
			Name:  "a connection to a draining node is put back",
			File:  forwarderConnPool,
			From:  "if c.node.State != dispatch.Ready || f.now-c.createdAt >= f.cfg.MaxConnAge || f.conns[c.id] == nil {",
			To:    "if f.now-c.createdAt >= f.cfg.MaxConnAge || f.conns[c.id] == nil {",
			Equal: "nothing is sent to a draining node; its connections are closed by their age",
		},
		{
			Name: "a connection that the node closes is reused",
			File: forwarderResponses,
			From: "\tif e.Reuse {",
			To:   "\tif true {",
		},
		{
			Name: "connections to an earlier process are kept",
			File: forwarderEndpoints,
			From: "if n.Addr != entry.Addr || n.Started != entry.Started {",
			To:   "if n.Addr != entry.Addr {",
		},
		{
			Name: "no bound on connections",
			File: forwarderConnPool,
			From: "\tif n.connCount >= f.cfg.MaxConnsPerNode {",
			To:   "\tif false {",
		},
		{
			Name: "an evicted connection is not closed",
			File: forwarderConnPool,
			From: "\t\tf.closeConn(n.idleConns[0])",
			To:   "\t\tf.removeConn(n.idleConns[0])",
		},
		{
			Name: "a connection dialed too late is left with its request",
			File: forwarderAttempts,
			From: "\t\tf.failAttempt(r, dispatch.ConnectFailed, ResponseInfo{})\n\t\tr.conn = nil\n\t\tc.request = nil",
			To:   "\t\tf.failAttempt(r, dispatch.ConnectFailed, ResponseInfo{})\n\t\tr.conn = nil\n\t\t_ = c",
		},
		{
			Name: "an attempt that timed out keeps its connection",
			File: forwarderAttempts,
			From: "\tif r.conn == c {\n\t\tf.releaseConn(r)\n\t}",
			To:   "\t_ = c",
		},
		{
			Name: "a connection reset is not reported",
			File: forwarderConnPool,
			From: "\t\tf.failAttempt(r, dispatch.ConnectionReset, ResponseInfo{})",
			To:   "\t\t_ = r",
		},
		{
			Name: "a response that breaks off is not aborted",
			File: forwarderConnPool,
			From: "\t\tf.finish(r, AbortResponse{ID: r.req.ID, Loop: r.loop})",
			To:   "\t\tf.finish(r, nil)",
		},
		{
			Name: "a failed dial is not removed",
			File: forwarderConnPool,
			From: "\tif !e.OK {\n\t\tc.request = nil\n\t\tf.removeConn(c)",
			To:   "\tif !e.OK {\n\t\tc.request = nil",
		},
		{
			Name: "an attempt outlasts its client",
			File: forwarderAttempts,
			From: "\tuntil := r.deadline\n",
			To:   "\tuntil := r.deadline + 1e9\n",
		},
		{
			Name:  "a response starts twice",
			File:  forwarderResponses,
			From:  "c.request.stage != stageInFlight && c.request.stage != stageDetached {",
			To:    "c.request.stage == stageDone {",
			Equal: "the event loop reports the headers of each response once",
		},
		{
			Name: "a rejection of a detached request goes to the dispatcher",
			File: forwarderResponses,
			From: "\tcase r.stage == stageDetached && info.Result != dispatch.OK:",
			To:   "\tcase false:",
		},
		{
			Name: "an ordered write is detached",
			File: forwarderAttempts,
			From: "if holdsKey := r.class.Ordered && r.req.Key != \"\"; holdsKey || !f.reserveStream(r) {",
			To:   "if !f.reserveStream(r) {",
		},
		{
			Name: "a node that read the whole body has no timeout",
			File: forwarderAttempts,
			From: "\t\t\tf.setAttemptTimer(r, f.now+r.class.Deadline)",
			To:   "\t\t\t_ = r.class",
		},
		{
			Name: "a response is discarded",
			File: forwarderResponses,
			From: "\tcase info.Result == dispatch.OK:\n",
			To:   "\tcase false:\n",
		},
		{
			Name: "a request is removed before its response",
			File: forwarderRequests,
			From: "\tif response != nil {\n\t\tf.emit(response)\n\t}",
			To:   "\tif response != nil && r.attempt < 1 {\n\t\tf.emit(response)\n\t}",
		},
		{
			Name:  "old connections are reused",
			File:  forwarderConnPool,
			From:  "if f.now-c.createdAt >= f.cfg.MaxConnAge || f.now-c.idleSince >= f.cfg.IdleTimeout {",
			To:    "if false {",
			Equal: "an old connection works like a new one",
		},
		{
			Name: "idle connections are never closed",
			File: forwarderConnPool,
			From: "\tcase f.now-c.idleSince >= f.cfg.IdleTimeout:\n\t\tf.closeConn(c)",
			To:   "\tcase f.now-c.idleSince >= f.cfg.IdleTimeout:\n\t\t_ = c",
		},

		// The reader of responses.
		{
			Name: "a second request on a connection", File: nodeReader, From: "	if r.state != Idle {\n		return false\n	}", To: "	if r.state == Broken {\n		return false\n	}",
			Equal: "the forwarder sends one at a time: the guard stands behind it",
		},
		{Name: "a response without a request is accepted", File: nodeReader, From: `	return r.fail("a response without a request")`, To: "	return Step{Kind: NeedMore, Used: len(b)}"},
		{Name: "bytes after the response do not end the connection", File: nodeReader, From: "!r.Response.Close && !r.surplus", To: "!r.Response.Close"},
		{Name: "the node's Connection: close is ignored", File: nodeReader, From: "r.state == Complete && !r.Response.Close && !r.surplus", To: "r.state == Complete && !r.surplus"},
		{
			Name: "a partial response leaves the connection reusable", File: nodeReader, From: "		r.state = Broken\n	}\n}\n\n// Break", To: "		r.state = Idle\n	}\n}\n\n// Break",
			Equal: "the forwarder closes the connection of a request that ends before its response",
		},
		{Name: "a body ends short", File: nodeReader, From: "	case r.remaining == 0:", To: "	case r.remaining <= 8:"},

		// The dispatcher.
		{
			Name: "a drained node is sent to", File: dispatchAttempts, From: "d.now >= r.deadline || !n.listed || n.State != Ready {", To: "d.now >= r.deadline || !n.listed {",
			Equal: "what a node that drains holds has been taken from it in the same event",
		},
		{Name: "attempts without end", File: dispatchRetry, From: "d.cfg.MaxAttempts > 0 && r.attempts >= d.cfg.MaxAttempts", To: "false"},
		{Name: "an unsafe request is repeated", File: dispatchRetry, From: "	case NonIdempotent:\n		return false", To: "	case NonIdempotent:\n		return true"},
		{Name: "the window is not looked at", File: dispatchRetry, From: "return inScope && d.now-r.ambiguousSince < r.class.DedupWindow", To: "return inScope"},
		{Name: "no budget", File: dispatchRetry, From: "	return float64(len(d.budgetRetries)+1) <= allowed", To: "	_ = allowed\n	return true"},
		{Name: "a refusal where an attempt may have run", File: dispatchRequest, From: "	return !r.ambiguous && !r.outstanding || r.class.Idempotency == Idempotent ||", To: "	return true || r.class.Idempotency == Idempotent ||"},
		{Name: "a key does not rest", File: dispatchOrdering, From: "	q.quiescentAt = max(q.quiescentAt, d.now+d.cfg.Quiescence)", To: "	q.quiescentAt = max(q.quiescentAt, d.now)"},
		{
			Name: "the next of a key before the last has left its node", File: dispatchOrdering, From: "q.requests[0].state == completed && !q.requests[0].outstanding {", To: "q.requests[0].state == completed {",
			Equal: "the forwarder tells of an attempt's end in the event in which it tells of its request's; the guard counts where attempts outlast requests, as on the bench",
		},
		{
			Name: "a key's turn is not passed on", File: dispatchOrdering, From: "		d.place(q.requests[0])\n	default:", To: "	default:",
			Equal: "no rule is broken: the next request is refused at its aim; the dispatcher's TestOrderByKey finds it",
		},
		{
			Name: "a further attempt forgets its queue", File: dispatchRetry, From: "	if n := r.node; n.listed && n.State == Ready && d.mayRetry(r, n) {", To: "	if n := r.node; n.listed && n.State == Ready {",
			Equal: "what may not be repeated is not sent, by the guard on what leaves; the request is refused at its aim, not at once",
		},
		{
			Name: "what a drained node holds stays", File: dispatchEndpoints, From: "		if n.State != Ready {\n			d.requeueFrom(n)\n		}", To: "",
			Equal: "no rule is broken: nothing is sent to the node, and what it holds is refused at its aim; the dispatcher's TestNodeThatIsNotReadyGetsNoRequests finds it",
		},
		{Name: "no end by the aim", File: dispatchRequest, From: "	if r.state == queued || r.state == awaitingTurn {", To: "	if r.state == queued {"},
	}
}
