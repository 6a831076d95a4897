// Latency: the estimates of how long a request takes at a node: the service time of a unit
// without congestion, the delay beyond it, and the wait in the queue. Owns node.delay,
// node.secondsPerUnit and node.uncongestedResponses.

package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// delayGain is the weight of a new sample in the moving average of the delay.
	delayGain = 0.25
	// delayHalfLife is the time, in tightest objectives, in which an estimate fades by half.
	delayHalfLife = 3.0

	// The service time of a unit is estimated as this quantile of the observed times, which
	// moves by serviceTimeGain per sample.
	serviceTimeQuantile = 0.3
	serviceTimeGain     = 0.1
)

// observeLatency updates the estimates with a served response to r. What it took beyond its
// service time is delay. One response may be an outlier: the load that the node reports,
// served one by one or minConcurrency at a time, bounds the delay from both sides.
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

// observeServiceTime moves the quantile estimate toward a sample, in seconds per unit.
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

// expectedDelay returns what an attempt at n is expected to take beyond its service time. The
// age of the oldest attempt in flight counts too, as silence shows there before any result;
// an attempt that was overtaken does not count, as it delays no other.
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

// expectedWait estimates how long r would be queued at n: the units ahead of it by the start
// tags, at the rate of Little's law with the concurrency limit.
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

// serviceTime returns how long so many units take at n without congestion.
func (n *node) serviceTime(units float64) time.Duration {
	return seconds(n.secondsPerUnit * units)
}

// meanUnits returns the cost of a request of which nothing is known, at least 1.
func (d *Dispatcher) meanUnits() float64 { return max(d.cfg.MeanUnits, 1) }

// decayingSum is a sum whose terms decay exponentially with their age.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

// add adds a term. The time constant of the decay is window.
func (s *decayingSum) add(now time.Duration, term float64, window time.Duration) {
	s.sum = s.sum*decayFactor(now-s.updatedAt, window) + term
	s.updatedAt = now
}

// rate returns the average of the sum per second over the window.
func (s *decayingSum) rate(now, window time.Duration) float64 {
	return s.sum * decayFactor(now-s.updatedAt, window) / window.Seconds()
}

func decayFactor(age, window time.Duration) float64 {
	return math.Exp(-age.Seconds() / window.Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
