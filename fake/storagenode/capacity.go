package storagenode

import (
	"time"

	"chalkstand/internal/objectapi"
)

// recentLoad is a request that arrived at a node that has just started.
type recentLoad struct {
	at    time.Time
	units float64
}

// checkOverload stops a node that has just started if it receives too much. It is called with mu
// held.
func (n *Node) checkOverload(now time.Time, units float64) {
	c := n.cfg
	age := now.Sub(n.started)
	if c.OverloadFactor <= 0 || c.PerUnit <= 0 || age > c.WarmUp+c.OverloadWindow {
		return
	}
	n.recentLoads = append(n.recentLoads, recentLoad{at: now, units: units})
	sum := 0.0
	for len(n.recentLoads) > 0 && now.Sub(n.recentLoads[0].at) > c.OverloadWindow {
		n.recentLoads = n.recentLoads[1:]
	}
	for _, l := range n.recentLoads {
		sum += l.units
	}
	capacity := n.speed(now) * float64(max(c.Cores, 1)) * c.OverloadWindow.Seconds() / c.PerUnit.Seconds()
	if sum > max(c.OverloadFactor*capacity, c.InitialUnits) && !n.overloaded {
		n.overloaded = true
		go n.shutdown() // mu is held
	}
}

// speed returns the speed of a core, by the node's age.
func (n *Node) speed(now time.Time) float64 {
	c := n.cfg
	if c.InitialSpeed <= 0 || c.WarmUp <= 0 {
		return c.Speed
	}
	warm := min(1, now.Sub(n.started).Seconds()/c.WarmUp.Seconds())
	return c.Speed * (c.InitialSpeed + (1-c.InitialSpeed)*warm)
}

// work waits for a core and uses it as long as the request takes. It returns false if the queue is
// full or the node stops.
func (n *Node) work(op objectapi.Operation, e *LogEntry, f *activeFault) bool {
	if n.cfg.PerUnit <= 0 && n.cores == nil {
		return true
	}
	if !n.enqueue() {
		return false
	}
	defer n.dequeue()
	queuedAt := time.Now()
	if n.cores != nil {
		select {
		case n.cores <- struct{}{}:
		case <-n.ctx.Done():
			return false
		}
		defer func() { <-n.cores }()
	}
	startedAt, serviceTime := n.serviceTime(op, e.Units, f)
	ok := n.sleep(serviceTime)
	endedAt := time.Now()
	n.update(e, func(x *LogEntry) {
		x.QueueTime = startedAt.Sub(queuedAt)
		x.ServiceTime = endedAt.Sub(startedAt)
	})
	return ok
}

// enqueue counts a request in, and returns false if the queue is full.
func (n *Node) enqueue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cores != nil && n.waiting >= n.cfg.Cores+n.cfg.Queue {
		return false
	}
	n.waiting++
	return true
}

func (n *Node) dequeue() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting--
}

// serviceTime returns the time at which a request's service starts and how long it takes, a pause
// included. Of a write it puts off the deferred share.
func (n *Node) serviceTime(op objectapi.Operation, units float64, f *activeFault) (time.Time, time.Duration) {
	units = max(units, 1)
	n.mu.Lock()
	now := time.Now()
	pause := n.pausedUntil.Sub(now)
	d := time.Duration(units * float64(n.cfg.PerUnit) / n.speed(now))
	if op.Kind.Writes() && n.cfg.Deferred > 0 {
		deferred := time.Duration(n.cfg.Deferred * float64(d))
		n.deferredWork += deferred
		d -= deferred
	}
	n.mu.Unlock()
	if f.kind() == Slow {
		d = time.Duration(float64(d) * f.Factor)
	}
	return now, max(pause, 0) + d
}

// runDeferredWork does the work that was put off, with all cores, until the node stops.
func (n *Node) runDeferredWork() {
	for n.sleep(n.cfg.DeferEvery) {
		n.mu.Lock()
		d := n.deferredWork / time.Duration(max(n.cfg.Cores, 1))
		n.deferredWork = 0
		n.pausedUntil = time.Now().Add(d)
		n.mu.Unlock()
	}
}
