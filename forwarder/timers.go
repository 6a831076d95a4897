// This file manages timers: the timeouts of attempts, the idle timeouts of connections, and
// the dispatcher's timer. The caller has a single timer, which SetTimer sets to the earliest
// of these times.

package forwarder

import (
	"math"
	"time"

	"chalkstand/dispatch"
)

// timer is the timeout of a request's attempt or of an idle connection. One of its fields
// is nil.
type timer struct {
	request *request
	conn    *conn
}

// dispatcherTimer is the last timer that the dispatcher requested.
type dispatcherTimer struct {
	at      time.Duration
	token   string
	pending bool
}

// setAttemptTimer sets the timeout of a request's attempt. It replaces any earlier timeout.
func (f *Forwarder) setAttemptTimer(r *request, at time.Duration) {
	f.stopTimer(r)
	r.timer = f.timers.Add(at, timer{request: r})
}

// stopTimer cancels the timeout of a request's attempt.
func (f *Forwarder) stopTimer(r *request) {
	f.timers.Remove(r.timer)
	r.timer = nil
}

// runTimers handles all timers that are due. The dispatcher's timer takes precedence.
func (f *Forwarder) runTimers() {
	for {
		if f.dispatcherTimer.pending && f.dispatcherTimer.at <= f.now {
			f.dispatcherTimer.pending = false
			f.notify(dispatch.TimerFired{Token: f.dispatcherTimer.token})
			f.runDispatcher()
			continue
		}
		t, due := f.timers.PopDue(f.now)
		switch {
		case !due:
			return
		case t.request != nil:
			t.request.timer = nil
			f.onAttemptTimeout(t.request)
		default:
			f.onIdleTimeout(t.conn)
		}
		f.runDispatcher()
	}
}

// setTimer emits SetTimer if the next timer is due before the TimerFired event that was
// requested last.
func (f *Forwarder) setTimer() {
	next := time.Duration(math.MaxInt64)
	if at, pending := f.timers.Next(); pending {
		next = at
	}
	if f.dispatcherTimer.pending {
		next = min(next, f.dispatcherTimer.at)
	}
	if next < f.wakeAt {
		f.wakeAt = next
		f.emit(SetTimer{At: next})
	}
}
