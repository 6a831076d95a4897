package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
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
func (w *World) reportViolation(rule, format string, args ...any) {
	if w.checker.violation == nil {
		w.checker.violation = &Violation{Rule: rule, Message: fmt.Sprintf(format, args...)}
	}
}

// noteStart notes that a request arrives.
func (w *World) recordArrival(r *request) {
	w.checker.requestTimes = append(w.checker.requestTimes, w.now)
	if w.class(r).Ordered && r.key != "" {
		w.checker.byKey[r.key] = append(w.checker.byKey[r.key], r)
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
		w.reportViolation(ruleBounds, "%d connections to %s, bound %d", count, a.Node, w.cfg.MaxConnsPerNode)
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
func (w *World) markIdleConnsUnusable(id dispatch.NodeID) {
	for _, c := range w.conns {
		if c.node == id && c.open && c.request == nil && !w.sendPending(c) {
			c.unusable = true
		}
	}
}
