package modelcheck

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/upstreamhttp"
)

// The rules, checked from what crosses the wire.
const (
	// ruleAnswer: each request gets exactly one final response, in time, and is not sent
	// after it.
	ruleAnswer = "answer"
	// ruleAttempts: a request has at most one attempt in flight.
	ruleAttempts = "attempts"
	// ruleDrain: nothing is sent to a node that discovery reported as draining or removed.
	ruleDrain = "drain"
	// ruleEffects: a request is executed again only as its class allows.
	ruleEffects = "effects"
	// ruleOrder: the requests of one key run one at a time and in order, and not before the
	// quiescence after one that may still run.
	ruleOrder = "order"
	// ruleBudget: retries stay within the retry budget, by the time of their decision.
	ruleBudget = "budget"
	// ruleConnection: a connection never carries a response to the wrong request, is not
	// reused when it may hold unexpected bytes, and is never leaked.
	ruleConnection = "connection"
	// ruleBounds: connections and streams of a node, and attempts of a request, stay within
	// their bounds.
	ruleBounds = "bounds"
	// ruleStuck: when no more events happen, each request ends by its deadline.
	ruleStuck = "stuck"
)

// The outcomes of requests. The names are stored in scripts: they are frozen.
const (
	outcomeForwarded = "deliver"
	outcomeRejected  = "refuse"
	outcomeFailed    = "fail"
	outcomeAborted   = "cut"
	outcomeCanceled  = "left"
)

// Violation reports a rule that does not hold.
type Violation struct {
	Rule    string
	Message string
}

func (v *Violation) String() string { return v.Rule + ": " + v.Message }

// checker has what the checks need to remember.
type checker struct {
	requestTimes []time.Duration
	retryTimes   []time.Duration
	byKey        map[string][]*request // of ordered classes, in order of arrival
	violation    *Violation            // the first one
}

// reset forgets what a gateway did that has ended.
func (k *checker) reset() {
	k.requestTimes = nil
	k.retryTimes = nil
	k.byKey = map[string][]*request{}
}

// violate notes a violation, if it is the first one.
func (w *World) violate(rule, format string, args ...any) {
	if w.checker.violation == nil {
		w.checker.violation = &Violation{Rule: rule, Message: fmt.Sprintf(format, args...)}
	}
}

// noteStart notes that a request arrives.
func (w *World) noteStart(r *request) {
	w.checker.requestTimes = append(w.checker.requestTimes, w.now)
	if w.class(r).Ordered && r.key != "" {
		w.checker.byKey[r.key] = append(w.checker.byKey[r.key], r)
	}
}

// checkDecision checks that a decision sends no request to a node that must not be used.
func (w *World) checkDecision(a forwarder.Action) {
	send, ok := a.(forwarder.SendRequest)
	if !ok {
		return
	}
	if since, unusable := w.unusableSince[send.Node]; unusable {
		w.violate(ruleDrain, "request %d is sent to %s, which has been draining or removed for %v",
			send.ID, send.Node, w.now-since)
	}
}

// checkDial checks the bound on connections to a node. Those that their loop has yet to
// close do not count: the forwarder has already decided to close them.
func (w *World) checkDial(a forwarder.Dial) {
	count := 1
	for _, c := range w.conns {
		if c.node == a.Node && !w.closePending(c) {
			count++
		}
	}
	if count > w.cfg.MaxConnsPerNode {
		w.violate(ruleBounds, "%d connections to %s, bound %d", count, a.Node, w.cfg.MaxConnsPerNode)
	}
}

func (w *World) closePending(c *conn) bool {
	return slices.ContainsFunc(w.loopQueues[c.loop], func(a forwarder.Action) bool {
		closing, ok := a.(forwarder.CloseConn)
		return ok && closing.Conn == c.id
	})
}

func (w *World) sendPending(c *conn) bool {
	return slices.ContainsFunc(w.loopQueues[c.loop], func(a forwarder.Action) bool {
		send, ok := a.(forwarder.SendRequest)
		return ok && send.Conn == c.id
	})
}

