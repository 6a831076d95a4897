// Attempts: each goes from the dispatcher's decision over a connection to its result,
// which is reported to the dispatcher once.

package forwarder

import (
	"chalkstand/dispatch"
)

// startAttempt starts an attempt that the dispatcher decided on. The dispatcher chooses no
// node that it knows to be draining; a node that starts draining while the connection is
// being dialed is noticed in onDialCompleted.
func (f *Forwarder) startAttempt(a dispatch.SendAttempt) {
	r := f.requests[a.ID]
	if r == nil { // cannot happen; reported so that the dispatcher does not wait for a result
		f.notify(dispatch.AttemptCompleted{ID: a.ID, Node: a.Node, Result: dispatch.NotSent})
		return
	}
	if r.stage != stageWaiting {
		return // cannot happen: a request has at most one attempt at a time
	}
	f.attributeQueueTime(r, a.QueueTime)
	r.attempt++
	r.attemptStartedAt = f.now
	r.stage = stageDialing
	r.bodySent = false
	r.timedOut = false
	f.attributeAttemptStart(r)
	until := r.deadline
	if a.Deadline > 0 {
		until = min(until, a.Deadline)
	}
	f.setAttemptTimer(r, until)
	n := f.nodes[a.Node]
	if n == nil || n.State != dispatch.Ready {
		f.failAttempt(r, dispatch.NotSent, ResponseInfo{})
		return
	}
	f.assignConn(r, n)
}

// assignConn sends a request's attempt on an idle connection, or dials one for it.
func (f *Forwarder) assignConn(r *request, n *node) {
	if c := f.takeIdle(n, r.loop); c != nil {
		f.send(c, r)
		return
	}
	c := f.dial(n, r.loop)
	if c == nil { // the gateway's own limit, not a fault of the node
		f.failAttempt(r, dispatch.NotSent, ResponseInfo{})
		return
	}
	r.conn = c
	c.request = r
}

// send sends a request's attempt on a connection. No other function sends a request.
func (f *Forwarder) send(c *conn, r *request) {
	c.state = connBusy
	c.request = r
	r.conn = c
	r.stage = stageInFlight
	f.enterNode(r, c.node)
	f.emit(SendRequest{
		Conn:     c.id,
		Loop:     c.loop,
		ID:       r.req.ID,
		Node:     c.node.ID,
		Attempt:  r.attempt,
		Deadline: r.timer.At(),
	})
}

// failAttempt ends an attempt without a response for the client, and leaves it to the
// dispatcher whether there is another attempt. A request that cannot be replayed gets its
// final response here: a rejection only where the node rejected it without executing it.
func (f *Forwarder) failAttempt(r *request, result dispatch.AttemptResult, info ResponseInfo) {
	r.timedOut = result == dispatch.TimedOut
	if r.notReplayable && r.stage == stageInFlight {
		f.reportResult(r, result, info, true)
		if result == dispatch.Rejected {
			f.respond(r, Reject{ID: r.req.ID, Loop: r.loop, RetryAfter: f.cfg.Dispatch.MaxRetryAfter})
		} else {
			f.respond(r, Fail{ID: r.req.ID, Loop: r.loop, TimedOut: r.timedOut})
		}
		return
	}
	r.stage = stageWaiting
	f.attributeFailedAttempt(r)
	f.reportResult(r, result, info, false)
}

// reportResult reports an attempt's result to the dispatcher. With responded set the
// request is over, and nothing more is reported of it.
func (f *Forwarder) reportResult(r *request, result dispatch.AttemptResult, info ResponseInfo, responded bool) {
	if r.resultReported {
		return
	}
	r.resultReported = responded
	if !r.ambiguous && !notExecuted(result) {
		r.ambiguous = true
		r.ambiguousSince = r.attemptStartedAt
	}
	node := dispatch.NodeID("")
	if r.conn != nil {
		node = r.conn.node.ID
	}
	f.notify(dispatch.AttemptCompleted{
		ID:         r.req.ID,
		Attempt:    r.attempt,
		Node:       node,
		Result:     result,
		Responded:  responded,
		Latency:    f.now - r.attemptStartedAt,
		QuotaUsage: info.QuotaUsage,
		PeerUnits:  info.PeerUnits,
		LoadReport: info.LoadReport,
	})
}

// notExecuted reports whether a result proves that the node did not execute the request.
func notExecuted(result dispatch.AttemptResult) bool {
	return result == dispatch.Rejected || result == dispatch.ConnectFailed || result == dispatch.NotSent
}

// abandonAttempt ends an attempt that is in flight. A response may still arrive on its
// connection, which is therefore closed.
func (f *Forwarder) abandonAttempt(r *request, result dispatch.AttemptResult) {
	if r.stage != stageInFlight {
		return
	}
	c := r.conn
	f.stopTimer(r)
	f.failAttempt(r, result, ResponseInfo{})
	if r.conn == c {
		f.releaseConn(r)
	}
}

// dedupWindowExpired reports whether nodes may no longer recognize a further attempt as a
// repeat of one that may have been executed. It is checked when the connection is ready,
// as dialing may take longer than the window.
func (f *Forwarder) dedupWindowExpired(r *request) bool {
	return r.ambiguous && r.class.Idempotency == dispatch.Deduplicated &&
		f.now-r.ambiguousSince >= r.class.DedupWindow
}

// onBodyStreaming detaches a request whose body is streamed from the dispatcher: the
// client and the network set its pace, and that must not count as the node's latency, for
// which other requests would be rejected. A request that holds its key's order stays
// attached. Beyond MaxStreamsPerNode a request stays attached, too, so that a node full
// of streams counts as busy. A slow client may hide a slow node this way; the node then
// shows in its other responses.
func (f *Forwarder) onBodyStreaming(id dispatch.RequestID) {
	r := f.requests[id]
	if r == nil || r.stage != stageInFlight || r.bodySent {
		return
	}
	if holdsKey := r.class.Ordered && r.req.Key != ""; holdsKey || !f.reserveStream(r) {
		return
	}
	f.reportResult(r, dispatch.Canceled, ResponseInfo{}, true)
	f.leaveNode(r) // it no longer counts in the dispatcher's concurrency
	r.stage = stageDetached
	f.stopTimer(r)
}

// onBodySent starts the timeout of a detached request: from now on the node sets the pace.
func (f *Forwarder) onBodySent(id dispatch.RequestID) {
	if r := f.requests[id]; r != nil {
		r.bodySent = true
		if r.stage == stageDetached {
			f.setAttemptTimer(r, f.now+r.class.Deadline)
		}
	}
}

// reserveStream counts a request among its node's streams. It returns false where the node
// has MaxStreamsPerNode.
func (f *Forwarder) reserveStream(r *request) bool {
	n := r.conn.node
	if r.streamNode == nil && n.streamCount < f.cfg.MaxStreamsPerNode {
		n.streamCount++
		r.streamNode = n
	}
	return r.streamNode != nil
}

// onAttemptTimeout handles the timer of a request's attempt.
func (f *Forwarder) onAttemptTimeout(r *request) {
	switch r.stage {
	case stageDialing: // the connection may still be used by another request
		c := r.conn
		f.failAttempt(r, dispatch.ConnectFailed, ResponseInfo{})
		r.conn = nil
		c.request = nil
	case stageInFlight:
		f.abandonAttempt(r, dispatch.TimedOut)
	case stageDetached:
		f.respond(r, Fail{ID: r.req.ID, Loop: r.loop, TimedOut: true})
	}
}
