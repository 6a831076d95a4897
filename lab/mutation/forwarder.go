package mutation

// These constants name the source files of the forwarder that the mutants change.
const (
	requestsFile  = "forwarder/requests.go"
	attemptsFile  = "forwarder/attempts.go"
	responsesFile = "forwarder/responses.go"
	connPoolFile  = "forwarder/connpool.go"
	endpointsFile = "forwarder/endpoints.go"
	shutdownFile  = "forwarder/shutdown.go"
)

// forwarderMutants lists the mutants of the forwarder.
var forwarderMutants = []Mutant{
	{
		Name:              "a second attempt while one is in flight",
		File:              attemptsFile,
		From:              "\tif r.stage != stageWaiting {\n\t\treturn // cannot happen",
		To:                "\tif false {\n\t\treturn // cannot happen",
		EquivalentBecause: "the dispatcher never starts a second attempt before the result of the first: the guard is behind another",
	},
	{
		Name:              "an attempt at a draining node",
		File:              attemptsFile,
		From:              "if n == nil || n.State != dispatch.Ready {",
		To:                "if n == nil {",
		EquivalentBecause: "the dispatcher and the forwarder handle a drain in one event: the guard is behind the dispatcher's",
	},
	{
		Name: "a drain while dialing is ignored",
		File: connPoolFile,
		From: "\tcase c.node.State != dispatch.Ready:",
		To:   "\tcase false && c.node.State != dispatch.Ready:",
	},
	{
		Name: "a dedup window that ends while dialing is ignored",
		File: connPoolFile,
		From: "\tcase f.dedupWindowExpired(r):",
		To:   "\tcase false && f.dedupWindowExpired(r):",
	},
	{
		Name: "a connection on which a response may arrive is kept",
		File: requestsFile,
		From: "\tif c.state == connBusy {\n\t\tf.closeConn(c)\n\t}",
		To:   "\tif false {\n\t\tf.closeConn(c)\n\t}",
	},
	{
		Name: "a request that is not replayable is sent again",
		File: attemptsFile,
		From: "\tif r.notReplayable && r.stage == stageInFlight {",
		To:   "\tif false {",
	},
	{
		Name:              "a result is reported twice",
		File:              attemptsFile,
		From:              "\tif r.resultReported {\n\t\treturn\n\t}\n\tr.resultReported = responded",
		To:                "\tr.resultReported = responded",
		EquivalentBecause: "the dispatcher takes one result of an attempt and ignores the others",
	},
	{
		Name: "a cancellation while dialing is not reported",
		File: requestsFile,
		From: "\t\tf.reportResult(r, dispatch.NotSent, ResponseInfo{}, true)",
		To:   "\t\t_ = r",
	},
	{
		Name: "a cancellation while in flight is not reported",
		File: requestsFile,
		From: "\t\tf.notify(dispatch.ClientCanceled{ID: id})\n\t\tf.reportResult(r, dispatch.Canceled, ResponseInfo{}, true)",
		To:   "\t\tf.notify(dispatch.ClientCanceled{ID: id})",
	},
	{
		Name:              "a connection to a draining node is put back",
		File:              connPoolFile,
		From:              "if c.node.State != dispatch.Ready || f.now-c.createdAt >= f.cfg.MaxConnAge || f.conns[c.id] == nil {",
		To:                "if f.now-c.createdAt >= f.cfg.MaxConnAge || f.conns[c.id] == nil {",
		EquivalentBecause: "nothing is sent to a draining node; its connections are closed by their age",
	},
	{
		Name: "a connection that the node closes is reused",
		File: responsesFile,
		From: "\tif e.Reuse {",
		To:   "\tif true {",
	},
	{
		Name: "connections to an earlier process are kept",
		File: endpointsFile,
		From: "if n.Addr != entry.Addr || n.Started != entry.Started {",
		To:   "if n.Addr != entry.Addr {",
	},
	{
		Name: "no bound on connections",
		File: connPoolFile,
		From: "\tif n.connCount >= f.cfg.MaxConnsPerNode {",
		To:   "\tif false {",
	},
	{
		Name: "an evicted connection is not closed",
		File: connPoolFile,
		From: "\t\tf.closeConn(n.idleConns[0])",
		To:   "\t\tf.removeConn(n.idleConns[0])",
	},
	{
		Name: "a connection dialed too late is left with its request",
		File: attemptsFile,
		From: "\tf.failAttempt(r, result, ResponseInfo{})\n\tr.conn = nil\n\tc.request = nil",
		To:   "\tf.failAttempt(r, result, ResponseInfo{})\n\tr.conn = nil\n\t_ = c",
	},
	{
		Name: "a shutdown leaves the attempts in flight",
		File: shutdownFile,
		From: "\tcase stageInFlight:\n\t\tf.abandonAttempt(r, dispatch.Canceled)",
		To:   "\tcase stageInFlight:",
	},
	{
		Name: "a shutdown leaves an upload that streams",
		File: shutdownFile,
		From: "\tcase stageDetached:\n\t\tf.respond(r, Fail{ID: r.req.ID, Loop: r.loop})",
		To:   "\tcase stageDetached:",
	},
	{
		Name: "the dispatcher is not told of a shutdown",
		File: shutdownFile,
		From: "\tf.notify(dispatch.Shutdown{})\n",
		To:   "",
	},
	{
		Name: "an attempt that timed out keeps its connection",
		File: attemptsFile,
		From: "\tif r.conn == c {\n\t\tf.releaseConn(r)\n\t}",
		To:   "\t_ = c",
	},
	{
		Name: "a connection reset is not reported",
		File: connPoolFile,
		From: "\t\tf.failAttempt(r, dispatch.ConnectionReset, ResponseInfo{})",
		To:   "\t\t_ = r",
	},
	{
		Name: "a response that breaks off is not aborted",
		File: connPoolFile,
		From: "\t\tf.finish(r, AbortResponse{ID: r.req.ID, Loop: r.loop})",
		To:   "\t\tf.finish(r, nil)",
	},
	{
		Name: "a failed dial is not removed",
		File: connPoolFile,
		From: "\tif !e.OK {\n\t\tc.request = nil\n\t\tf.removeConn(c)",
		To:   "\tif !e.OK {\n\t\tc.request = nil",
	},
	{
		Name: "an attempt outlasts its client",
		File: attemptsFile,
		From: "\tuntil := r.deadline\n",
		To:   "\tuntil := r.deadline + 1e9\n",
	},
	{
		Name:              "a response starts twice",
		File:              responsesFile,
		From:              "c.request.stage != stageInFlight && c.request.stage != stageDetached {",
		To:                "c.request.stage == stageDone {",
		EquivalentBecause: "the event loop reports the headers of each response once",
	},
	{
		Name: "a rejection of a detached request goes to the dispatcher",
		File: responsesFile,
		From: "\tcase r.stage == stageDetached && info.Result != dispatch.OK:",
		To:   "\tcase false:",
	},
	{
		Name: "an ordered write is detached",
		File: attemptsFile,
		From: "if holdsKey := r.class.Ordered && r.req.Key != \"\"; holdsKey || !f.reserveStream(r) {",
		To:   "if !f.reserveStream(r) {",
	},
	{
		Name: "a node that read the whole body has no timeout",
		File: attemptsFile,
		From: "\t\t\tf.setAttemptTimer(r, f.now+r.class.Deadline)",
		To:   "\t\t\t_ = r.class",
	},
	{
		Name: "a response is discarded",
		File: responsesFile,
		From: "\tcase info.Result == dispatch.OK:\n",
		To:   "\tcase false:\n",
	},
	{
		Name: "a request is removed before its response",
		File: requestsFile,
		From: "\tif response != nil {\n\t\tf.emit(response)\n\t}",
		To:   "\tif response != nil && r.attempt < 1 {\n\t\tf.emit(response)\n\t}",
	},
	{
		Name:              "old connections are reused",
		File:              connPoolFile,
		From:              "if f.now-c.createdAt >= f.cfg.MaxConnAge || f.now-c.idleSince >= f.cfg.IdleTimeout {",
		To:                "if false {",
		EquivalentBecause: "an old connection works like a new one",
	},
	{
		Name: "idle connections are never closed",
		File: connPoolFile,
		From: "\tcase f.now-c.idleSince >= f.cfg.IdleTimeout:\n\t\tf.closeConn(c)",
		To:   "\tcase f.now-c.idleSince >= f.cfg.IdleTimeout:\n\t\t_ = c",
	},
}