// noteNodeRestart notes that a node's idle connections must not be used any more: they are to
// the earlier process. What was decided to be sent on one before is allowed.
func (w *World) noteNodeRestart(id dispatch.NodeID) {
	for _, c := range w.conns {
		if c.node == id && c.open && c.request == nil && !w.sendPending(c) {
			c.unusable = true
		}
	}
}

// checkSend checks a request that is sent.
func (w *World) checkSend(c *conn, r *request, a forwarder.SendRequest) {
	switch {
	case r.responses > 0 || r.canceled:
		w.violate(ruleAnswer, "request %d is sent after its end", r.id)
	case r.conn != nil:
		w.violate(ruleAttempts, "request %d is sent on connection %d while in flight on %d", r.id, c.id, r.conn.id)
	default:
		w.checkSendConn(c, r, a)
		w.checkRepeat(r)
	}
	if a.Attempt < r.attempts {
		w.violate(ruleAttempts, "request %d: attempt %d is sent after %d others", r.id, a.Attempt, r.attempts)
	}
	if bound := w.cfg.Dispatch.MaxAttempts; bound > 0 && r.attempts >= bound {
		w.violate(ruleBounds, "request %d is sent for the %dth time, bound %d", r.id, r.attempts+1, bound)
	}
	w.checkOrder(r)
	r.attempts++
	if r.attempts > 1 {
		w.checkBudget()
	}
	if !r.ambiguous {
		r.ambiguousSince = w.now
	}
}

// checkSendConn checks that a request is sent on a connection that can carry it, to its node.
func (w *World) checkSendConn(c *conn, r *request, a forwarder.SendRequest) {
	switch busy := c.request != nil || c.atNode; {
	case !c.open || busy || c.unusable:
		w.violate(ruleConnection, "request %d is sent on connection %d: open %v, busy %v, unusable %v",
			r.id, c.id, c.open, busy, c.unusable)
	case a.Loop != c.loop || a.Loop != r.loop:
		w.violate(ruleConnection, "request %d of loop %d is sent on connection %d of loop %d", r.id, r.loop, c.id, c.loop)
	case a.Node != c.node:
		w.violate(ruleConnection, "request %d for %s is sent on connection %d to %s", r.id, a.Node, c.id, c.node)
	case w.shardOf(c.node) != r.shard:
		w.violate(ruleEffects, "request %d of shard %d is sent to %s", r.id, r.shard, c.node)
	}
}

// checkRepeat checks that a request which may have been executed may be executed again.
func (w *World) checkRepeat(r *request) {
	class := w.class(r)
	switch {
	case r.notReplayable && r.attempts > 0:
		w.violate(ruleEffects, "request %d is not replayable and is sent again", r.id)
	case !r.ambiguous:
	case class.Idempotency == dispatch.NonIdempotent:
		w.violate(ruleEffects, "request %d is not idempotent and is sent again though it may have been executed", r.id)
	case class.Idempotency == dispatch.Deduplicated && w.now-r.ambiguousSince >= class.DedupWindow:
		w.violate(ruleEffects, "request %d is sent again %v after it may have been executed, beyond its window",
			r.id, w.now-r.ambiguousSince)
	}
}

// checkBudget counts a retry against the retry budget.
func (w *World) checkBudget() {
	k, budget := &w.checker, w.cfg.Dispatch.RetryBudget
	k.retryTimes = append(k.retryTimes, w.now)
	inWindow := func(times []time.Duration) int {
		count := 0
		for _, t := range times {
			if w.now-budget.Window < t && t <= w.now {
				count++
			}
		}
		return count
	}
	retries, requests := inWindow(k.retryTimes), inWindow(k.requestTimes)
	if budget.Window > 0 && float64(retries) > budget.MinRetries+budget.Ratio*float64(requests) {
		w.violate(ruleBudget, "%d retries within %v", retries, budget.Window)
	}
}

func (w *World) shardOf(id dispatch.NodeID) dispatch.Shard {
	i := slices.IndexFunc(w.nodes, func(n node) bool { return n.id == id })
	return w.nodes[i].shard
}

