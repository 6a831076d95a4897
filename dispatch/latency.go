// This file estimates how long a request takes at a node. The estimates are the service time
// per unit without congestion, the delay beyond the service time, and the wait in the queue.
// The file owns node.delay, node.secondsPerUnit and node.uncongestedResponses.

package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// delayGain is the weight of a new sample in the moving average of the delay.
	delayGain = 0.25
	// delayHalfLife is the time in which an estimated delay decays to half, as a multiple of the
	// tightest latency objective.
	delayHalfLife = 3.0

	// The service time per unit is estimated as the serviceTimeQuantile quantile of the
	// observed service times. Each sample moves the estimate by a step proportional to
	// serviceTimeGain.
	serviceTimeQuantile = 0.3
	serviceTimeGain     = 0.1
)

// observeLatency updates the estimates of n with a served response to r. The latency beyond the
// service time of r is a sample of the delay. One response may be an outlier, so the number of
// requests that the node reports limits the sample. The upper limit is the time to serve these
// requests one by one. The lower limit is the time to serve them minConcurrency at a time.
func (d *Dispatcher) observeLatency(n *node, r *request, e AttemptCompleted) {
	latency := e.Latency.Seconds()
	n.observeServiceTime(latency / max(r.Units, 1))
	excess := max(0, latency-n.secondsPerUnit*r.Units)
	reported, ok := e.LoadReport[loadInFlight]
	if ok && reported >= 0 && !math.IsInf(reported, 1) {
		backlog := reported * n.secondsPerUnit * d.meanUnits()
		excess = min(max(excess, backlog/minConcurrency), backlog)
	}
	n.delay += delayGain * (excess - n.delay)
	n.delayUpdatedAt = d.now
	n.uncongestedResponses++
	if excess > d.congestionThreshold() {
		n.uncongestedResponses = 0
	}
}

// observeServiceTime moves the estimated service time per unit toward a sample, in seconds per
// unit.
func (n *node) observeServiceTime(sample float64) {
	switch {
	case n.secondsPerUnit == 0:
		n.secondsPerUnit = sample
		n.delay = 0
	case sample < n.secondsPerUnit:
		n.secondsPerUnit *= 1 - serviceTimeGain*(1-serviceTimeQuantile)
	default:
		n.secondsPerUnit *= 1 + serviceTimeGain*serviceTimeQuantile
	}
}

// expectedDelay returns how long an attempt at n is expected to take beyond its service time.
// The age of the oldest attempt in flight also counts, because it reveals a silent node before
// any attempt ends. An attempt whose response counts as lost is left out, because it delays no
// other attempt.
func (d *Dispatcher) expectedDelay(n *node) time.Duration {
	age := float64(d.now - n.delayUpdatedAt)
	delay := seconds(n.delay * math.Exp2(-age/(delayHalfLife*float64(d.tightestObjective))))
	n.inFlightRequests = slices.DeleteFunc(n.inFlightRequests, func(r *request) bool {
		return !r.outstanding || r.node != n
	})
	oldest := slices.IndexFunc(n.inFlightRequests, func(r *request) bool {
		return !d.overtaken(r, n, delay)
	})
	if oldest >= 0 && (d.lossRate < lossRateThreshold || n.consecutiveFailures > 1) {
		r := n.inFlightRequests[oldest]
		delay = max(delay, d.now-r.sentAt-n.serviceTime(r.Units))
	}
	return delay
}

// expectedWait estimates how long r would wait in the queue of n. It divides the units that are
// sent before r, as estimated from the weights of the flows, by the throughput that Little's
// law gives for the concurrency limit.
func (d *Dispatcher) expectedWait(r *request, n *node) time.Duration {
	limit := d.concurrencyLimit(n)
	if n.inFlight < limit && n.queuedRequests == 0 {
		return 0
	}
	f := d.flowFor(r.volume, n)
	weightSum := n.backloggedWeight
	if f.queuedRequests == 0 {
		weightSum += r.volume.weight
	}
	unitsAhead := min(n.queuedUnits, (f.queuedUnits+r.Units)*weightSum/r.volume.weight)
	meanUnits := d.meanUnits()
	latency := d.expectedDelay(n) + n.serviceTime(meanUnits)
	return time.Duration(unitsAhead / meanUnits * float64(latency) / float64(limit))
}

// serviceTime returns how long n takes to serve the given units without congestion.
func (n *node) serviceTime(units float64) time.Duration {
	return seconds(n.secondsPerUnit * units)
}

// meanUnits returns the assumed cost of a request of unknown cost: the mean cost in the
// settings, but at least 1.
func (d *Dispatcher) meanUnits() float64 { return max(d.cfg.MeanUnits, 1) }

// decayingSum is a sum whose terms decay exponentially with their age.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

// add adds a term at the time now. The time constant of the decay is window.
func (s *decayingSum) add(now time.Duration, term float64, window time.Duration) {
	s.sum = s.sum*decayFactor(now-s.updatedAt, window) + term
	s.updatedAt = now
}

// rate returns the sum at the time now, divided by the length of the window in seconds.
func (s *decayingSum) rate(now, window time.Duration) float64 {
	return s.sum * decayFactor(now-s.updatedAt, window) / window.Seconds()
}

func decayFactor(age, window time.Duration) float64 {
	return math.Exp(-age.Seconds() / window.Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
