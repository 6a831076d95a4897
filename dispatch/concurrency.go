// Concurrency: how many requests may be in flight at one node, D of C-SFQ(D). Little's law gives
// the limit; congestion and ejection lower it. Owns node.completions, which
// recordResult updates; reads the estimates of latency.go, loss.go and outlier.go.

package dispatch

import (
	"math"
	"time"
)

const (
	minConcurrency = 4
	maxConcurrency = 32

	// completionWindow is the time over which a node's completions are averaged.
	completionWindow = 3 * time.Second

	// congestionThresholdFactor times the tightest objective is the delay from which a node
	// counts as congested.
	congestionThresholdFactor = 0.3
)

// concurrencyLimit returns how many requests may be in flight at n, at least 1.
func (d *Dispatcher) concurrencyLimit(n *node) int {
	if d.now < n.ejectedUntil || n.consecutiveFailures >= ejectionThreshold {
		return 1
	}
	// Little's law: the completions within the tightest objective.
	completions := math.Ceil(n.completions.rate(d.now, completionWindow) * d.tightestObjective.Seconds())
	limit := min(max(float64(d.concurrencyFloor(n)), completions), maxConcurrency)
	// The delay shows congestion whichever dispatcher causes it.
	if delay, threshold := d.expectedDelay(n).Seconds(), d.congestionThreshold(); delay > threshold {
		limit = max(1, limit*threshold/delay)
	}
	return int(limit)
}

// concurrencyFloor returns the lowest limit at a node without congestion. The floors of all
// dispatchers together stay near maxConcurrency; where responses are lost each keeps
// minConcurrency, as a request in flight may hold a place that the node has free.
func (d *Dispatcher) concurrencyFloor(n *node) int {
	if d.lossRate >= lossRateThreshold {
		return minConcurrency
	}
	share := max(1, maxConcurrency/d.cfg.DispatcherCount)
	return min(minConcurrency, share+min(n.uncongestedResponses/2, 1))
}

// congestionThreshold returns the delay, in seconds, from which a node counts as congested.
func (d *Dispatcher) congestionThreshold() float64 {
	return congestionThresholdFactor * d.tightestObjective.Seconds()
}
