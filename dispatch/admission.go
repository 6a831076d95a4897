// This file decides which node a request goes to, and whether the request is queued there or
// rejected at once. A request is rejected if it cannot be answered in the time that its client has
// left, if no plan permits it, or if it would join a standing queue. It owns no state.

package dispatch

import (
	"math"
	"time"
)

// placementJitter is the largest random increase of the cost by which chooseNode compares nodes, as
// a share of that cost.
const placementJitter = 0.1

// place chooses a node for r and passes r to admit. It rejects r if no node serves its shard.
func (d *Dispatcher) place(r *request) {
	n := d.nodeByShard[r.Shard]
	if r.Shard == AnyShard {
		n = d.chooseNode(r)
	}
	if n == nil {
		d.reject(r, defaultRetryAfter)
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
			latency += d.delayTarget().Seconds()
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

// delays holds how long a request is expected to wait before a node begins to serve it, by cause.
type delays struct {
	node      time.Duration // at the node, behind requests of all dispatchers
	queue     time.Duration // in the queue of the node, behind requests that are sent earlier
	ejection  time.Duration // until the ejection of the node ends
	rateLimit time.Duration // until the rate limit of the volume admits the request
	slowStart time.Duration // until the slow start of the node permits the request
	// rateLimitOwn is the part of rateLimit in which the volume earns the request's own units. The
	// rest of rateLimit is caused by earlier requests.
	rateLimitOwn time.Duration
}

// total returns the expected delay from all causes. The causes in the dispatcher run at the same
// time, except that the queue of an ejected node does not move.
func (t delays) total() time.Duration {
	return t.node + max(t.queue+t.ejection, t.rateLimit, t.slowStart)
}

// queueing returns the delay that earlier requests cause in the dispatcher's queues.
func (t delays) queueing() time.Duration {
	return max(t.queue+t.ejection, t.rateLimit-t.rateLimitOwn, t.slowStart)
}

// blocked reports whether n may be sent nothing now on behalf of the request, not even a probe.
func (t delays) blocked() bool { return t.ejection > 0 || t.rateLimit > 0 || t.slowStart > 0 }

// delaysOf returns the expected delays of r at n if r joins the queue of n now. rateLimitDelay is
// the delay by the rate limit of its volume.
func (d *Dispatcher) delaysOf(r *request, f *flow, n *node, rateLimitDelay time.Duration) delays {
	unitsAhead := n.queuedUnits
	if !r.withinReserve { // leaves a mean request's part of slow start to requests within a reserve
		unitsAhead += d.cfg.MeanUnits
	}
	return delays{
		node:         d.expectedDelay(n),
		queue:        d.expectedWait(r, f, n),
		ejection:     max(0, n.ejectedUntil-d.now),
		rateLimit:    rateLimitDelay,
		rateLimitOwn: min(rateLimitDelay, r.volume.earningTime(r.Units)),
		slowStart:    max(0, d.slowStartReadyAt(n, unitsAhead)-d.now),
	}
}

// admit queues r at n. It rejects r instead if r cannot be answered in the time that its client has
// left, or if r would join a standing queue. The retry time is the time after which the same
// request would be admitted. A node that is idle, or whose estimates need a probe, gets the request
// in any case, unless a rule blocks it.
func (d *Dispatcher) admit(r *request, n *node) {
	rateLimitDelay, exceedsLimit := d.rateLimitWait(r)
	if exceedsLimit { // no wait is long enough
		d.reject(r, d.cfg.MaxRetryAfter)
		return
	}
	f := d.flowFor(r.volume, n)
	r.withinReserve = d.hasReserve(r.volume)
	own := d.delaysOf(r, f, n, rateLimitDelay)
	late := d.now + own.total() + n.serviceTime(r.Units) - r.answerBy
	excess := max(late, d.standingExcess(r, f, n, own))
	if excess > 0 && (own.blocked() || !d.mayAttempt(n)) {
		d.reject(r, excess)
		return
	}
	d.enqueue(r, n, false)
}

// mayAttempt reports whether n may be sent a request that is expected to be late or to be delayed
// for long. A node that is idle serves a request with any time left, and the estimates of a node
// that needs a probe may be wrong.
func (d *Dispatcher) mayAttempt(n *node) bool { return d.idle(n) || d.mayProbe(n) }

// idle reports whether n serves a request at once, as far as this dispatcher knows.
func (d *Dispatcher) idle(n *node) bool {
	return n.inFlight == 0 && !n.detector.Standing() && d.expectedDelay(n) <= d.delayTarget()
}

// answerable reports whether an attempt of r that is sent to n after the given pause is expected to
// be answered in the time that the client of r has left.
func (d *Dispatcher) answerable(r *request, n *node, pause time.Duration) bool {
	sentAt := d.now + pause
	if sentAt >= r.answerBy {
		return false
	}
	return d.idle(n) || sentAt+d.expectedDelay(n)+n.serviceTime(r.Units) < r.answerBy
}

// retryAfterAt returns how long a client should wait before it repeats a request that n has not
// served: until n has served the requests that delay others, and until its ejection ends.
func (d *Dispatcher) retryAfterAt(n *node) time.Duration {
	return max(d.expectedDelay(n), n.ejectedUntil-d.now)
}

// mayProbe reports whether a request may be sent to n even if the estimates for n would prevent
// it. Such a probe renews the estimates. A probe is allowed if this dispatcher has no request
// in flight at n, or only one that has been silent for so long that its response may be lost.
//
// With more than maxConcurrency/minConcurrency dispatchers, their minimum concurrencies add up
// to more than maxConcurrency. Each dispatcher then leaves a gap between its probes. The gap is
// the service time of one mean request for every dispatcher above that number.
func (d *Dispatcher) mayProbe(n *node) bool {
	gap := d.probeGap(n)
	if n.inFlight == 1 && n.consecutiveFailures == 0 {
		gap += d.delayTarget() + n.serviceTime(lateAttemptFactor*d.meanUnits())
	} else if n.inFlight > 0 {
		return false
	}
	return n.queuedRequests <= 1 && d.now-n.lastSentAt >= gap
}

// probeGap returns the shortest time between two probes of this dispatcher at n.
func (d *Dispatcher) probeGap(n *node) time.Duration {
	excessDispatchers := max(0, d.cfg.DispatcherCount-maxConcurrency/minConcurrency)
	return time.Duration(excessDispatchers) * n.serviceTime(d.meanUnits())
}
