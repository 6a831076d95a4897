// This file defines the settings of a dispatcher and checks them. It decides only which
// settings New accepts, and holds no state.

package dispatch

import (
	"fmt"
	"math"
	"time"
)

// Config holds the settings of a dispatcher. A rule whose settings are all zero is disabled.
type Config struct {
	DispatcherIndex int // index of this dispatcher, from 0
	DispatcherCount int // number of dispatchers in the deployment, at least 1

	CancelAttempts bool          // whether the dispatcher may cancel attempts in flight
	PollDiscovery  bool          // whether endpoint updates arrive only after a Watch action
	ListsPushed    bool          // whether a change binds the dispatcher as soon as discovery has it
	MaxRetryAfter  time.Duration // upper bound of Reject.RetryAfter
	MaxAttempts    int           // largest number of attempts of one request; 0 means no limit
	RoundTrip      time.Duration // allowance for one network round trip

	Classes []Class // settings of the classes, indexed by Request.Class
	Plans   []Plan  // settings of the plans, indexed by Request.Plan

	MeanUnits float64 // mean cost of a request, in units
	MaxUnits  float64 // cost of the largest request, in units

	MaxVolumes int // largest number of volumes whose records are kept; 0 means no limit

	SlowStart   SlowStart
	RetryBudget RetryBudget
	Quiescence  time.Duration // how long a key pauses after an attempt that may still be running
}

// Class holds the settings for one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // target for the time to the final answer; used for the concurrency limit
	Deadline         time.Duration // longest time that a client waits for the final answer
	Idempotency      Idempotency
	// DedupScope and DedupWindow say among which nodes and for how long repeats of a request
	// are dropped. They apply only if Idempotency is Deduplicated.
	DedupScope  DedupScope
	DedupWindow time.Duration
	Ordered     bool // whether requests with one key run one at a time, in order of arrival
}

// Idempotency says whether a request may be executed more than once.
type Idempotency int

// A class of requests has one of these kinds of idempotency.
const (
	Idempotent    Idempotency = iota // a request may be executed any number of times
	Deduplicated                     // nodes drop repeats within DedupScope and DedupWindow
	NonIdempotent                    // a request must not be executed twice
)

// DedupScope says at which nodes the repeat of a Deduplicated request is recognized and dropped.
type DedupScope int

// These are the deduplication scopes, from the widest to the narrowest.
const (
	DedupEverywhere DedupScope = iota // repeats are dropped at every node
	DedupPerZone                      // repeats are dropped at nodes of the same zone
	DedupPerShard                     // repeats are dropped at nodes of the same shard
)

// Plan is the service plan of a volume. Its rates apply to the total over all dispatchers and
// nodes.
type Plan struct {
	Name      string
	Reserve   float64 // reserved throughput, in units per second
	Weight    float64 // fair-queuing weight, greater than 0
	RateLimit float64 // rate limit, in units per second; 0 means unlimited
	Burst     float64 // capacity of the rate limit's token bucket, in units
	Slack     float64 // units by which the token bucket may be overdrawn
}

// SlowStart limits the load that all dispatchers together send to a node that has just started.
type SlowStart struct {
	InitialCapacity float64       // share of its full capacity that a node has at its start, in (0, 1]
	WarmUp          time.Duration // time from the start of a node until it has its full capacity
	OverloadFactor  float64       // multiple of its current capacity that a node tolerates as load
	Window          time.Duration // interval over which load is compared with capacity
	InitialUnits    float64       // units per Window that a starting node tolerates; 0 disables slow start
}

// RetryBudget limits retries, which are the attempts of a request beyond its first. In any
// Window, the dispatcher sends at most MinRetries retries, plus Ratio times the number of
// requests that arrived in that Window.
type RetryBudget struct {
	MinRetries float64
	Ratio      float64
	Window     time.Duration // length of the interval; 0 disables the retry budget
}

// ConfigError is the error for a field of Config whose value New does not accept.
type ConfigError struct {
	Field    string // path of the field, such as "Plans[0].Weight"
	Expected string // description of the accepted values, such as "at least 1"
	Got      any
}

// Error implements the error interface.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s: expected %s, got %v", e.Field, e.Expected, e.Got)
}

const (
	expectedPositive    = "above 0"
	expectedNonNegative = "0 or more"
	expectedFinite      = "a finite number, 0 or more"
)

