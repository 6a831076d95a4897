// This file attributes the time that a request spends in queues to the cause that blocked it.
// Attempts and answers report the result, and no decision depends on it. The file owns the
// totals of blocked time in flows and nodes.

package dispatch

import "time"

// blockedTimes is a snapshot of how long a flow has been blocked in total, by cause.
type blockedTimes struct {
	at        time.Duration // when the snapshot was taken
	rateLimit time.Duration
	slowStart time.Duration
	ejected   time.Duration
}

// blockedTimes returns the total blocked times of f up to now, including the periods that have
// not ended.
func (f *flow) blockedTimes(now time.Duration) blockedTimes {
	t := blockedTimes{
		at:        now,
		rateLimit: f.throttledTime,
		slowStart: f.node.slowStartTime,
		ejected:   f.node.ejectedTime,
	}
	if f.throttled {
		t.rateLimit += now - f.throttledAt
	}
	if f.node.blocked {
		period := now - f.node.blockedAt
		if f.node.blockedByEjection {
			t.ejected += period
		} else {
			t.slowStart += period
		}
	}
	return t
}

// queueTimeUntil returns the queue time of r up to now. Its parts add up to the time that r has
// spent in the queues of nodes. If two causes blocked r at the same time, that time counts only
// for the first of them, in the order rate limit, slow start, ejection.
func (r *request) queueTimeUntil(now time.Duration) QueueTime {
	total := r.queueTime
	if r.flow == nil {
		return total
	}
	from := r.blockedAtEnqueue
	until := r.flow.blockedTimes(now)
	unattributed := now - from.at
	attribute := func(blocked time.Duration) time.Duration {
		blocked = min(max(blocked, 0), unattributed)
		unattributed -= blocked
		return blocked
	}
	total.RateLimit += attribute(until.rateLimit - from.rateLimit)
	total.SlowStart += attribute(until.slowStart - from.slowStart)
	total.Ejected += attribute(until.ejected - from.ejected)
	total.Concurrency += unattributed
	return total
}

// throttle begins a period in which the rate limit blocks f.
func (f *flow) throttle(now time.Duration) {
	f.throttled = true
	f.throttledAt = now
}

// unthrottle ends the period in which the rate limit blocks f.
func (f *flow) unthrottle(now time.Duration) {
	f.throttled = false
	f.throttledTime += now - f.throttledAt
}

// block begins a period in which the queue of n is blocked. The cause is ejection if byEjection
// is true, otherwise slow start.
func (n *node) block(now time.Duration, byEjection bool) {
	n.blocked = true
	n.blockedAt = now
	n.blockedByEjection = byEjection
}

// unblock ends the period in which the queue of n is blocked, if there is one.
func (n *node) unblock(now time.Duration) {
	if !n.blocked {
		return
	}
	n.blocked = false
	period := now - n.blockedAt
	if n.blockedByEjection {
		n.ejectedTime += period
	} else {
		n.slowStartTime += period
	}
}
