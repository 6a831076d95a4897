// This file decides how many requests may be in flight at one node. This limit is the D of
// C-SFQ(D). Little's law gives the limit, and congestion and ejection lower it. A node counts as
// congested if its delay exceeds the target of a standing queue. The file owns
// node.completions, which recordResult updates. It reads the estimates of latency.go, loss.go
// and outlier.go.

package dispatch

import (
	"math"
	"time"
)

const (
	// The concurrency limit of a node without congestion is at most maxConcurrency. It is at
	// least minConcurrency, unless there are too many dispatchers for that.
	minConcurrency = 4
	maxConcurrency = 32

	// completionWindow is the time over which the rate of completions at a node is averaged.
	completionWindow = 3 * time.Second
)

// concurrencyLimit returns how many requests of this dispatcher may be in flight at n. The
// limit is at least 1.
func (d *Dispatcher) concurrencyLimit(n *node) int {
	if d.now < n.ejectedUntil || n.consecutiveFailures >= ejectionThreshold {
		return 1
	}
	// By Little's law, the limit is the number of completions within the tightest latency
	// objective.
	completions := math.Ceil(n.completions.rate(d.now, completionWindow) * d.tightestObjective.Seconds())
	limit := min(max(float64(d.concurrencyFloor(n)), completions), maxConcurrency)
	// A high delay lowers the limit even if other dispatchers cause the congestion.
	if delay, target := d.expectedDelay(n), d.delayTarget(); delay > target {
		limit = max(1, limit*float64(target)/float64(delay))
	}
	return int(limit)
}

// concurrencyFloor returns the lowest concurrency limit at a node without congestion. The
// floors of all dispatchers together stay near maxConcurrency. If responses are being lost,
// each dispatcher keeps minConcurrency, because a request whose response was lost counts as in
// flight although the node no longer works on it.
func (d *Dispatcher) concurrencyFloor(n *node) int {
	if d.lossRate >= lossRateThreshold {
		return minConcurrency
	}
	share := max(1, maxConcurrency/d.cfg.DispatcherCount)
	return min(minConcurrency, share+min(n.uncongestedResponses/2, 1))
}
