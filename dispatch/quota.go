// Quota: the rate limit and the reserve of a volume. Decides when the rate limit admits a
// request, and whether a volume is within its reserve. Owns volume.tokens and volume.reserve,
// from which send takes.

package dispatch

import (
	"math"
	"time"
)

// tokenTolerance keeps rounding errors from overdrawing the bucket, units.
const tokenTolerance = 1e-6

// rateLimitWait returns how long the volume's rate limit delays r, counting the requests that
// are queued before it, and whether r exceeds the capacity of the bucket. Retries are free.
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
	rate := v.plan.RateLimit / float64(v.dispatchers)
	return time.Duration(math.Ceil(max(0, missing)/rate*1e6)) * time.Microsecond, false
}

// tokenCapacity returns this dispatcher's even share of what the bucket holds at most.
func (v *volume) tokenCapacity() float64 {
	return (v.plan.Burst+v.plan.Slack)/float64(v.dispatchers) - tokenTolerance
}

// refillTokens refills this dispatcher's even share of the bucket. The share starts empty: a
// restarted dispatcher cannot know what it spent before, and its share of the time since its
// start is certainly unspent.
func (d *Dispatcher) refillTokens(v *volume) {
	v.tokens += (d.now - v.tokensUpdatedAt).Seconds() * v.plan.RateLimit / float64(v.dispatchers)
	v.tokens = min(v.tokens, v.tokenCapacity())
	v.tokensUpdatedAt = d.now
}

// refillReserve adds the reserved units since the last call.
func (d *Dispatcher) refillReserve(v *volume) {
	elapsed := (d.now - v.reserveUpdatedAt).Seconds()
	v.reserve = min(d.reserveCapacity(v), v.reserve+v.plan.Reserve*elapsed)
	v.reserveUpdatedAt = d.now
}

// chargeReserve subtracts units that were used. The reserve goes no further below 0 than its
// capacity.
func (d *Dispatcher) chargeReserve(v *volume, units float64) {
	d.refillReserve(v)
	v.reserve = max(v.reserve-units, -d.reserveCapacity(v))
}

// reserveCapacity returns one second of the reserve and the largest request, units.
func (d *Dispatcher) reserveCapacity(v *volume) float64 { return v.plan.Reserve + d.cfg.MaxUnits }

// handleCostCorrection charges or refunds a volume's flow, limit and reserve, so that a volume
// whose requests cost more than they declare gets no more than its share.
func (d *Dispatcher) handleCostCorrection(e CostCorrection) {
	v, n := d.volumes[e.Volume], d.nodes[e.Node]
	plausible := math.Abs(e.Units) <= d.cfg.MaxUnits // false for NaN
	if v == nil || n == nil || !plausible {
		return
	}
	d.refillTokens(v)
	v.tokens = min(v.tokens-e.Units, v.tokenCapacity())
	d.chargeReserve(v, e.Units)
	for _, f := range v.flows {
		if f.node == n {
			f.correctCost(e.Units)
			d.markDirty(n)
		}
	}
}
