package gateway

import (
	"chalkstand/forwarder"
	"math/rand/v2"
	"sync"
	"time"
)

// core owns the forwarder, and through it the dispatcher. Loops hand events to it
// under a lock, which is held for a few microseconds (docs/design/running-gateway.md has the
// measurement beside a goroutine of its own); actions go to the loop that owns the
// connection, in the order in which they were decided.
type core struct {
	mu        sync.Mutex
	forwarder *forwarder.Forwarder
	start     time.Time
	workers   []*loopWorker
	timer     *time.Timer
	done      chan struct{}
	stopOnce  sync.Once
	nonce     string // begins the keys of writes: no other process's are the same
}

func newCore(x *forwarder.Forwarder) *core {
	c := &core{
		forwarder: x, start: time.Now(), timer: time.NewTimer(time.Hour), done: make(chan struct{}),
		nonce: requestID(rand.Uint64()),
	}
	c.timer.Stop()
	return c
}

func (c *core) now() time.Duration { return time.Since(c.start) }

// run fires the forwarder's timer until stop.
func (c *core) run() {
	for {
		select {
		case <-c.done:
			return
		case <-c.timer.C:
			c.handle(nil, forwarder.TimerFired{})
		}
	}
}

func (c *core) stop() { c.stopOnce.Do(func() { close(c.done) }) }

// handle hands an event over and has the actions followed: those of the lane on
// which the caller runs before it returns, those of others soon. from is nil off
// the loops.
func (c *core) handle(from *loopWorker, ev forwarder.Event) {
	c.mu.Lock()
	for _, a := range c.forwarder.Handle(c.now(), ev) {
		c.queueAction(a)
	}
	for _, l := range c.workers {
		if l != from && len(l.actions) > 0 && !l.wakePosted {
			l.wakePosted = true
			l.loop.Post(l.applyActions)
		}
	}
	c.mu.Unlock()
	if from != nil {
		from.applyActions()
	}
}

// queueAction puts an action into its lane's queue.
func (c *core) queueAction(a forwarder.Action) {
	lane, ok := a.OnLoop()
	if !ok {
		if t, timer := a.(forwarder.SetTimer); timer {
			c.timer.Reset(max(t.At-c.now(), 0))
		}
		return // lists are told here, not asked for
	}
	l := c.workers[lane]
	l.actions = append(l.actions, a)
}
