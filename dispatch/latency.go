// This file estimates how long a request takes at a node. The estimates are the service time
// per unit without congestion, the delay beyond the service time, and the wait in the queue.
// The file owns node.delay, node.delayConcurrency, node.secondsPerUnit and
// node.uncongestedResponses.

package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// delayGain is the least weight of a new sample in the moving average of the delay. The weight
	// of earlier samples also falls with a time constant of delayWindowShare times the interval of
	// a standing queue.
	delayGain        = 0.25
	delayWindowShare = 0.25

	// The service time per unit is estimated as the serviceTimeQuantile quantile of the
	// observed service times. Each sample moves the estimate by a step proportional to
	// serviceTimeGain.
	serviceTimeQuantile = 0.3
	serviceTimeGain     = 0.1

	// serviceTimeGrowth is the time constant with which the estimated service time may grow from
	// samples that may contain the delay by other requests.
	serviceTimeGrowth = time.Minute
	// maxServiceTimeShare limits what such samples may show: the service time of a mean request, as
	// a share of the shortest deadline of all classes.
	maxServiceTimeShare = 0.1
)

// observeLatency updates the estimates of n with a served response to r. The latency beyond the
// service time of r is a sample of the delay. One response may be an outlier, so the number of
// requests that the node reports limits the sample. The upper limit is the time to serve these
// requests one by one. The lower limit is the time to serve them minConcurrency at a time.
func (d *Dispatcher) observeLatency(n *node, r *request, e AttemptCompleted) {
	latency := e.Latency.Seconds()
	d.observeServiceTime(n, r, latency/max(r.Units, 1))
	excess := max(0, latency-n.secondsPerUnit*r.Units)
	reported, ok := e.LoadReport[loadInFlight]
	if ok && reported >= 0 && !math.IsInf(reported, 1) {
		backlog := reported * n.secondsPerUnit * d.meanUnits()
		excess = min(max(excess, backlog/minConcurrency), backlog)
	}
	// A dispatcher with little traffic would notice a change late, so the weight of the earlier
	// samples falls with time, too.
	window := time.Duration(delayWindowShare * float64(d.standingInterval()))
	d.observeDelay(n, r, excess, max(delayGain, 1-decayFactor(d.now-n.delayUpdatedAt, window)))
	n.uncongestedResponses++
	if excess > d.delayTarget().Seconds() {
		n.uncongestedResponses = 0
	}
}

// observeNoResponse updates the estimates of n when an attempt of r has ended without a response.
// The response would have come later, so the delay is at least as long as the attempt has waited.
// An attempt whose response counts as lost shows no delay.
func (d *Dispatcher) observeNoResponse(n *node, r *request) {
	delay := d.expectedDelay(n)
	waited := d.now - r.sentAt - n.serviceTime(r.Units)
	if waited > delay && d.lossRate < lossRateThreshold && !d.overtaken(r, n, delay) {
		d.observeDelay(n, r, waited.Seconds(), delayGain)
	}
}

// observeDelay moves the estimated delay of n toward a sample, in seconds, from an attempt of r. The
// new sample has the weight gain.
func (d *Dispatcher) observeDelay(n *node, r *request, sample, gain float64) {
	n.delay *= decayFactor(d.now-n.delayUpdatedAt, d.delayMemory(n))
	n.delay += gain * (sample - n.delay)
	n.delayConcurrency += gain * (float64(r.concurrency) - n.delayConcurrency)
	n.delayUpdatedAt = d.now
}

// observeServiceTime moves the estimated service time per unit of n toward a sample from a response
// to r, in seconds per unit. A sample that may contain delay by other requests raises the estimate
// slowly and not beyond a limit. Otherwise a standing queue would hide itself, and a dispatcher that
// starts during overload would take the queue for the work.
func (d *Dispatcher) observeServiceTime(n *node, r *request, sample float64) {
	upperBound := math.Inf(1)
	growth := 1 + serviceTimeGain*serviceTimeQuantile
	if !d.showsServiceTime(r) {
		upperBound = maxServiceTimeShare * d.shortestDeadline.Seconds() / d.meanUnits()
		growth = min(growth, 1+(d.now-n.delayUpdatedAt).Seconds()/serviceTimeGrowth.Seconds())
	}
	switch {
	case n.secondsPerUnit == 0:
		n.secondsPerUnit = min(sample, upperBound)
		n.delay = 0
	case sample < n.secondsPerUnit:
		n.secondsPerUnit *= 1 - serviceTimeGain*(1-serviceTimeQuantile)
	case n.secondsPerUnit < upperBound:
		n.secondsPerUnit = min(n.secondsPerUnit*growth, upperBound)
	}
}

// showsServiceTime reports whether the latency of r contains little delay by other requests, even if
// every dispatcher has as many requests at the node as this one.
func (d *Dispatcher) showsServiceTime(r *request) bool {
	return r.concurrency*d.cfg.DispatcherCount <= minConcurrency
}

// expectedDelay returns how long an attempt at n is expected to take beyond its service time. An
// observed delay loses its weight with time. The time constant is that in which a queue counts as
// standing, and longer where the dispatchers have to take turns to probe a node. The delay also
// falls with the requests in flight, which cause a part of it.
//
// The age of the oldest attempt in flight also counts, because it reveals a silent node before
// any attempt ends. An attempt whose response counts as lost is left out, because it delays no
// other attempt.
func (d *Dispatcher) expectedDelay(n *node) time.Duration {
	delay := d.observedDelay(n)
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

// observedDelay returns the delay of n that ended attempts have shown.
func (d *Dispatcher) observedDelay(n *node) time.Duration {
	return seconds(n.delay * decayFactor(d.now-n.delayUpdatedAt, d.delayMemory(n)) * n.concurrencyShare())
}

// delayMemory returns the time constant with which an observed delay of n loses its weight.
func (d *Dispatcher) delayMemory(n *node) time.Duration { return d.standingInterval() + d.probeGap(n) }

// concurrencyShare returns the number of requests that would be in flight with one more, as a share
// of those with which the delay of n was observed. It is at most 1, because the delay that other
// dispatchers cause does not grow with the requests of this one.
func (n *node) concurrencyShare() float64 {
	return min(1, float64(n.inFlight+1)/max(n.delayConcurrency, 1))
}

// expectedWait estimates how long r would wait at the end of its flow f in the queue of n. The
// units that are sent before r are estimated from the weights of the flows. Before the first of them
// is sent, one request in flight must end.
func (d *Dispatcher) expectedWait(r *request, f *flow, n *node) time.Duration {
	if n.inFlight < d.concurrencyLimit(n) && n.queuedRequests == 0 {
		return 0
	}
	weightSum := n.backloggedWeight
	if f.queuedRequests == 0 {
		weightSum += r.volume.weight
	}
	unitsAhead := min(n.queuedUnits, (f.queuedUnits+r.Units)*weightSum/r.volume.weight)
	return d.workTime(n, unitsAhead+d.meanUnits())
}

// workTime estimates how long n takes to serve the given units for this dispatcher, by the
// throughput that Little's law gives for the concurrency limit. While a limit that has fallen is
// still exceeded, the expected latency is that of the requests in flight.
func (d *Dispatcher) workTime(n *node, units float64) time.Duration {
	meanUnits := d.meanUnits()
	latency := d.expectedDelay(n) + n.serviceTime(meanUnits)
	concurrency := max(d.concurrencyLimit(n), n.inFlight)
	return time.Duration(units / meanUnits * float64(latency) / float64(concurrency))
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
