package eventloop

import (
	"time"

	"chalkstand/fairshare"
)

// syncInterval is how often a loop exchanges the flows' usage with the other loops.
const syncInterval = time.Millisecond

// Flow is a volume's flow on a loop, to which time slices are charged.
type Flow = fairshare.Flow[*Conn]

// Flow returns the flow of a name, and makes it if there is none. usage, which may be nil, joins
// it with the flows of other loops. On the loop only, as all that concerns flows.
func (l *Loop) Flow(name string, cfg fairshare.FlowConfig, usage *fairshare.SharedUsage) *Flow {
	return l.scheduler.Flow(l.clock(), name, cfg, usage)
}

// Flows calls f for every flow.
func (l *Loop) Flows(f func(*Flow)) { l.scheduler.Flows(f) }

// Delay returns how long the rate limit of a flow delays what comes now, where each item that
// waits before it takes so many bytes.
func (l *Loop) Delay(f *Flow, bytesEach int) time.Duration {
	return l.scheduler.Delay(l.clock(), f, bytesEach)
}

// schedule queues a connection for a time slice, if it has something to do.
func (l *Loop) schedule(c *Conn) {
	if c.queued || !c.runnable() {
		return
	}
	c.queued = true
	c.queuedAt = l.now
	if c.starting {
		l.scheduler.PushNew(l.now, c.flow, c)
	} else {
		l.scheduler.Push(l.now, c.flow, c)
	}
}

// runnable reports whether a time slice would make progress.
func (c *Conn) runnable() bool {
	switch {
	case c.connecting:
		return c.fd >= 0 && c.writable
	case c.task != nil:
		return true
	case c.fd < 0:
		return false
	case c.writable && c.Pending() > 0:
		return true
	}
	return !c.paused && (c.readable || c.redeliver && len(c.input) > 0)
}

// runSlices gives time slices to connections until Options.Slice has passed or none is left.
func (l *Loop) runSlices() {
	for began := l.now; l.now-began < l.options.PollInterval; {
		c, f, ok := l.scheduler.Next(l.now)
		if !ok {
			break
		}
		limitedUntil, _ := f.RateLimitedUntil()
		c.queued = false
		c.sliceWait = l.now - c.queuedAt
		c.rateLimitWait = min(max(limitedUntil-c.queuedAt, 0), c.sliceWait)
		bytes := c.runSlice()
		l.runDeferred()
		before := l.now
		l.now = l.clock()
		l.scheduler.Done(l.now, f, fairshare.Cost{Work: l.now - before, Bytes: bytes})
		l.history.add(f, before, l.now)
		l.schedule(c)
	}
	l.syncUsage(syncInterval)
}

// runSlice does what a connection has to do, within the loop's quantum, and returns how many
// bytes were read.
func (c *Conn) runSlice() int {
	switch {
	case c.task != nil:
		c.resumeTask()
		return 0
	case c.fd < 0:
		return 0
	case c.accept != nil:
		c.acceptPending()
		return 0
	case c.connecting:
		c.finishConnect()
		return 0
	}
	c.writable = false
	if c.Pending() > 0 && !c.flush() {
		return 0
	}
	if c.redeliver && !c.paused {
		c.redeliver = false
		if len(c.input) > 0 {
			c.deliver(nil)
		}
	}
	return c.read(c.loop.options.Quantum)
}

// syncUsage exchanges the flows' usage with the other loops, at most once per interval.
func (l *Loop) syncUsage(interval time.Duration) {
	if l.now-l.lastSync >= interval {
		l.lastSync = l.now
		l.scheduler.Sync(l.now)
	}
}
