// This file handles attempts. The dispatcher decides on an attempt, the forwarder sends it
// on a connection, and the result is reported to the dispatcher once.

package forwarder

import (
	"chalkstand/dispatch"
)

// startAttempt starts an attempt that the dispatcher decided on. The dispatcher does not
// choose nodes that it knows to be draining. If the node starts draining while the
// connection is being dialed, onDialCompleted ends the attempt.
func (f *Forwarder) startAttempt(a dispatch.SendAttempt) {
	r := f.requests[a.ID]
	if r == nil { // cannot happen; the result is reported so that the dispatcher does not wait for it
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

// assignConn sends a request's attempt on an idle connection of the node. If there is none,
// it dials a new connection, and the attempt is sent when the dial completes.
func (f *Forwarder) assignConn(r *request, n *node) {
	if c := f.takeIdle(n, r.loop); c != nil {
		f.send(c, r)
		return
	}
	c := f.dial(n, r.loop)
	if c == nil { // a connection limit of the gateway is reached, which is not a fault of the node
		f.failAttempt(r, dispatch.NotSent, ResponseInfo{})
		return
	}
	r.conn = c
	c.request = r
}

// send sends a request's attempt on a connection. It is the only function that emits
// SendRequest.
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

// failAttempt ends an attempt that produced no response for the client. The dispatcher then
// decides whether there is another attempt. If the request was sent and cannot be replayed,
// failAttempt gives it the final response instead: Reject if the node rejected it without
// executing it, and Fail otherwise.
func (f *Forwarder) failAttempt(r *request, result dispatch.AttemptResult, info ResponseInfo) {
	r.timedOut = result == dispatch.TimedOut
	if r.notReplayable && r.stage == stageInFlight {
		f.reportResult(r, result, info, true)
		if result == dispatch.Rejected {
			f.respond(r, Reject{ID: r.req.ID, Loop: r.loop, RetryAfter: f.cfg.Dispatch.DefaultRetryAfter()})
		} else {
			f.respond(r, Fail{ID: r.req.ID, Loop: r.loop, TimedOut: r.timedOut})
		}
		return
	}
	r.stage = stageWaiting
	f.attributeFailedAttempt(r)
	f.reportResult(r, result, info, false)
}

// reportResult reports an attempt's result to the dispatcher. If responded is set, the
// request is finished, and reportResult ignores later calls for it.
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

// abandonAttempt ends an attempt that is in flight. It also closes the connection, because
// the node's response may still arrive on it.
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

// abandonDial ends an attempt that waits for its connection. The dial continues, and another
// request may use the connection.
func (f *Forwarder) abandonDial(r *request, result dispatch.AttemptResult) {
	c := r.conn
	f.failAttempt(r, result, ResponseInfo{})
	r.conn = nil
	c.request = nil
}

// dedupWindowExpired reports whether the deduplication window of an earlier attempt, which
// a node may have executed, has expired. Nodes may then execute a further attempt as a new
// request. The forwarder checks this when the connection is ready, because dialing may take
// longer than the window.
func (f *Forwarder) dedupWindowExpired(r *request) bool {
	return r.ambiguous && r.class.Idempotency == dispatch.Deduplicated &&
		f.now-r.ambiguousSince >= r.class.DedupWindow
}

// onBodyStreaming detaches a request from the dispatcher when its body starts to stream to
// the node. The client and the network determine how long the transfer takes. If that time
// counted as the node's latency, the dispatcher would reject other requests.
//
// An ordered request with a key stays attached, because it holds back later requests with
// the same key. A request beyond MaxStreamsPerNode also stays attached, so that a node with
// too many streams counts as busy. A slow client can hide a slow node this way, but the
// latency of the node's other responses still reveals it.
func (f *Forwarder) onBodyStreaming(id dispatch.RequestID) {
	r := f.requests[id]
	if r == nil || r.stage != stageInFlight || r.bodySent {
		return
	}
	if holdsKey := r.class.Ordered && r.req.Key != ""; holdsKey || !f.reserveStream(r) {
		return
	}
	f.reportResult(r, dispatch.Canceled, ResponseInfo{}, true)
	f.leaveNode(r) // the request no longer counts in the dispatcher's concurrency
	r.stage = stageDetached
	f.stopTimer(r)
}

// onBodySent starts the timeout of a detached request. The node has the whole body, so that
// only the node can delay the response from now on.
func (f *Forwarder) onBodySent(id dispatch.RequestID) {
	if r := f.requests[id]; r != nil {
		r.bodySent = true
		if r.stage == stageDetached {
			f.setAttemptTimer(r, f.now+r.class.Deadline)
		}
	}
}

// reserveStream counts a request as one of its node's streams. It returns false if the node
// already has MaxStreamsPerNode streams.
func (f *Forwarder) reserveStream(r *request) bool {
	n := r.conn.node
	if r.streamNode == nil && n.streamCount < f.cfg.MaxStreamsPerNode {
		n.streamCount++
		r.streamNode = n
	}
	return r.streamNode != nil
}

// onAttemptTimeout ends a request's attempt when its timer fires.
func (f *Forwarder) onAttemptTimeout(r *request) {
	switch r.stage {
	case stageDialing:
		result := dispatch.NotSent // a client that left early says nothing about the node
		if f.now-r.attemptStartedAt >= f.cfg.DialTimeout {
			result = dispatch.ConnectFailed
		}
		f.abandonDial(r, result)
	case stageInFlight:
		f.abandonAttempt(r, dispatch.TimedOut)
	case stageDetached:
		f.respond(r, Fail{ID: r.req.ID, Loop: r.loop, TimedOut: true})
	}
}
