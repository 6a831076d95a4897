package modelcheck

// The functions in this file check the requests that the forwarder sends. The checks cover
// drains, attempts, repeated execution, the retry budget and the order by key.

import (
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// checkDecision checks that the forwarder decides to send no request to a node that is draining
// or removed, and none after a shutdown has begun.
func (w *World) checkDecision(a forwarder.Action) {
	send, ok := a.(forwarder.SendRequest)
	if !ok {
		return
	}
	if since, unusable := w.unusableSince[send.Node]; unusable {
		w.reportViolation(ruleDrain, "request %d is sent to %s, which has been draining or removed for %v",
			send.ID, send.Node, w.now-since)
	}
	if w.shuttingDown {
		w.reportViolation(ruleAnswer, "request %d is sent to %s after the shutdown", send.ID, send.Node)
	}
}

// checkSend checks a request at the moment when the event loop sends it.
func (w *World) checkSend(c *conn, r *request, a forwarder.SendRequest) {
	switch {
	case r.responses > 0 || r.canceled:
		w.reportViolation(ruleAnswer, "request %d is sent after its end", r.id)
	case r.conn != nil:
		w.reportViolation(ruleAttempts, "request %d is sent on connection %d while in flight on %d", r.id, c.id, r.conn.id)
	default:
		w.checkSendConn(c, r, a)
		w.checkRepeat(r)
	}
	if a.Attempt < r.attempts {
		w.reportViolation(ruleAttempts, "request %d: attempt %d is sent after %d others", r.id, a.Attempt, r.attempts)
	}
	if bound := w.cfg.Dispatch.MaxAttempts; bound > 0 && r.attempts >= bound {
		w.reportViolation(ruleBounds, "request %d is sent for the %dth time, bound %d", r.id, r.attempts+1, bound)
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

// checkSendConn checks that a request is sent on an open, unused connection to the node that
// the forwarder chose.
func (w *World) checkSendConn(c *conn, r *request, a forwarder.SendRequest) {
	switch busy := c.request != nil || c.atNode; {
	case !c.open || busy || c.unusable:
		w.reportViolation(ruleConnection, "request %d is sent on connection %d: open %v, busy %v, unusable %v",
			r.id, c.id, c.open, busy, c.unusable)
	case a.Loop != c.loop || a.Loop != r.loop:
		w.reportViolation(ruleConnection, "request %d of loop %d is sent on connection %d of loop %d", r.id, r.loop, c.id, c.loop)
	case a.Node != c.node:
		w.reportViolation(ruleConnection, "request %d for %s is sent on connection %d to %s", r.id, a.Node, c.id, c.node)
	case w.shardOf(c.node) != r.shard:
		w.reportViolation(ruleEffects, "request %d of shard %d is sent to %s", r.id, r.shard, c.node)
	}
}

// checkRepeat checks that a request that may have been executed is sent again only if its class
// allows a second execution.
func (w *World) checkRepeat(r *request) {
	class := w.class(r)
	switch {
	case r.notReplayable && r.attempts > 0:
		w.reportViolation(ruleEffects, "request %d is not replayable and is sent again", r.id)
	case !r.ambiguous:
	case class.Idempotency == dispatch.NonIdempotent:
		w.reportViolation(ruleEffects, "request %d is not idempotent and is sent again though it may have been executed", r.id)
	case class.Idempotency == dispatch.Deduplicated && w.now-r.ambiguousSince >= class.DedupWindow:
		w.reportViolation(ruleEffects, "request %d is sent again %v after it may have been executed, beyond its window",
			r.id, w.now-r.ambiguousSince)
	}
}

// checkBudget records a retry and checks that the retries stay within the retry budget.
func (w *World) checkBudget() {
	history, budget := &w.checker, w.cfg.Dispatch.RetryBudget
	history.retryTimes = append(history.retryTimes, w.now)
	inWindow := func(times []time.Duration) int {
		count := 0
		for _, t := range times {
			if w.now-budget.Window < t && t <= w.now {
				count++
			}
		}
		return count
	}
	retries, requests := inWindow(history.retryTimes), inWindow(history.requestTimes)
	if budget.Window > 0 && float64(retries) > budget.MinRetries+budget.Ratio*float64(requests) {
		w.reportViolation(ruleBudget, "%d retries within %v", retries, budget.Window)
	}
}

func (w *World) shardOf(id dispatch.NodeID) dispatch.Shard {
	i := slices.IndexFunc(w.nodes, func(n node) bool { return n.id == id })
	return w.nodes[i].shard
}

// checkOrder checks that a request is sent only after all earlier requests with the same key
// have ended and their quiescence periods are over.
func (w *World) checkOrder(r *request) {
	if !w.class(r).Ordered || r.key == "" {
		return
	}
	for _, earlier := range w.checker.byKey[r.key] {
		switch {
		case earlier == r:
			return
		case (!earlier.finished() || earlier.conn != nil) && !w.responsePending(earlier):
			w.reportViolation(ruleOrder, "request %d is sent before %d of its key is over", r.id, earlier.id)
		case w.now < earlier.quiescentAt:
			w.reportViolation(ruleOrder, "request %d is sent %v before the quiescence of its key ends",
				r.id, earlier.quiescentAt-w.now)
		}
	}
}

// responsePending reports whether the forwarder has decided on a request's final response and
// the request's event loop has not delivered it yet. Another event loop may act on a consequence
// of the same decision first.
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

// recordInterruption records that a connection ends while the node may still execute its
// request.
func (w *World) recordInterruption(c *conn) {
	r := c.request
	if r == nil || !c.atNode {
		return
	}
	r.ambiguous = true
	w.startQuiescence(r)
}
