package storagenode

import (
	"time"

	"chalkstand/internal/objectapi"
)

// recentLoad records the arrival time and the cost of a request during a node's warm-up.
type recentLoad struct {
	at    time.Time
	units float64
}

// checkOverload stops the node if the requests of the last OverloadWindow exceed the limits that Config sets for a
// warm-up. It does nothing once the node's age exceeds WarmUp by more than OverloadWindow. The caller must hold mu.
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
		go n.shutdown() // in a goroutine, because the caller holds mu
	}
}

// speed returns the speed of a core at the given time. It rises linearly during the warm-up.
func (n *Node) speed(now time.Time) float64 {
	c := n.cfg
	if c.InitialSpeed <= 0 || c.WarmUp <= 0 {
		return c.Speed
	}
	progress := min(1, now.Sub(n.started).Seconds()/c.WarmUp.Seconds())
	return c.Speed * (c.InitialSpeed + (1-c.InitialSpeed)*progress)
}

// simulateWork waits for a free core and occupies it for the request's service time. It returns false if the
// queue is full or the node stops.
func (n *Node) simulateWork(op objectapi.Operation, e *LogEntry, f *activeFault) bool {
	if n.cfg.PerUnit <= 0 && n.cores == nil {
		return true
	}
	if !n.admit() {
		return false
	}
	defer n.release()
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

// admit counts a request that will wait for a core or occupy one. It returns false if the queue is full.
func (n *Node) admit() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cores != nil && n.admitted >= n.cfg.Cores+n.cfg.Queue {
		return false
	}
	n.admitted++
	return true
}

func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.admitted--
}

// serviceTime returns the start of a request's service and its duration, which includes the rest of a
// running pause. It adds the deferred share of a write to the deferred work, not to the duration.
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

// runDeferredWork runs until the node stops. Every DeferEvery it pauses the node for as long as all
// cores together need for the deferred work.
func (n *Node) runDeferredWork() {
	for n.sleep(n.cfg.DeferEvery) {
		n.mu.Lock()
		d := n.deferredWork / time.Duration(max(n.cfg.Cores, 1))
		n.deferredWork = 0
		n.pausedUntil = time.Now().Add(d)
		n.mu.Unlock()
	}
}
