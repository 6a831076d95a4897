package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"chalkstand/forwarder"
)

// core owns the forwarder, and through it the dispatcher. Workers pass events to it under a lock,
// which is held for a few microseconds (docs/design/http-gateway.md compares it with a goroutine);
// actions go to the worker that owns the connection, in the order in which they were decided.
type core struct {
	mu        sync.Mutex // guards forwarder, and actions and wakePosted of each worker
	forwarder *forwarder.Forwarder
	workers   []*loopWorker
	timer     *time.Timer
	start     time.Time
	done      chan struct{} // closed by stop
	stopOnce  sync.Once
	nonce     string // prefix of the idempotency keys, unique to this run
}

func newCore(f *forwarder.Forwarder) *core {
	c := &core{
		forwarder: f,
		start:     time.Now(),
		timer:     time.NewTimer(time.Hour),
		done:      make(chan struct{}),
		nonce:     requestID(rand.Uint64()),
	}
	c.timer.Stop()
	return c
}

// now returns the time since the core was built.
func (c *core) now() time.Duration { return time.Since(c.start) }

// run fires the forwarder's timer until stop is called.
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

// handle passes an event to the forwarder. Actions of the worker from, on whose loop the caller runs, are
// applied before it returns, and those of other workers soon after. from is nil off the loops.
func (c *core) handle(from *loopWorker, ev forwarder.Event) {
	c.mu.Lock()
	for _, a := range c.forwarder.Handle(c.now(), ev) {
		c.queueAction(a)
	}
	for _, w := range c.workers {
		if w != from && len(w.actions) > 0 && !w.wakePosted {
			w.wakePosted = true
			w.loop.Post(w.applyActions)
		}
	}
	c.mu.Unlock()
	if from != nil {
		from.applyActions()
	}
}

// queueAction appends an action to its worker's queue, or sets the timer. Requests for a discovery poll or
// watch are dropped: here endpoint lists are pushed by UpdateEndpoints.
func (c *core) queueAction(a forwarder.Action) {
	loop, ok := a.OnLoop()
	if !ok {
		if t, timer := a.(forwarder.SetTimer); timer {
			c.timer.Reset(max(t.At-c.now(), 0))
		}
		return
	}
	w := c.workers[loop]
	w.actions = append(w.actions, a)
}
