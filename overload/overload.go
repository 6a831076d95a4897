// Package overload detects a standing queue of requests before an event loop and rejects those
// that would wait too long, after controlled delay (CoDel). It does no I/O and reads no clock.
package overload

import (
	"fmt"
	"math"
	"time"
)

// Config holds the settings of a Controller.
type Config struct {
	// Target is what a request may wait for its first turn while its flow is overloaded.
	// 0: nothing is refused.
	Target time.Duration
	// Interval is for how long waits must be over Target, all of them, before the flow
	// counts as overloaded, and for how long under it, all of them, before it does not.
	Interval time.Duration
	// Back and MaxBack bound the time after which a refused client is asked to come back.
	Back, MaxBack time.Duration
}

func (c Config) check() error {
	switch {
	case c.Target < 0 || c.Target > time.Minute:
		return fmt.Errorf("overload: a target of %v, want 0 to 1m", c.Target)
	case c.Target == 0:
		return nil
	case c.Interval < c.Target:
		return fmt.Errorf("overload: an interval of %v, want the target, %v, or more", c.Interval, c.Target)
	case c.Back <= 0 || c.MaxBack < c.Back:
		return fmt.Errorf("overload: times to come back from %v to %v, want the first above 0 and the second no less", c.Back, c.MaxBack)
	}
	return nil
}

// Controller decides which requests of a flow on a loop are refused before they cost what a
// request costs. It guards against a queue that stands: where more comes than the
// flow's share of the loop can do, each request waits until its client has given up, all are
// late, and the work is for nobody. A flow with its turns in order waits long only when
// it is over its share itself, whatever others do; so its own waits tell.
//
// It follows controlled delay (Nichols and Jacobson, "Controlling Queue Delay", 2012) in
// what it takes for a standing queue: no wait was short for an interval. Once that
// is so, whoever has waited longer than the target is refused, and whoever has not is
// served, as in Maurer, "Fail at Scale" (2015): the queue melts as fast as refusals are cheap,
// and the loop is never without work.
//
// It may do harm where one burst is longer than the interval and all of its clients would
// have waited for it. The time to come back grows while many are refused, so that refusals stay
// a small part of what the flow costs.
type Controller struct {
	c      Config
	over   bool
	turned time.Duration // since then waits were all on the side that would change over
	last   time.Duration // the last request
	begun  time.Duration // of the interval that is counted
	back   time.Duration
	served int // in it
	gone   int // refused in it
	n      uint64
}

// New returns the state of one flow.
func New(c Config) (*Controller, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return &Controller{c: c, back: c.Back}, nil
}

// Over tells whether the flow is overloaded.
func (o *Controller) Over() bool { return o.over }

// Head decides on a request whose head was read now, and that had waited for its turn. It
// returns true for one that is to be refused, and the time after which its client may come
// back.
func (o *Controller) Head(now, waited time.Duration) (after time.Duration, refuse bool) {
	if o.c.Target == 0 {
		return 0, false
	}
	o.see(now, waited)
	refuse = o.over && waited >= o.c.Target
	o.count(now, refuse)
	if !refuse {
		return 0, false
	}
	return o.spread(), true
}

// see follows the waits from one side of the target to the other.
func (o *Controller) see(now, waited time.Duration) {
	long := waited >= o.c.Target
	if now-o.last > o.c.Interval { // nothing came meanwhile: no queue has stood
		o.over = false
		o.turned = now
	}
	o.last = now
	if long == o.over { // as it is held to be
		o.turned = now
		return
	}
	if now-o.turned >= o.c.Interval {
		o.over = long
		o.turned = now
	}
}

// count moves the time to come back with what is refused of what comes.
func (o *Controller) count(now time.Duration, refused bool) {
	if now-o.begun >= o.c.Interval {
		switch {
		case now-o.begun >= 2*o.c.Interval+o.back: // as long as this nobody was seen
			o.back = o.c.Back
		case o.gone > o.served/refusedMost:
			o.back = min(o.back*2, o.c.MaxBack)
		case o.gone < o.served/refusedLeast:
			o.back = max(o.back/2, o.c.Back)
		}
		o.begun, o.served, o.gone = now, 0, 0
	}
	if refused {
		o.gone++
	} else {
		o.served++
	}
}

// Where more than one is refused for each so many that are served, clients are asked back later;
// where fewer than one for each so many, sooner.
const (
	refusedMost  = 4
	refusedLeast = 16
)

// spread draws the time to come back from half to one and a half of the present one, so
// that those who were refused together do not come back together. Multiples of the golden ratio
// cover the range evenly from the first on.
func (o *Controller) spread() time.Duration {
	o.n++
	_, frac := math.Modf(float64(o.n%(1<<20)) * math.Phi)
	return min(time.Duration((0.5+frac)*float64(o.back)), o.c.MaxBack)
}