// checkOrder checks that the earlier requests of a request's key are over and quiescent.
func (w *World) checkOrder(r *request) {
	if !w.class(r).Ordered || r.key == "" {
		return
	}
	for _, earlier := range w.checker.byKey[r.key] {
		switch {
		case earlier == r:
			return
		case (!earlier.finished() || earlier.conn != nil) && !w.responsePending(earlier):
			w.violate(ruleOrder, "request %d is sent before %d of its key is over", r.id, earlier.id)
		case w.now < earlier.quiescentAt:
			w.violate(ruleOrder, "request %d is sent %v before the quiescence of its key ends",
				r.id, earlier.quiescentAt-w.now)
		}
	}
}

// responsePending reports whether a request's final response was decided and waits for its
// loop: another loop may first act on what follows from the decision.
func (w *World) responsePending(r *request) bool {
	return slices.ContainsFunc(w.loopQueues[r.loop], func(a forwarder.Action) bool {
		switch a := a.(type) {
		case forwarder.ForwardResponse:
			return a.ID == r.id
		case forwarder.Reject:
			return a.ID == r.id
		case forwarder.Fail:
			return a.ID == r.id
		case forwarder.AbortResponse:
			return a.ID == r.id
		}
		return false
	})
}

// noteInterrupted notes that a connection ends while the node may execute its request.
func (w *World) noteInterrupted(c *conn) {
	r := c.request
	if r == nil || !c.atNode {
		return
	}
	r.ambiguous = true
	w.noteQuiescence(r)
}

// noteResponse notes what a response says on whether the request was executed.
func (w *World) noteResponse(kind Kind, c *conn) {
	r := c.request
	if r == nil {
		return
	}
	if kind != RespondReject {
		r.ambiguous = true
	}
	if kind == RespondInvalid {
		w.noteQuiescence(r)
	}
}

func (w *World) noteQuiescence(r *request) {
	r.quiescentAt = max(r.quiescentAt, w.now+w.cfg.Dispatch.Quiescence)
}

// checkForwarded checks that a response belongs to its request.
func (w *World) checkForwarded(a forwarder.ForwardResponse, r *request, c *conn) {
	switch {
	case c == nil:
		w.violate(ruleConnection, "request %d is given the response of connection %d, which is closed", a.ID, a.Conn)
	case r == nil || c.request != r:
		w.violate(ruleConnection, "request %d is given the response of connection %d, which carries another", a.ID, a.Conn)
	case c.reader.State() != upstreamhttp.Complete:
		w.violate(ruleConnection, "request %d is given a response that is %v", a.ID, c.reader.State())
	}
}

// noteHeaders notes that a response's headers are forwarded to the client.
func (w *World) noteHeaders(c *conn) {
	r := c.request
	if r.headersForwarded || r.finished() {
		w.violate(ruleAnswer, "request %d: a response starts after another, or after its end", r.id)
	}
	r.headersForwarded = true
}

// finish gives a client its final response and checks it.
func (w *World) finish(r *request, response forwarder.Action) {
	if r == nil {
		w.violate(ruleAnswer, "%T for an unknown request", response)
		return
	}
	if r.canceled {
		return // the client has disconnected
	}
	r.onLoop = false
	r.outcome = outcomeName(response)
	r.responses++
	if r.responses > 1 {
		w.violate(ruleAnswer, "request %d has %d final responses", r.id, r.responses)
	}
	_, aborted := response.(forwarder.AbortResponse)
	_, forwarded := response.(forwarder.ForwardResponse)
	switch {
	case r.headersForwarded && !aborted && !forwarded:
		w.violate(ruleAnswer, "request %d: %T after its response has started", r.id, response)
	case !r.headersForwarded && aborted:
		w.violate(ruleAnswer, "request %d: its response is aborted before it has started", r.id)
	case w.now > r.deadline && !r.headersForwarded && !r.bodyStreaming:
		w.violate(ruleAnswer, "request %d gets its response %v after its deadline", r.id, w.now-r.deadline)
	}
	if reject, ok := response.(forwarder.Reject); ok {
		w.checkRejection(r, reject)
	}
}

