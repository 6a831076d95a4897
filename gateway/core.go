package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"chalkstand/forwarder"
)

// core owns the forwarder, which in turn owns the dispatcher. Workers pass events to the core under
// a lock that is held for a few microseconds (docs/design/http-gateway.md compares the lock with a
// goroutine). The core queues each resulting action for the worker that owns the connection, in the
// order in which the forwarder returned them.
type core struct {
	mu        sync.Mutex // guards forwarder, and the fields actions and wakePosted of each worker
	forwarder *forwarder.Forwarder
	workers   []*loopWorker
	timer     *time.Timer
	start     time.Time
	done      chan struct{} // stop closes it when the gateway is closed
	stopOnce  sync.Once
	nonce     string // prefix of the idempotency keys; it is unique to this run of the gateway
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

// handle passes an event to the forwarder. The parameter from is the worker on whose loop the
// caller runs, or nil if the caller runs on no loop. Before handle returns, it applies the actions
// of that worker. It also wakes the other workers that have actions to apply.
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

// queueAction appends an action to the queue of its worker, or sets the timer. It drops the
// forwarder's requests to poll or watch a discovery service, because callers push endpoint lists
// with UpdateEndpoints.
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
