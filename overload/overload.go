// Package overload detects a standing queue of requests in front of an event loop, and rejects
// requests that have waited too long. It is based on controlled delay (CoDel). It does no I/O
// and reads no clock.
package overload

import (
	"fmt"
	"math"
	"time"
)

// maxTarget is the largest valid Config.Target.
const maxTarget = time.Minute

// ConfigError reports a setting that is out of range.
type ConfigError struct {
	Field    string // name of the field in Config
	Got      time.Duration
	Expected string // description of the valid values
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("overload: %s is %v, but must be %s", e.Field, e.Got, e.Expected)
}

// Config holds the settings of a Controller.
type Config struct {
	// Target is the queue time from which a request is rejected during overload. 0 means that
	// no request is rejected.
	Target time.Duration
	// Interval is how long all queue times must be at or above Target before the flow counts
	// as overloaded. It is also how long they must all be below Target before the overload
	// ends. Interval must be at least Target.
	Interval time.Duration
	// RetryAfter is the initial and smallest mean of the retry times that rejected clients
	// get. MaxRetryAfter is the largest retry time.
	RetryAfter, MaxRetryAfter time.Duration
}

// check returns a *ConfigError for the first field that is out of range.
func (c Config) check() error {
	switch {
	case c.Target < 0 || c.Target > maxTarget:
		return &ConfigError{Field: "Target", Got: c.Target, Expected: "from 0 to 1m"}
	case c.Target == 0:
		return nil
	case c.Interval < c.Target:
		return &ConfigError{Field: "Interval", Got: c.Interval, Expected: fmt.Sprintf("at least Target (%v)", c.Target)}
	case c.RetryAfter <= 0:
		return &ConfigError{Field: "RetryAfter", Got: c.RetryAfter, Expected: "more than 0s"}
	case c.MaxRetryAfter < c.RetryAfter:
		return &ConfigError{
			Field:    "MaxRetryAfter",
			Got:      c.MaxRetryAfter,
			Expected: fmt.Sprintf("at least RetryAfter (%v)", c.RetryAfter),
		}
	}
	return nil
}

// Controller decides which requests of one flow on one loop are rejected before any work is
// done for them. It prevents a standing queue. If more requests arrive than the flow's share of
// the loop can serve, each request waits until its client has timed out, and the work on it is
// wasted. Under fair sharing, a flow's requests wait long only if the flow itself exceeds its
// share. The flow's own queue times are therefore a sufficient signal.
//
// A Detector observes the queue times. During overload, the Controller rejects requests that waited for the target or longer, and accepts
// the others, as in Maurer, "Fail at Scale" (2015). The queue then shrinks quickly, because
// rejections are cheap, and the loop always has work.
//
// The Controller rejects a part of each burst that is longer than the interval, even if all
// clients would have waited. The retry time grows while many requests are rejected, so that
// rejections remain a small part of the flow's cost.
//
// A Controller is not safe for concurrent use.
type Controller struct {
	cfg      Config
	detector Detector

	countingSince time.Duration // start of the interval in which accepted and rejected are counted
	accepted      int
	rejected      int
	retryAfter    time.Duration // mean of the retry times that ShouldReject returns
	draws         uint64        // number of retry times that ShouldReject has returned
}

// New returns a Controller for one flow. If a setting is invalid, the error is a *ConfigError.
func New(c Config) (*Controller, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	return &Controller{cfg: c, retryAfter: c.RetryAfter}, nil
}

// Overloaded reports whether the flow counts as overloaded.
func (c *Controller) Overloaded() bool { return c.detector.Standing() }

// ShouldReject reports whether the caller must reject a request that is about to be served
// after it has waited for queueTime. If so, it also returns the time after which the client may
// retry.
func (c *Controller) ShouldReject(now, queueTime time.Duration) (retryAfter time.Duration, reject bool) {
	if c.cfg.Target == 0 {
		return 0, false
	}
	c.detector.ResetIfIdle(now, c.cfg.Interval)
	c.detector.Observe(now, queueTime, c.cfg.Target, c.cfg.Interval)
	reject = c.Overloaded() && queueTime >= c.cfg.Target
	c.count(now, reject)
	if !reject {
		return 0, false
	}
	return c.jitteredRetryAfter(), true
}

// The Controller doubles the retry time if more than one request was rejected for every
// doubleAbove accepted requests of an interval. It halves the retry time if fewer than one
// request was rejected for every halveBelow accepted requests.
const (
	doubleAbove = 4
	halveBelow  = 16
)

// count adds a request to the counts of the current interval. If the interval has ended, count
// first adjusts the retry time and starts a new interval.
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

// adjustRetryAfter doubles, halves or resets the retry time, based on the counts of an interval
// that lasted for the given time.
func (c *Controller) adjustRetryAfter(elapsed time.Duration) {
	switch {
	case elapsed >= 2*c.cfg.Interval+c.retryAfter: // long enough for rejected clients to have retried
		c.retryAfter = c.cfg.RetryAfter
	case c.rejected > c.accepted/doubleAbove:
		c.retryAfter = min(c.retryAfter*2, c.cfg.MaxRetryAfter)
	case c.rejected < c.accepted/halveBelow:
		c.retryAfter = max(c.retryAfter/2, c.cfg.RetryAfter)
	}
}

// drawCycle is the number of draws after which the jitter sequence repeats.
const drawCycle = 1 << 20

// jitteredRetryAfter returns a time between 0.5 and 1.5 times the current retry time, so that
// clients that are rejected together do not retry together. The fractional parts of the
// multiples of the golden ratio cover the range evenly from the first draw on.
func (c *Controller) jitteredRetryAfter() time.Duration {
	c.draws++
	_, frac := math.Modf(float64(c.draws%drawCycle) * math.Phi)
	return min(time.Duration((0.5+frac)*float64(c.retryAfter)), c.cfg.MaxRetryAfter)
}
