// Package overload detects a standing queue of requests before an event loop and rejects those
// that have waited too long, after controlled delay (CoDel). It does no I/O and reads no clock.
package overload

import (
	"fmt"
	"math"
	"time"
)

// maxTarget bounds Config.Target.
const maxTarget = time.Minute

// ConfigError reports a setting that is out of range.
type ConfigError struct {
	Field    string // the field of Config
	Got      time.Duration
	Expected string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("overload: %s is %v, want %s", e.Field, e.Got, e.Expected)
}

// Config holds the settings of a Controller.
type Config struct {
	// Target is the longest queue time of a request that is accepted during overload. 0: no
	// request is rejected.
	Target time.Duration
	// Interval is for how long all queue times must be at Target or above until the flow counts as
	// overloaded, and below it until it no longer does. It is Target or more.
	Interval time.Duration
	// RetryAfter and MaxRetryAfter bound the time after which rejected clients may retry.
	RetryAfter, MaxRetryAfter time.Duration
}

func (c Config) check() error {
	switch {
	case c.Target < 0 || c.Target > maxTarget:
		return &ConfigError{Field: "Target", Got: c.Target, Expected: "0 to 1m"}
	case c.Target == 0:
		return nil
	case c.Interval < c.Target:
		return &ConfigError{Field: "Interval", Got: c.Interval, Expected: fmt.Sprintf("Target, %v, or more", c.Target)}
	case c.RetryAfter <= 0:
		return &ConfigError{Field: "RetryAfter", Got: c.RetryAfter, Expected: "more than 0s"}
	case c.MaxRetryAfter < c.RetryAfter:
		return &ConfigError{
			Field:    "MaxRetryAfter",
			Got:      c.MaxRetryAfter,
			Expected: fmt.Sprintf("RetryAfter, %v, or more", c.RetryAfter),
		}
	}
	return nil
}

// Controller decides which requests of one flow on one loop are rejected before any work is
// done for them. It guards against a standing queue: where more requests arrive than the flow's
// share of the loop can serve, each waits until its client has timed out, and the work on it
// is wasted. Under fair sharing a flow's requests wait long only when the flow itself exceeds its
// share, so its own queue times are a sufficient signal.
//
// Detection follows controlled delay (Nichols and Jacobson, "Controlling Queue Delay", 2012): a
// queue is standing when no queue time was below the target for an interval. While it
// is, requests that waited for the target or longer are rejected and the others served, as in
// Maurer, "Fail at Scale" (2015): the queue shrinks as fast as rejections are cheap, and
// the loop always has work.
//
// A burst longer than the interval is rejected in part even if all of its clients would have
// waited for it. The retry time grows while many requests are rejected, so that rejections remain a
// small part of the flow's cost.
//
// It is not safe for concurrent use.
type Controller struct {
	cfg        Config
	overloaded bool
	steadyAt   time.Duration // the last time a queue time agreed with overloaded
	lastSeen   time.Duration // time of the last request

	countingSince time.Duration // start of the interval that accepted and rejected refer to
	accepted      int
	rejected      int
	retryAfter    time.Duration // mean of the times that are returned
	draws         uint64        // number of times returned
}

// New returns a controller for one flow. The error is a *ConfigError.
func New(c Config) (*Controller, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return &Controller{cfg: c, retryAfter: c.RetryAfter}, nil
}

// Overloaded reports whether the flow is overloaded.
func (c *Controller) Overloaded() bool { return c.overloaded }

// ShouldReject reports whether a request that has waited for queueTime and is about to be served is
// to be rejected, and after which time its client may retry.
func (c *Controller) ShouldReject(now, queueTime time.Duration) (retryAfter time.Duration, reject bool) {
	if c.cfg.Target == 0 {
		return 0, false
	}
	c.observe(now, queueTime)
	reject = c.overloaded && queueTime >= c.cfg.Target
	c.count(now, reject)
	if !reject {
		return 0, false
	}
	return c.jitteredRetryAfter(), true
}

// observe updates the overload state with the queue time of a request.
func (c *Controller) observe(now, queueTime time.Duration) {
	long := queueTime >= c.cfg.Target
	if now-c.lastSeen > c.cfg.Interval { // no requests for an interval: no queue is standing
		c.overloaded = false
		c.steadyAt = now
	}
	c.lastSeen = now
	if long == c.overloaded {
		c.steadyAt = now
		return
	}
	if now-c.steadyAt >= c.cfg.Interval {
		c.overloaded = long
		c.steadyAt = now
	}
}

// The retry time is doubled when more than one request in an interval was rejected per
// doubleAbove accepted ones, and halved when fewer than one was per halveBelow.
const (
	doubleAbove = 4
	halveBelow  = 16
)

// count adds a request to the current interval. At the interval's end it adjusts the retry time.
func (c *Controller) count(now time.Duration, rejected bool) {
	if elapsed := now - c.countingSince; elapsed >= c.cfg.Interval {
		c.adjustRetryAfter(elapsed)
		c.countingSince = now
		c.accepted = 0
		c.rejected = 0
	}
	if rejected {
		c.rejected++
	} else {
		c.accepted++
	}
}

func (c *Controller) adjustRetryAfter(elapsed time.Duration) {
	switch {
	case elapsed >= 2*c.cfg.Interval+c.retryAfter: // rejected clients would have been back
		c.retryAfter = c.cfg.RetryAfter
	case c.rejected > c.accepted/doubleAbove:
		c.retryAfter = min(c.retryAfter*2, c.cfg.MaxRetryAfter)
	case c.rejected < c.accepted/halveBelow:
		c.retryAfter = max(c.retryAfter/2, c.cfg.RetryAfter)
	}
}

// drawCycle is after how many draws the sequence of jitteredRetryAfter repeats.
const drawCycle = 1 << 20

// jitteredRetryAfter returns a time from half to one and a half of the current retry time, so that
// clients rejected together do not retry together. Multiples of the golden ratio cover the
// range evenly from the first draw on.
func (c *Controller) jitteredRetryAfter() time.Duration {
	c.draws++
	_, frac := math.Modf(float64(c.draws%drawCycle) * math.Phi)
	return min(time.Duration((0.5+frac)*float64(c.retryAfter)), c.cfg.MaxRetryAfter)
}
