package eventloop

import (
	"time"

	"chalkstand/fairshare"
)

// syncInterval is the time between two exchanges of the flows' usage with the other loops.
const syncInterval = time.Millisecond

// Flow is a flow on a loop, such as that of a volume. The loop charges time slices to flows.
type Flow = fairshare.Flow[*Conn]

// Flow returns the flow with the given name and creates it if it does not exist. usage, which may be
// nil, connects the flow with the flows of other loops. All functions for flows must be called on the
// loop.
func (l *Loop) Flow(name string, cfg fairshare.FlowConfig, usage *fairshare.SharedUsage) *Flow {
	return l.scheduler.Flow(l.clock(), name, cfg, usage)
}

// Flows calls f for every flow of the loop.
func (l *Loop) Flows(f func(*Flow)) { l.scheduler.Flows(f) }

// Delay returns how long the rate limit of a flow delays an item that arrives now. It assumes that
// each item that already waits in the flow uses bytesEach bytes.
func (l *Loop) Delay(f *Flow, bytesEach int) time.Duration {
	return l.scheduler.Delay(l.clock(), f, bytesEach)
}

// schedule queues a connection for a time slice if the connection has work to do.
func (l *Loop) schedule(c *Conn) {
	if c.queued || !c.runnable() {
		return
	}
	c.queued = true
	c.queuedAt = l.now
	if c.newWork {
		l.scheduler.PushNew(l.now, c.flow, c)
	} else {
		l.scheduler.Push(l.now, c.flow, c)
	}
}

// runnable reports whether the connection would make progress in a time slice.
func (c *Conn) runnable() bool {
	switch {
	case c.connecting:
		return c.fd >= 0 && c.writable
	case c.task != nil:
		return true
	case c.fd < 0:
		return false
	case c.writable && c.BufferedOutput() > 0:
		return true
	}
	return !c.paused && (c.readable || c.redeliver && len(c.input) > 0)
}

// runSlices gives time slices to connections until Options.PollInterval has passed or no connection
// waits for one.
func (l *Loop) runSlices() {
	for start := l.now; l.now-start < l.options.PollInterval; {
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

// sliceExpired reports whether the current time slice has lasted for the loop's poll interval, so that
// its connection must leave the rest of its input to a later slice.
func (l *Loop) sliceExpired() bool { return l.clock()-l.now >= l.options.PollInterval }

// runSlice does the pending work of a connection within the loop's quantum. It returns the number of
// bytes that it has read.
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
	if c.BufferedOutput() > 0 && !c.flush() {
		return 0
	}
	if c.redeliver && !c.paused {
		c.redeliver = false
		if len(c.input) > 0 {
			c.deliver(nil)
		}
	}
	if c.fd < 0 {
		return 0
	}
	return c.read(c.loop.options.Quantum)
}

// syncUsage exchanges the flows' usage with the other loops if at least interval has passed since the
// last exchange.
func (l *Loop) syncUsage(interval time.Duration) {
	if l.now-l.lastSync >= interval {
		l.lastSync = l.now
		l.scheduler.Sync(l.now)
	}
}