// checkRejection checks that a rejected request may be sent again by its client.
func (w *World) checkRejection(r *request, reject forwarder.Reject) {
	if r.ambiguous && !repeatableByClient(w.class(r)) {
		w.violate(ruleEffects, "request %d is rejected as safe to retry, though it may have been executed", r.id)
	}
	if reject.RetryAfter <= 0 {
		w.violate(ruleAnswer, "request %d is rejected without a time to retry", r.id)
	}
}

// repeatableByClient reports whether requests of a class may be executed again wherever the
// client's retry is sent to.
func repeatableByClient(class *dispatch.Class) bool {
	return class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.Deduplicated && class.DedupScope == dispatch.DedupEverywhere
}

// outcomeName returns the outcome of a final response.
func outcomeName(response forwarder.Action) string {
	switch response.(type) {
	case forwarder.ForwardResponse:
		return outcomeForwarded
	case forwarder.Reject:
		return outcomeRejected
	case forwarder.Fail:
		return outcomeFailed
	case forwarder.AbortResponse:
		return outcomeAborted
	}
	return ""
}

// checkDeadlines looks for requests without a response after their deadline. The gateway's
// own timeouts of streamed bodies are not part of this.
func (w *World) checkDeadlines() {
	for _, r := range w.requests {
		if r.responseDue() && w.now > r.deadline {
			w.violate(ruleAnswer, "request %d has no response %v after its deadline", r.id, w.now-r.deadline)
		}
	}
}

// checkOrphans looks for requests that stream but have lost their connection: no event could
// end them.
func (w *World) checkOrphans() {
	for _, r := range w.requests {
		if (r.headersForwarded || r.bodyStreaming) && !r.finished() && r.conn == nil && !w.responsePending(r) {
			w.violate(ruleStuck, "request %d streams, its connection is closed, and it has no end", r.id)
		}
	}
}

// checkEnd checks a world in which no move is left.
func (w *World) checkEnd() {
	for _, r := range w.requests {
		if r.unfinished() && !r.headersForwarded && !r.bodyStreaming {
			w.violate(ruleStuck, "request %d waits, and nothing is due", r.id)
		}
	}
	if w.anyUnfinished() {
		return // a body that streams and stands still
	}
	if n := w.fwd.Requests(); n > 0 {
		w.violate(ruleStuck, "the forwarder still has %d requests", n)
	}
	if n := dispatcherRequests(w.fwd); n > 0 {
		w.violate(ruleStuck, "the dispatcher still has %d requests", n)
	}
	w.checkConns()
}

// dispatcherRequests returns the number of the dispatcher's requests, by reflection.
func dispatcherRequests(f *forwarder.Forwarder) int {
	return reflect.ValueOf(f).Elem().FieldByName("dispatcher").Elem().FieldByName("requests").Len()
}

// maxTimers bounds the timers that fire while idle connections time out.
const maxTimers = 1000

// checkConns lets idle connections time out and checks that none is left on either side.
func (w *World) checkConns() {
	for range maxTimers {
		w.runLoops()
		if w.wakeAt >= w.now+w.cfg.MaxConnAge || len(w.conns) == 0 && w.fwd.Conns() == 0 {
			break
		}
		w.completeDials()
		w.now = max(w.now, w.wakeAt)
		w.wakeAt = 1<<63 - 1
		w.handle(forwarder.TimerFired{}, noLoop)
	}
	if len(w.conns) > 0 || w.fwd.Conns() > 0 {
		w.violate(ruleConnection, "%d connections are left on the loops and %d in the forwarder",
			len(w.conns), w.fwd.Conns())
	}
}

func (w *World) completeDials() {
	for _, c := range w.sortedConns() {
		if !c.open {
			c.open = true
			w.handle(forwarder.DialCompleted{Conn: c.id, OK: true}, c.loop)
		}
	}
}
