// Admission: decides which node a request goes to, and whether it is queued there or rejected
// at once because it cannot be answered in time. Owns no state.

package dispatch

import (
	"math"
	"time"
)

const (
	// Queueing budgets: the delay that a request may be expected to meet, as a share of the
	// tightest objective whatever its own: work that may wait longer must not fill the queue
	// before work that may not. Work beyond its volume's reserve leaves room to reserved work.
	reservedQueueBudget = 0.8
	excessQueueBudget   = 0.3

	// basePriorityShare of a budget is for every request; the remainder grows with its priority.
	basePriorityShare = 0.5
	minPriority       = 1e-9 // avoids a division by 0

	// placementJitter is the random part of the cost by which nodes are compared.
	placementJitter = 0.1
)

// place finds a node for r and admits it there.
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

// chooseNode returns the node where a request that every node may serve is expected to complete
// first; nil if there is none.
func (d *Dispatcher) chooseNode(r *request) *node {
	var best *node
	bestCost := math.Inf(1)
	for _, n := range d.nodeOrder {
		if n.State != Ready || d.now < n.ejectedUntil {
			continue
		}
		latency := (d.expectedDelay(n) + n.serviceTime(r.Units)).Seconds()
		if n.secondsPerUnit == 0 { // nothing is known of it: do not assume that it is idle
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

// admit queues r at n, or rejects it when its expected delay exceeds its queueing budget or it
// would miss its objective.
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
	// The wait is measured in the request's own objective: the queue of its flow delays
	// no other volume.
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

// mayProbe reports whether a request may be sent to n against the estimates, to renew them:
// where none is in flight from this dispatcher, or a single one has long been silent and may
// have lost its response. Dispatchers beyond those whose minimum concurrencies fit under
// maxConcurrency space their probes, each by the node's time for one request.
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
