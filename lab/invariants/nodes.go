package invariants

import (
	"slices"
	"time"

	"chalkstand/fake/storagenode"
)

// checkDrains checks that a gateway sends nothing to a node once the grace period after its first
// drain notice is over.
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
			c.report(DrainsRespected, e.Arrived, []string{e.Tag}, "%s sent %s to %s %v after its drain notice",
				e.Gateway, e.Tag, e.Node, e.Arrived-at)
		}
	}
}

// checkKeyOrder checks that ordered requests of one key through one gateway run one at a time, with
// a quiescence period after an attempt that may still be running.
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
			free := c.endOf(previous)
			if canceled(previous) {
				free += c.params.Quiescence
			}
			if e.Arrived < free-c.params.LogTolerance {
				c.report(KeyOrder, e.Arrived, []string{previous.Tag, e.Tag}, "%s reached %s %v before %s, of the same key, was over",
					e.Tag, e.Node, free-e.Arrived, previous.Tag)
			}
		}
		last[key] = e
	}
}

// checkRetryBudget checks the retries of each gateway instance in every window.
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

// checkRetryWindows checks each window that ends with a retry. Both lists are sorted.
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
		allowed := c.params.BudgetFree + c.params.BudgetRatio*float64(to-from)
		if count > allowed {
			c.report(RetryBudget, at, nil, "%s: %.0f retries within %v, %.1f allowed", gateway, count, window, allowed)
		}
	}
}

// limitTolerance is the rounding error allowed in a token bucket, in units.
const limitTolerance = 1e-6

// checkRateLimits checks the first attempts that all gateways send for a volume against a
// token bucket that fills at the limit's rate.
func (c *checker) checkRateLimits() {
	type bucket struct {
		level float64 // units
		at    time.Duration
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
			c.report(RateLimits, e.Arrived, []string{e.Tag}, "%s: %.2f units beyond its limit", e.Volume, -b.level)
		}
	}
}
