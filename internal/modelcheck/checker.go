package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// These constants name the rules. The checker enforces a rule by observing the requests and
// responses that cross the wire.
const (
	// ruleAnswer requires that each request gets exactly one final response before its
	// deadline, and that the gateway does not send the request to a node after that response.
	ruleAnswer = "answer"
	// ruleAttempts requires that a request has at most one attempt in flight.
	ruleAttempts = "attempts"
	// ruleDrain requires that the gateway sends no request to a node that discovery has
	// reported as draining or removed.
	ruleDrain = "drain"
	// ruleEffects requires that a request is executed again only if its class allows that.
	ruleEffects = "effects"
	// ruleOrder requires that the requests of one key run one at a time and in order. If an
	// earlier request may still run at a node, the next one waits for the quiescence period.
	ruleOrder = "order"
	// ruleBudget requires that retries stay within the retry budget. A retry counts from the
	// time at which it is decided.
	ruleBudget = "budget"
	// ruleConnection requires that a connection never delivers a response to the wrong
	// request, is not reused while it may hold unexpected bytes, and is never leaked.
	ruleConnection = "connection"
	// ruleBounds requires that the connections and streams of a node, and the attempts of a
	// request, stay within their configured limits.
	ruleBounds = "bounds"
	// ruleStuck requires that each request ends by its deadline if no more events happen.
	ruleStuck = "stuck"
)

// These constants name the outcomes of requests. Scripts store the names, so the names must
// not change.
const (
	outcomeForwarded = "deliver"
	outcomeRejected  = "refuse"
	outcomeFailed    = "fail"
	outcomeAborted   = "cut"
	outcomeCanceled  = "left"
)

// Violation describes how a run broke a rule.
type Violation struct {
	Rule    string
	Message string
}

func (v *Violation) String() string { return v.Rule + ": " + v.Message }

// checker holds the history that the rule checks need.
type checker struct {
	requestTimes []time.Duration
	retryTimes   []time.Duration
	byKey        map[string][]*request // the requests of ordered classes by key, in order of arrival
	violation    *Violation            // the first violation, or nil
}

// reset discards the history of the previous gateway when the gateway restarts.
func (c *checker) reset() {
	c.requestTimes = nil
	c.retryTimes = nil
	c.byKey = map[string][]*request{}
}

// reportViolation records a violation of a rule, unless the checker already has one.
func (w *World) reportViolation(rule, format string, args ...any) {
	if w.checker.violation == nil {
		w.checker.violation = &Violation{Rule: rule, Message: fmt.Sprintf(format, args...)}
	}
}

// recordArrival records that a request has arrived at the gateway.
func (w *World) recordArrival(r *request) {
	w.checker.requestTimes = append(w.checker.requestTimes, w.now)
	if w.class(r).Ordered && r.key != "" {
		w.checker.byKey[r.key] = append(w.checker.byKey[r.key], r)
	}
}

// checkDial checks that a new connection keeps the number of connections to its node within
// the limit. A connection does not count if the forwarder has already decided to close it and
// the event loop has not yet done so.
func (w *World) checkDial(a forwarder.Dial) {
	count := 1
	for _, c := range w.conns {
		if c.node == a.Node && !w.closePending(c) {
			count++
		}
	}
	if count > w.cfg.MaxConnsPerNode {
		w.reportViolation(ruleBounds, "%d connections to %s, bound %d", count, a.Node, w.cfg.MaxConnsPerNode)
	}
}

// closePending reports whether the event loop of a connection still has to close it.
func (w *World) closePending(c *conn) bool {
	return slices.ContainsFunc(w.loopQueues[c.loop], func(a forwarder.Action) bool {
		closing, ok := a.(forwarder.CloseConn)
		return ok && closing.Conn == c.id
	})
}

// sendPending reports whether the event loop of a connection still has to send a request on it.
func (w *World) sendPending(c *conn) bool {
	return slices.ContainsFunc(w.loopQueues[c.loop], func(a forwarder.Action) bool {
		send, ok := a.(forwarder.SendRequest)
		return ok && send.Conn == c.id
	})
}

// markIdleConnsUnusable marks the idle connections to a restarted node as unusable, because
// they lead to the node's earlier process. It skips a connection on which the gateway decided,
// before the restart, to send a request.
func (w *World) markIdleConnsUnusable(id dispatch.NodeID) {
	for _, c := range w.conns {
		if c.node == id && c.open && c.request == nil && !w.sendPending(c) {
			c.unusable = true
		}
	}
}
