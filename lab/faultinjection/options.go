package faultinjection

import (
	"io"
	"time"

	"chalkstand/dispatch"
	"chalkstand/lab/invariants"
)

// TraceFunc is called when a gateway starts. It returns the function that records the events and
// actions of the gateway's dispatcher.
type TraceFunc func(gateway string, cfg dispatch.Config, seed uint64) RecordFunc

// RecordFunc records one event of a dispatcher and the actions that it caused.
type RecordFunc = func(time.Duration, dispatch.Event, []dispatch.Action)

// Options holds the parameters of a run.
type Options struct {
	Seed     uint64 // seeds the script, the load, the nodes and the gateways
	Duration time.Duration
	Gateways int
	Shards   int // each shard has one current node at a time
	Volumes  int
	Rate     float64 // requests per second while no fault changes the load
	Script   Script  // if nil, Run generates a script from the seed

	// DisabledGuard names the guard, a key of GuardInvariants, that is disabled in the gateways. The checker still
	// checks the guard's invariant and must report a violation. If empty, no guard is disabled.
	DisabledGuard string

	// CapacityDivisor divides the load that a node in slow start can bear, both at the nodes and in the gateways'
	// settings. 0 means 1.
	CapacityDivisor float64

	Trace    TraceFunc // if nil, the run records no traces
	Progress io.Writer // if nil, the run prints no progress
}

// DefaultOptions returns the options that the command uses without flags.
func DefaultOptions(seed uint64) Options {
	return Options{
		Seed:     seed,
		Duration: 20 * time.Second,
		Gateways: 3,
		Shards:   8,
		Volumes:  24,
		Rate:     200,
	}
}

func (o Options) capacityDivisor() float64 {
	if o.CapacityDivisor <= 0 {
		return 1
	}
	return o.CapacityDivisor
}

// Names of the guards that a run can disable. A guard is a mechanism of the gateway that keeps an invariant.
const (
	guardBudget      = "budget"
	guardLimits      = "limits"
	guardOrder       = "order"
	guardIdempotency = "effects"
	guardSlowStart   = "cold"
	guardDrains      = "drains"
	guardDeadlines   = "time"
)

// GuardInvariants maps each guard that a run can disable to the invariant that a gateway without the guard
// violates.
var GuardInvariants = map[string]string{
	guardBudget:      invariants.RetryBudget,
	guardLimits:      invariants.RateLimits,
	guardOrder:       invariants.KeyOrder,
	guardIdempotency: invariants.ExecutedOnce,
	guardSlowStart:   invariants.SlowStartRespected,
	guardDrains:      invariants.DrainsRespected,
	guardDeadlines:   invariants.NoRequestLost,
}
