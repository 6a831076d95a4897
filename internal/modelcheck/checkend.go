package modelcheck

// The functions in this file check the states in which no more events can happen.

import (
	"reflect"

	"chalkstand/forwarder"
)

// maxTimers limits how many timers checkConns fires while it waits for idle connections to
// time out.
const maxTimers = 1000

// checkDeadlines reports a violation for each request that has no response after its deadline.
// It does not check the gateway's timeouts for streamed bodies.
func (w *World) checkDeadlines() {
	for _, r := range w.requests {
		if r.responseDue() && w.now > r.deadline {
			w.reportViolation(ruleAnswer, "request %d has no response %v after its deadline", r.id, w.now-r.deadline)
		}
	}
}

// checkOrphans reports a violation for each request that streams a body without a connection.
// No event can end such a request.
func (w *World) checkOrphans() {
	for _, r := range w.requests {
		if (r.headersForwarded || r.bodyStreaming) && !r.finished() && r.conn == nil && !w.responsePending(r) {
			w.reportViolation(ruleStuck, "request %d streams, its connection is closed, and it has no end", r.id)
		}
	}
}

// checkEnd checks a world in which no move can happen any more.
func (w *World) checkEnd() {
	for _, r := range w.requests {
		if r.unfinished() && !r.headersForwarded && !r.bodyStreaming {
			w.reportViolation(ruleStuck, "request %d waits, and nothing is due", r.id)
		}
	}
	if w.anyUnfinished() {
		return // a request streams a body that makes no more progress
	}
	if n := w.fwd.Requests(); n > 0 {
		w.reportViolation(ruleStuck, "the forwarder still has %d requests", n)
	}
	if n := dispatcherRequests(w.fwd); n > 0 {
		w.reportViolation(ruleStuck, "the dispatcher still has %d requests", n)
	}
	w.checkConns()
}

// dispatcherRequests uses reflection to return how many requests the dispatcher holds.
func dispatcherRequests(f *forwarder.Forwarder) int {
	return reflect.ValueOf(f).Elem().FieldByName("dispatcher").Elem().FieldByName("requests").Len()
}

// checkConns lets idle connections time out. It then checks that neither the event loops nor
// the forwarder have a connection left.
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
		w.reportViolation(ruleConnection, "%d connections are left on the loops and %d in the forwarder",
			len(w.conns), w.fwd.Conns())
	}
}

// completeDials establishes every connection that is still being dialed.
func (w *World) completeDials() {
	for _, c := range w.sortedConns() {
		if !c.open {
			c.open = true
			w.handle(forwarder.DialCompleted{Conn: c.id, OK: true}, c.loop)
		}
	}
}
