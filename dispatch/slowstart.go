// This file limits the load that this dispatcher sends to a node that has just started. It
// decides when such a node may be sent its next request. It owns node.slowStartDebt, which send
// increases, and the usual throughput of each shard.

package dispatch

import "time"

const (
	// slowStartSafetyFactor is the share of the permitted load that is sent. The remaining
	// share allows for a machine that is slower than its predecessor, and for several
	// dispatchers that send at the same time.
	slowStartSafetyFactor = 0.5

	// shardThroughputWindow is the time over which a shard's usual throughput is averaged.
	shardThroughputWindow = 30 * time.Second

	// minHistoryShare limits the factor by which the throughput of a short history is scaled
	// up: a history counts as at least this share of shardThroughputWindow.
	minHistoryShare = 0.1

	minWarmUpSeconds = 1e-9 // avoids a division by 0 if WarmUp is 0
)

// slowStartReadyAt returns when slow start permits this dispatcher to send n a request that has
// unitsAhead units queued before it. It returns 0 if slow start does not delay the request.
//
// The settings in Config.SlowStart limit the total load from all dispatchers. The usual
// throughput of a shard, summed over all dispatchers, is at most the full capacity of its node.
// Each dispatcher may therefore send its own usual throughput, multiplied by the share of the
// full capacity that the node has at its age and by the overload factor. An even share of
// InitialUnits is added for dispatchers without history.
//
// Sent units are a debt that is paid off at the resulting rate. At most one mean request is
// paid in advance. The first debt is random, so that not all dispatchers send their first
// request at the same time.
func (d *Dispatcher) slowStartReadyAt(n *node, unitsAhead float64) time.Duration {
	rule := d.cfg.SlowStart
	age := d.now - n.Started
	if rule.InitialUnits <= 0 || n.Started == 0 || age >= rule.WarmUp+rule.Window {
		return 0
	}
	progress := min(1, max(0, (age-rule.Window).Seconds())/max(rule.WarmUp.Seconds(), minWarmUpSeconds))
	capacity := rule.InitialCapacity + (1-rule.InitialCapacity)*progress
	evenShare := rule.InitialUnits / rule.InitialCapacity / rule.Window.Seconds() /
		float64(d.cfg.DispatcherCount)
	rate := slowStartSafetyFactor * capacity * (evenShare + rule.OverloadFactor*d.usualThroughput(n))
	// If the node or this dispatcher has started since the last update, the debt is unknown and
	// is replaced by a random one.
	if since := max(n.Started, d.startedAt); n.slowStartDebtAt < since {
		n.slowStartDebt = d.rng.Float64() * d.meanUnits()
		n.slowStartDebtAt = since
	}
	paid := rate * (d.now - n.slowStartDebtAt).Seconds()
	n.slowStartDebt = max(-d.cfg.MeanUnits, n.slowStartDebt-paid)
	n.slowStartDebtAt = d.now
	debt := n.slowStartDebt + unitsAhead
	if debt <= 0 {
		return 0
	}
	return d.now + seconds(min(debt/rate, rule.WarmUp.Seconds())) + time.Microsecond
}

// usualThroughput returns the average rate, in units per second, at which the shard of n has
// served requests of this dispatcher. The rate is scaled up if the dispatcher has been running
// for less than the window of the average.
func (d *Dispatcher) usualThroughput(n *node) float64 {
	historyShare := 1 - decayFactor(d.now-d.startedAt, shardThroughputWindow)
	return n.shardThroughput.rate(d.now, shardThroughputWindow) / max(historyShare, minHistoryShare)
}

// throughputOf returns the record of the throughput of shard s. The record outlives the nodes
// that serve the shard.
func (d *Dispatcher) throughputOf(s Shard) *decayingSum {
	if d.throughputByShard[s] == nil {
		d.throughputByShard[s] = &decayingSum{}
	}
	return d.throughputByShard[s]
}
