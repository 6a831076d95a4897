// This file decides which node a request goes to, and whether the request is queued there or
// rejected at once because it cannot be answered in time. It owns no state.

package dispatch

import (
	"math"
	"time"
)

const (
	// A queueing budget is the longest expected delay with which a request is admitted. Both
	// budgets are shares of the tightest latency objective of all classes, because requests
	// with longer objectives must not fill the queue ahead of requests with the tightest one. A
	// request beyond the reserve of its volume gets excessQueueBudget, which leaves room for
	// requests within a reserve.
	reservedQueueBudget = 0.8
	excessQueueBudget   = 0.3

	// basePriorityShare is the share of a queueing budget that every request gets. The
	// remaining share grows with the priority of the request.
	basePriorityShare = 0.5
	minPriority       = 1e-9 // avoids a division by 0 if every priority is 0

	// placementJitter is the largest random increase of the cost by which chooseNode compares
	// nodes, as a share of that cost.
	placementJitter = 0.1
)

// place chooses a node for r and passes r to admit. It rejects r if no node serves its shard.
func (d *Dispatcher) place(r *request) {
	n := d.nodeByShard[r.Shard]
	if r.Shard == AnyShard {
		n = d.chooseNode(r)
	}
	if n == nil {
		d.reject(r, retryAfterUnavailable)
		return
	}
	d.admit(r, n)
}

// chooseNode returns the node that is expected to complete r first, or nil if no node is
// available. It considers every node, so the caller must ensure that r does not need a shard.
func (d *Dispatcher) chooseNode(r *request) *node {
	var best *node
	bestCost := math.Inf(1)
	for _, n := range d.nodeOrder {
		if n.State != Ready || d.now < n.ejectedUntil {
			continue
		}
		latency := (d.expectedDelay(n) + n.serviceTime(r.Units)).Seconds()
		if n.secondsPerUnit == 0 { // a node without any latency sample is not assumed to be idle
			latency += d.congestionThreshold()
		}
		cost := latency * (1 + float64(n.inFlight+n.queuedRequests)/float64(d.concurrencyLimit(n)))
		cost += max(0, (d.slowStartReadyAt(n, 0) - d.now).Seconds())
		cost *= 1 + placementJitter*d.rng.Float64()
		if cost < bestCost {
			best = n
			bestCost = cost
		}
	}
	return best
}

// admit queues r at n. It rejects r instead if the expected delay of r exceeds its queueing
// budget, or if r would miss its latency objective.
func (d *Dispatcher) admit(r *request, n *node) {
	rateLimitDelay, exceedsLimit := d.rateLimitWait(r)
	if exceedsLimit {
		d.reject(r, d.cfg.MaxRetryAfter)
		return
	}
	v := r.volume
	budget := reservedQueueBudget
	unitsAhead := n.queuedUnits
	d.refillReserve(v)
	if v.reserve < v.queuedUnits {
		budget = excessQueueBudget
		unitsAhead += d.cfg.MeanUnits
	}
	budget *= basePriorityShare +
		(1-basePriorityShare)*r.class.PriorityWeight*v.plan.Price/max(d.maxPriority, minPriority)
	delay := d.expectedDelay(n)
	slowStartDelay := max(0, d.slowStartReadyAt(n, unitsAhead)-d.now)
	queueWait := d.expectedWait(r, n)
	remaining := r.objectiveAt - d.now - n.serviceTime(r.Units)
	// scaledWait is the wait in the queue, scaled from the request's own latency objective to
	// the tightest one. A request with a long objective may therefore wait longer. This is safe
	// because the queue of a flow delays no other volume.
	scaledWait := time.Duration(
		float64(queueWait) * float64(d.tightestObjective) / float64(r.class.LatencyObjective))
	ejectionDelay := max(0, n.ejectedUntil-d.now)
	expected := delay + max(scaledWait+ejectionDelay, rateLimitDelay, slowStartDelay)
	allowed := min(time.Duration(float64(d.tightestObjective)*budget), remaining-queueWait+scaledWait)
	blocked := ejectionDelay > 0 || rateLimitDelay > 0 || slowStartDelay > 0
	if expected > allowed && (blocked || !d.mayProbe(n)) {
		d.reject(r, expected-allowed)
		return
	}
	d.enqueue(r, n, false)
}

// mayProbe reports whether a request may be sent to n even if the estimates for n would prevent
// it. Such a probe renews the estimates. A probe is allowed if this dispatcher has no request
// in flight at n, or only one that has been silent for so long that its response may be lost.
//
// With more than maxConcurrency/minConcurrency dispatchers, their minimum concurrencies add up
// to more than maxConcurrency. Each dispatcher then leaves a gap between its probes. The gap is
// the service time of one mean request for every dispatcher above that number.
func (d *Dispatcher) mayProbe(n *node) bool {
	excessDispatchers := max(0, d.cfg.DispatcherCount-maxConcurrency/minConcurrency)
	gap := time.Duration(excessDispatchers) * n.serviceTime(d.meanUnits())
	if n.inFlight == 1 && n.consecutiveFailures == 0 {
		gap += seconds(d.congestionThreshold()) + n.serviceTime(lateAttemptFactor*d.meanUnits())
	} else if n.inFlight > 0 {
		return false
	}
	return n.queuedRequests <= 1 && d.now-n.lastSentAt >= gap
}
