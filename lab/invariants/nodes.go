package invariants

import (
	"slices"
	"time"

	"chalkstand/fake/storagenode"
)

// checkDrains checks that no request of a gateway arrives at a draining node later than DrainGrace
// after the gateway's first drain notice for this node.
func (c *checker) checkDrains() {
	type gatewayNode struct{ gateway, node string }
	notified := map[gatewayNode]time.Duration{}
	for _, notice := range c.log.DrainNotices {
		key := gatewayNode{notice.Gateway, notice.Node}
		if at, ok := notified[key]; !ok || notice.At < at {
			notified[key] = notice.At
		}
	}
	for _, e := range c.log.Entries {
		at, ok := notified[gatewayNode{e.Gateway, e.Node}]
		if ok && e.Arrived > at+c.params.DrainGrace+c.params.LogTolerance {
			c.report(DrainsRespected, e.Arrived, []string{e.Tag}, "%s sent %s to %s %v after its first drain notice",
				e.Gateway, e.Tag, e.Node, e.Arrived-at)
		}
	}
}

// checkKeyOrder checks that the ordered requests that one gateway sends for a key run one at a time.
// After a canceled attempt, which may still be running at its node, the key must also pause for the duration
// Quiescence.
func (c *checker) checkKeyOrder() {
	type gatewayKey struct{ gateway, key string }
	last := map[gatewayKey]storagenode.LogEntry{}
	for _, e := range c.log.Entries {
		r := c.requests[e.Tag]
		if r == nil || !c.params.Classes[r.Class].Ordered {
			continue
		}
		key := gatewayKey{e.Gateway, r.Key}
		if previous, ok := last[key]; ok && previous.Tag != e.Tag {
			earliest := c.attemptEnd(previous)
			if canceled(previous) {
				earliest += c.params.Quiescence
			}
			if e.Arrived < earliest-c.params.LogTolerance {
				c.report(KeyOrder, e.Arrived, []string{previous.Tag, e.Tag}, "%s arrived at %s %v too early after %s, which has the same key",
					e.Tag, e.Node, earliest-e.Arrived, previous.Tag)
			}
		}
		last[key] = e
	}
}

// checkRetryBudget checks that each gateway instance stays within its retry budget in every window of length
// BudgetWindow.
func (c *checker) checkRetryBudget() {
	if c.params.BudgetWindow == 0 {
		return
	}
	requests := map[string][]time.Duration{}
	for _, r := range c.log.Requests {
		requests[r.Gateway] = append(requests[r.Gateway], r.Sent)
	}
	retries := map[string][]time.Duration{}
	for _, e := range c.log.Entries {
		if e.Attempt > 0 {
			retries[e.Gateway] = append(retries[e.Gateway], e.Arrived)
		}
	}
	for gateway, times := range retries {
		slices.Sort(requests[gateway])
		c.checkRetryWindows(gateway, requests[gateway], times)
	}
}

// checkRetryWindows checks the windows of one gateway that end with a retry. The times in requests
// and retries must be sorted.
func (c *checker) checkRetryWindows(gateway string, requests, retries []time.Duration) {
	window, tolerance := c.params.BudgetWindow, c.params.LogTolerance
	first := 0
	for i, at := range retries {
		for at-retries[first] > window-tolerance {
			first++
		}
		from, _ := slices.BinarySearch(requests, at-window-tolerance)
		to, _ := slices.BinarySearch(requests, at+tolerance)
		count := float64(i - first + 1)
		allowed := c.params.BudgetMinRetries + c.params.BudgetRatio*float64(to-from)
		if count > allowed {
			c.report(RetryBudget, at, nil, "%s sent %.0f retries within %v, %.1f are allowed", gateway, count, window, allowed)
		}
	}
}

// limitTolerance is the allowed rounding error of a token bucket's level, in cost units.
const limitTolerance = 1e-6

// checkRateLimits checks the requests that all gateways together send for a volume against a
// token bucket that fills at the volume's rate limit. Retries do not count.
func (c *checker) checkRateLimits() {
	type bucket struct {
		level float64       // tokens left, in cost units
		at    time.Duration // when level was calculated
	}
	buckets := map[string]*bucket{}
	type gatewayRequest struct {
		gateway string
		id      uint64
	}
	counted := map[gatewayRequest]bool{}
	for _, e := range c.log.Entries {
		limit, limited := c.params.Limits[e.Volume]
		request := gatewayRequest{e.Gateway, e.Request}
		if !limited || counted[request] {
			continue
		}
		counted[request] = true
		b := buckets[e.Volume]
		if b == nil {
			b = &bucket{level: limit.Capacity, at: e.Arrived}
			buckets[e.Volume] = b
		}
		b.level = min(limit.Capacity, b.level+limit.Rate*(e.Arrived-b.at).Seconds()) - e.Units
		b.at = e.Arrived
		if b.level < -limit.Rate*c.params.LogTolerance.Seconds()-limitTolerance {
			c.report(RateLimits, e.Arrived, []string{e.Tag}, "volume %s exceeds its rate limit by %.2f units", e.Volume, -b.level)
		}
	}
}
