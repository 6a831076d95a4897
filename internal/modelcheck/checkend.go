package modelcheck

// Checks of a state in which no more events happen.

import (
	"reflect"

	"chalkstand/forwarder"
)

// maxTimers bounds the timers that fire while idle connections time out.
const maxTimers = 1000

// checkDeadlines looks for requests without a response after their deadline. The gateway's
// own timeouts of streamed bodies are not part of this.
func (w *World) checkDeadlines() {
	for _, r := range w.requests {
		if r.responseDue() && w.now > r.deadline {
			w.reportViolation(ruleAnswer, "request %d has no response %v after its deadline", r.id, w.now-r.deadline)
		}
	}
}

// checkOrphans looks for requests that stream but have lost their connection: no event could
// end them.
func (w *World) checkOrphans() {
	for _, r := range w.requests {
		if (r.headersForwarded || r.bodyStreaming) && !r.finished() && r.conn == nil && !w.responsePending(r) {
			w.reportViolation(ruleStuck, "request %d streams, its connection is closed, and it has no end", r.id)
		}
	}
}

// checkEnd checks a world in which no move is left.
func (w *World) checkEnd() {
	for _, r := range w.requests {
		if r.unfinished() && !r.headersForwarded && !r.bodyStreaming {
			w.reportViolation(ruleStuck, "request %d waits, and nothing is due", r.id)
		}
	}
	if w.anyUnfinished() {
		return // a body that streams and stands still
	}
	if n := w.fwd.Requests(); n > 0 {
		w.reportViolation(ruleStuck, "the forwarder still has %d requests", n)
	}
	if n := dispatcherRequests(w.fwd); n > 0 {
		w.reportViolation(ruleStuck, "the dispatcher still has %d requests", n)
	}
	w.checkConns()
}

// dispatcherRequests returns the number of the dispatcher's requests, by reflection.
func dispatcherRequests(f *forwarder.Forwarder) int {
	return reflect.ValueOf(f).Elem().FieldByName("dispatcher").Elem().FieldByName("requests").Len()
}

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
		w.reportViolation(ruleConnection, "%d connections are left on the loops and %d in the forwarder",
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
