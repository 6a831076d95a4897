// Timers: the dispatcher's own timers, of which only the next is requested from the caller.
// Decides nothing; due timers call the concern that set them. Owns the timer queue.

package dispatch

import (
	"time"

	"chalkstand/internal/timerqueue"
)

// timerKind says what a timer is for.
type timerKind int

const (
	controllerTimer timerKind = iota // update the weights
	expiryTimer                      // reject a waiting request
	throttleTimer                    // the rate limit admits the head of a flow
	releaseTimer                     // look at the queue of a node
	quiescenceTimer                  // a key is quiescent
	retryTimer                       // queue a request for its next attempt
	pollTimer                        // call discovery again
)

// timerEvent is what is due when a timer fires. The fields that its kind does not need are nil.
type timerEvent struct {
	kind     timerKind
	request  *request
	flow     *flow
	node     *node
	keyQueue *keyQueue
}

// addTimer adds a timer, which fires in a later call of Handle.
func (d *Dispatcher) addTimer(at time.Duration, e timerEvent) *timerqueue.Timer[timerEvent] {
	return d.timers.Add(max(at, d.now+time.Microsecond), e)
}

// armWakeup requests a TimerFired event for the next timer unless an earlier one is pending.
func (d *Dispatcher) armWakeup() {
	if at, pending := d.timers.Next(); pending && at < d.wakeAt {
		d.wakeAt = at
		d.emit(SetTimer{At: d.wakeAt, Token: wakeupToken})
	}
}

// runTimers fires the timers that are due.
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
			d.emit(Watch{On: true})
		}
	}
}
