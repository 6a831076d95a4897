// This file detects standing queues, by controlled delay (RFC 8289). A queue that absorbs a burst
// serves every caller that has the time to wait. A queue that stands serves no more callers than
// a short one: it only makes all of them wait, and callers with little time get nothing. The
// file decides which delay of a standing queue is too long. It owns flow.detector and
// node.detector.

package dispatch

import "time"

const (
	// delayTargetShare is the longest delay that a standing queue may cause, as a share of the
	// shortest deadline of all classes. RFC 8289 recommends a target of 5 to 10 % of the interval.
	delayTargetShare = 0.05

	// reservedTargetFactor is the multiple of the target up to which requests within the reserve
	// of their volume are still admitted, so that other requests yield to them.
	reservedTargetFactor = 2
)

// standingInterval returns for how long all delays of a queue must be long before the queue counts
// as standing. A burst that is served within this time is served before any class's deadline.
func (d *Dispatcher) standingInterval() time.Duration { return d.shortestDeadline }

// delayTarget returns the longest delay that a standing queue may cause. It depends on the
// settings alone, not on the timeouts of clients.
func (d *Dispatcher) delayTarget() time.Duration {
	return time.Duration(delayTargetShare * float64(d.shortestDeadline))
}

// observeDelays updates whether the queues that r would join at n stand. A flow without requests
// has no queue. The delay of a node may be caused by other dispatchers, so what was observed of it
// lasts as long as the estimate of the delay.
func (d *Dispatcher) observeDelays(f *flow, n *node, own delays) {
	target, interval := d.delayTarget(), d.standingInterval()
	f.detector.ResetIfIdle(d.now, interval)
	f.detector.Observe(d.now, own.node+own.queueing(), target, interval)
	n.detector.ResetIfIdle(d.now, d.delayMemory(n))
	n.detector.Observe(d.now, own.node+own.ejection+d.workTime(n, n.queuedReservedUnits), target, interval)
}

// standingExcess returns by how much the delay of r at n exceeds what a standing queue may cause.
// It returns 0 if r would join no standing queue.
func (d *Dispatcher) standingExcess(r *request, f *flow, n *node, own delays) time.Duration {
	d.observeDelays(f, n, own)
	delay := own.node + own.queueing()
	target := d.delayTarget()
	standing := f.detector.Standing() || n.detector.Standing()
	if r.withinReserve {
		target *= reservedTargetFactor
	} else {
		// The request yields to all queued requests within a reserve. The queue of a node in slow
		// start counts as standing, because the node's capacity is known to be short.
		delay = max(delay, own.node+d.workTime(n, n.queuedReservedUnits))
		standing = standing || own.slowStart > 0
	}
	if !standing {
		return 0
	}
	return max(0, delay-target)
}
