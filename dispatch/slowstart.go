// Slow start: bounds what this dispatcher sends to a node that has just started. Decides from
// when on such a node may be sent a request. Owns node.slowStartDebt, which send
// increases, and the usual throughput of each shard.

package dispatch

import "time"

const (
	// slowStartSafetyFactor is the part of the rule's bound that is used. The remainder allows for a
	// machine slower than its predecessor and for several dispatchers that send at once.
	slowStartSafetyFactor = 0.5

	// shardThroughputWindow is the time over which a shard's usual throughput is averaged.
	shardThroughputWindow = 30 * time.Second

	// minHistoryShare bounds the scaling of a short history.
	minHistoryShare = 0.1

	minWarmUpSeconds = 1e-9 // avoids a division by 0
)

// slowStartReadyAt returns from when on n may be sent a request of this dispatcher behind so
// many queued units; 0 where the rule does not apply.
//
// The rule binds the sum over all dispatchers. What a shard usually served each of them adds up
// to no more than its full capacity; so each may send that rate times the share of capacity
// that the node has by its age, times the overload factor. An even share of InitialUnits comes
// on top for dispatchers without history. Sent units are a debt that is paid off at this rate;
// at most a mean request is paid in advance. The first debt is random, so that not all
// dispatchers send their first request at once.
func (d *Dispatcher) slowStartReadyAt(n *node, unitsAhead float64) time.Duration {
	rule := d.cfg.SlowStart
	age := d.now - n.Started
	if rule.InitialUnits <= 0 || n.Started == 0 || age >= rule.WarmUp+rule.Window {
		return 0
	}
	warm := min(1, max(0, (age-rule.Window).Seconds())/max(rule.WarmUp.Seconds(), minWarmUpSeconds))
	capacity := rule.InitialCapacity + (1-rule.InitialCapacity)*warm
	evenShare := rule.InitialUnits / rule.InitialCapacity / rule.Window.Seconds() /
		float64(d.cfg.DispatcherCount)
	rate := slowStartSafetyFactor * capacity * (evenShare + rule.OverloadFactor*d.usualThroughput(n))
	// The debt of an earlier process of the node or of the dispatcher is unknown.
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

// usualThroughput returns what the shard of n served for this dispatcher, units per second. A
// history shorter than the window is scaled up.
func (d *Dispatcher) usualThroughput(n *node) float64 {
	historyShare := 1 - decayFactor(d.now-d.startedAt, shardThroughputWindow)
	return n.shardThroughput.rate(d.now, shardThroughputWindow) / max(historyShare, minHistoryShare)
}

// throughputOf returns the throughput of a shard, which outlives its nodes.
func (d *Dispatcher) throughputOf(s Shard) *decayingSum {
	if d.throughputByShard[s] == nil {
		d.throughputByShard[s] = &decayingSum{}
	}
	return d.throughputByShard[s]
}
