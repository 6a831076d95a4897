// This file implements the rate limit and the reserve of a volume. It decides when the rate
// limit admits a request, and whether a volume is within its reserve. It owns volume.tokens,
// volume.unconfirmedUnits and volume.reserve.
//
// A rate limit is counted where requests arrive, and a request may arrive long after it was sent:
// its connection comes up late, or the network holds it back. Requests that were sent over several
// seconds may then arrive together. The cost of a request that may still arrive therefore takes up
// room in the token bucket. The bucket earns that room back only from the time on at which a node has
// answered the request, or at which the request has ended.

package dispatch

import (
	"math"
	"time"
)

// tokenTolerance is the number of units by which the token bucket is kept smaller than allowed,
// so that rounding errors do not overdraw it.
const tokenTolerance = 1e-6

// arrivalRecheck is the time after which a request that waits for room in the token bucket is
// examined again, if that room depends on the arrival of other requests.
const arrivalRecheck = 20 * time.Millisecond

// rateLimitWait returns how long the volume's rate limit delays r, including the delay by
// requests that are queued before r. exceedsLimit reports whether r costs more units than the
// token bucket can hold. The rate limit does not apply to retries.
func (d *Dispatcher) rateLimitWait(r *request) (wait time.Duration, exceedsLimit bool) {
	v := r.volume
	if v.plan.RateLimit <= 0 || r.attempts > 0 {
		return 0, false
	}
	d.refillTokens(v)
	if r.Units > v.tokenCapacity() {
		return 0, true
	}
	missing := r.Units - v.tokens
	if r.state != queued {
		missing += v.queuedUnits
	}
	wait = v.earningTime(missing)
	if missing > 0 && r.Units > v.tokenCeiling() {
		wait = max(wait, arrivalRecheck)
	}
	return wait, false
}

// chargeTokens charges the rate limit of a volume for the first attempt of r. The request may arrive
// at any time until confirmArrival is called.
func (d *Dispatcher) chargeTokens(r *request) {
	v := r.volume
	d.refillTokens(v)
	v.tokens -= r.Units
	v.unconfirmedUnits += r.Units
	r.arrivalUnconfirmed = true
}

// confirmArrival records that r has arrived at its node or cannot arrive any more.
func (d *Dispatcher) confirmArrival(r *request) {
	if !r.arrivalUnconfirmed {
		return
	}
	r.arrivalUnconfirmed = false
	v := r.volume
	d.refillTokens(v)
	v.unconfirmedUnits -= r.Units
	if v.unconfirmedUnits <= negligibleUnits {
		v.unconfirmedUnits = 0
	}
}

// earningTime returns how long this dispatcher's share of the rate limit takes to earn the given units.
func (v *volume) earningTime(units float64) time.Duration {
	if v.plan.RateLimit <= 0 {
		return 0
	}
	rate := v.plan.RateLimit / float64(v.dispatchers)
	return time.Duration(math.Ceil(max(0, units)/rate*1e6)) * time.Microsecond
}

// tokenCapacity returns how many units this dispatcher's share of the token bucket can hold.
// All dispatchers of the volume have equal shares.
func (v *volume) tokenCapacity() float64 {
	return (v.plan.Burst+v.plan.Slack)/float64(v.dispatchers) - tokenTolerance
}

// tokenCeiling returns how many units of this dispatcher's share of the token bucket can be unspent
// beside the requests that may still arrive.
func (v *volume) tokenCeiling() float64 { return v.tokenCapacity() - v.unconfirmedUnits }

// refillTokens adds the tokens that this dispatcher's share of the bucket has earned since the
// last call. The share starts empty, because a restarted dispatcher cannot know what it spent
// before the restart. The tokens earned since the start are certainly unspent.
func (d *Dispatcher) refillTokens(v *volume) {
	v.tokens += (d.now - v.tokensUpdatedAt).Seconds() * v.plan.RateLimit / float64(v.dispatchers)
	v.tokens = min(v.tokens, v.tokenCeiling())
	v.tokensUpdatedAt = d.now
}

// hasReserve reports whether the next request of v is within the reserve of v.
func (d *Dispatcher) hasReserve(v *volume) bool {
	d.refillReserve(v)
	return v.reserve >= v.queuedUnits
}

// refillReserve adds the units that the reserve of v has earned since the last call.
func (d *Dispatcher) refillReserve(v *volume) {
	elapsed := (d.now - v.reserveUpdatedAt).Seconds()
	v.reserve = min(d.reserveCapacity(v), v.reserve+v.plan.Reserve*elapsed)
	v.reserveUpdatedAt = d.now
}

// chargeReserve subtracts used units from the reserve of v. The reserve may become negative,
// down to minus its capacity.
func (d *Dispatcher) chargeReserve(v *volume, units float64) {
	d.refillReserve(v)
	v.reserve = max(v.reserve-units, -d.reserveCapacity(v))
}

// reserveCapacity returns how many units the reserve of v can hold: one second of the reserved
// throughput plus the cost of the largest request.
func (d *Dispatcher) reserveCapacity(v *volume) float64 { return v.plan.Reserve + d.cfg.MaxUnits }

// handleCostCorrection charges the flow, the rate limit and the reserve of a volume with the
// corrected units, or refunds them. A volume whose requests cost more than they declare
// therefore gets no more than its share.
func (d *Dispatcher) handleCostCorrection(e CostCorrection) {
	v, n := d.volumes[e.Volume], d.nodes[e.Node]
	plausible := math.Abs(e.Units) <= d.cfg.MaxUnits // the comparison is false for NaN
	if v == nil || n == nil || !plausible {
		return
	}
	d.refillTokens(v)
	v.tokens = min(v.tokens-e.Units, v.tokenCeiling())
	d.chargeReserve(v, e.Units)
	for _, f := range v.flows {
		if f.node == n {
			f.correctCost(e.Units)
			d.markDirty(n)
		}
	}
}
