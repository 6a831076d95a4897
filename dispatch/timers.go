// This file keeps the dispatcher's own timers and requests only the next one from the caller.
// It makes no decisions: when a timer is due, it calls the function that handles the kind of
// the timer. It owns the timer queue.

package dispatch

import (
	"time"

	"chalkstand/internal/timerqueue"
)

// timerKind says what the dispatcher does when a timer is due.
type timerKind int

const (
	controllerTimer timerKind = iota // update the weights and delete idle volumes
	expiryTimer                      // reject a request that still waits in a queue
	throttleTimer                    // resume a flow whose head the rate limit admits again
	releaseTimer                     // examine the queue of a node
	quiescenceTimer                  // place the next request of a key that is now quiescent
	retryTimer                       // queue a request for its next attempt
	pollTimer                        // call discovery again
)

// timerEvent holds the kind of a timer and the object that the timer concerns. The fields for
// other objects are nil.
type timerEvent struct {
	kind     timerKind
	request  *request
	flow     *flow
	node     *node
	keyQueue *keyQueue
}

// addTimer adds a timer for the given time. The timer always fires in a later call of Handle.
func (d *Dispatcher) addTimer(at time.Duration, e timerEvent) *timerqueue.Timer[timerEvent] {
	return d.timers.Add(max(at, d.now+time.Microsecond), e)
}

// armWakeup requests a TimerFired event for the next timer, unless an event for that time or an
// earlier time is already requested.
func (d *Dispatcher) armWakeup() {
	if at, pending := d.timers.Next(); pending && at < d.wakeAt {
		d.wakeAt = at
		d.emit(SetTimer{At: d.wakeAt, Token: wakeupToken})
	}
}

// runTimers runs the timers that are due and removes them.
func (d *Dispatcher) runTimers() {
	for {
		e, due := d.timers.PopDue(d.now)
		if !due {
			return
		}
		switch e.kind {
		case controllerTimer:
			d.updateWeights()
			d.dropIdleVolumes()
		case expiryTimer:
			d.expire(e.request)
		case throttleTimer:
			d.resumeFlow(e.flow)
		case releaseTimer:
			d.markDirty(e.node)
		case quiescenceTimer:
			d.advanceKeyQueue(e.keyQueue)
		case retryTimer:
			d.retry(e.request)
		case pollTimer:
			d.poll()
		}
	}
}
