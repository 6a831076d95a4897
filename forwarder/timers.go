// Timers: the timeouts of attempts, the idle timeouts of connections, and the
// dispatcher's own timer. The caller's one timer is set to the earliest of them.

package forwarder

import (
	"math"
	"time"

	"chalkstand/dispatch"
)

// timer is the timeout of a request's attempt, or of an idle connection.
type timer struct {
	request *request
	conn    *conn
}

// dispatcherTimer is the timer that the dispatcher last set.
type dispatcherTimer struct {
	at      time.Duration
	token   string
	pending bool
}

// setAttemptTimer sets the timeout of a request's attempt, in place of an earlier one.
func (f *Forwarder) setAttemptTimer(r *request, at time.Duration) {
	f.stopTimer(r)
	r.timer = f.timers.Add(at, timer{request: r})
}

// stopTimer stops the timeout of a request's attempt.
func (f *Forwarder) stopTimer(r *request) {
	f.timers.Remove(r.timer)
	r.timer = nil
}

// runTimers handles the timers that are due.
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

// setTimer requests the next TimerFired where it is due before the one requested last.
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
