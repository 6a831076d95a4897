package overload

import "time"

// Detector detects a standing queue from the delays that the queue causes. The detection follows
// controlled delay (Nichols and Jacobson, "Controlling Queue Delay", 2012): a queue stands if
// none of its delays was below a target for an interval. The zero value observes a queue that
// does not stand.
//
// A Detector is not safe for concurrent use.
type Detector struct {
	standing      bool
	changing      bool          // whether the last delay contradicted standing
	changingSince time.Duration // time since which all delays have contradicted standing
	lastSeen      time.Duration // time of the last delay
}

// Standing reports whether the queue stands.
func (d *Detector) Standing() bool { return d.standing }

// Observe updates the state from the delay of a request. The queue begins to stand when all
// delays of an interval have reached the target. It stops when all delays of an interval were
// below the target.
func (d *Detector) Observe(now, delay, target, interval time.Duration) {
	d.lastSeen = now
	reachesTarget := delay >= target
	switch {
	case reachesTarget == d.standing:
		d.changing = false
	case !d.changing:
		d.changing = true
		d.changingSince = now
	case now-d.changingSince >= interval:
		d.standing = reachesTarget
		d.changing = false
	}
}

// ResetIfIdle records that the queue does not stand if no delay was observed for an interval. It
// is for a queue that has no requests without the observer's knowledge.
func (d *Detector) ResetIfIdle(now, interval time.Duration) {
	if now-d.lastSeen > interval {
		d.standing = false
		d.changing = false
	}
}