// checkConfig returns a *ConfigError for the first field of cfg with an invalid value. It
// returns nil if all values are valid.
func checkConfig(cfg *Config) error {
	switch {
	case cfg.DispatcherCount < 1:
		return &ConfigError{"DispatcherCount", "at least 1", cfg.DispatcherCount}
	case cfg.DispatcherIndex < 0 || cfg.DispatcherIndex >= cfg.DispatcherCount:
		expected := fmt.Sprintf("0 to %d", cfg.DispatcherCount-1)
		return &ConfigError{"DispatcherIndex", expected, cfg.DispatcherIndex}
	case len(cfg.Classes) == 0:
		return &ConfigError{"Classes", "at least one", "none"}
	case len(cfg.Plans) == 0:
		return &ConfigError{"Plans", "at least one", "none"}
	case cfg.MaxAttempts < 0:
		return &ConfigError{"MaxAttempts", expectedNonNegative, cfg.MaxAttempts}
	case cfg.MaxVolumes < 0:
		return &ConfigError{"MaxVolumes", expectedNonNegative, cfg.MaxVolumes}
	case !isFiniteNonNegative(cfg.MeanUnits):
		return &ConfigError{"MeanUnits", expectedFinite, cfg.MeanUnits}
	case !isFiniteNonNegative(cfg.MaxUnits):
		return &ConfigError{"MaxUnits", expectedFinite, cfg.MaxUnits}
	}
	if err := cfg.RetryBudget.check(); err != nil {
		return err
	}
	if err := cfg.SlowStart.check(); err != nil {
		return err
	}
	for i := range cfg.Classes {
		if err := cfg.Classes[i].check(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	for i := range cfg.Plans {
		if err := cfg.Plans[i].check(fmt.Sprintf("Plans[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

// isFiniteNonNegative reports whether x is a finite number that is 0 or more.
func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) } // x >= 0 is false for NaN

func (b *RetryBudget) check() error {
	switch {
	case b.Window < 0:
		return &ConfigError{"RetryBudget.Window", expectedNonNegative, b.Window}
	case !isFiniteNonNegative(b.MinRetries):
		return &ConfigError{"RetryBudget.MinRetries", expectedFinite, b.MinRetries}
	case !isFiniteNonNegative(b.Ratio):
		return &ConfigError{"RetryBudget.Ratio", expectedFinite, b.Ratio}
	}
	return nil
}

func (s *SlowStart) check() error {
	switch {
	case !isFiniteNonNegative(s.InitialUnits):
		return &ConfigError{"SlowStart.InitialUnits", expectedFinite, s.InitialUnits}
	case s.InitialUnits == 0: // slow start is disabled
		return nil
	case s.Window <= 0:
		return &ConfigError{"SlowStart.Window", expectedPositive, s.Window}
	case !isFiniteNonNegative(s.OverloadFactor):
		return &ConfigError{"SlowStart.OverloadFactor", expectedFinite, s.OverloadFactor}
	case !isFiniteNonNegative(s.InitialCapacity) || s.InitialCapacity == 0 || s.InitialCapacity > 1:
		return &ConfigError{"SlowStart.InitialCapacity", "above 0 and at most 1", s.InitialCapacity}
	}
	return nil
}

func (c *Class) check(path string) error {
	switch {
	case c.LatencyObjective <= 0:
		return &ConfigError{path + "LatencyObjective", expectedPositive, c.LatencyObjective}
	case c.Deadline <= 0:
		return &ConfigError{path + "Deadline", expectedPositive, c.Deadline}
	case c.Idempotency == Deduplicated && c.DedupWindow < 0:
		return &ConfigError{path + "DedupWindow", expectedNonNegative, c.DedupWindow}
	}
	return nil
}

func (p *Plan) check(path string) error {
	switch {
	case !isFiniteNonNegative(p.Weight) || p.Weight == 0:
		return &ConfigError{path + "Weight", "a finite number above 0", p.Weight}
	case !isFiniteNonNegative(p.RateLimit):
		return &ConfigError{path + "RateLimit", expectedFinite, p.RateLimit}
	case !isFiniteNonNegative(p.Burst):
		return &ConfigError{path + "Burst", expectedFinite, p.Burst}
	case !isFiniteNonNegative(p.Slack):
		return &ConfigError{path + "Slack", expectedFinite, p.Slack}
	case !isFiniteNonNegative(p.Reserve):
		return &ConfigError{path + "Reserve", expectedFinite, p.Reserve}
	}
	return nil
}
