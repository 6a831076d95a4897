// Config: the settings of a dispatcher and their check. It holds no state and decides only
// which settings New accepts.

package dispatch

import (
	"fmt"
	"math"
	"time"
)

// Config holds the settings of a dispatcher. A rule whose settings are zero is off.
type Config struct {
	DispatcherIndex int // of this dispatcher, from 0
	DispatcherCount int // dispatchers in the deployment, at least 1

	CancelAttempts bool          // attempts may be canceled
	PollDiscovery  bool          // endpoint updates arrive only after a Watch action
	MaxRetryAfter  time.Duration // upper bound of Reject.RetryAfter
	MaxAttempts    int           // attempts of one request; 0: no bound
	RoundTrip      time.Duration // allowance for one network round trip

	Classes []Class // indexed by Request.Class
	Plans   []Plan  // indexed by Request.Plan

	MeanUnits float64 // mean cost of a request, units
	MaxUnits  float64 // cost of the largest request, units

	SlowStart   SlowStart
	RetryBudget RetryBudget
	Quiescence  time.Duration // pause of a key after an attempt that may still be running
}

// Class is a class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // target for the time to the final answer
	Deadline         time.Duration // the client's timeout
	PriorityWeight   float64       // value of an answer within the objective
	Idempotency      Idempotency
	DedupScope       DedupScope    // of Deduplicated requests
	DedupWindow      time.Duration // of Deduplicated requests
	Ordered          bool          // requests with one key run one at a time, in order of arrival
}

// Idempotency says whether a request may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // may be repeated at any time
	Deduplicated                     // repeats are dropped within DedupScope and DedupWindow
	NonIdempotent                    // must not be executed twice
)

// DedupScope is the set of nodes among which repeats of a Deduplicated request are dropped.
type DedupScope int

// The deduplication scopes, from the widest to the narrowest.
const (
	DedupEverywhere DedupScope = iota
	DedupPerZone
	DedupPerShard
)

// Plan is the service plan of a volume. Its rates hold over all dispatchers and nodes.
type Plan struct {
	Name      string
	Reserve   float64 // reserved throughput, units per second
	Weight    float64 // fair-queuing weight, above 0
	Price     float64 // value factor of the plan's requests
	RateLimit float64 // units per second; 0: unlimited
	Burst     float64 // capacity of the limit's token bucket, units
	Slack     float64 // units by which the bucket may be overdrawn
}

// SlowStart bounds what all dispatchers together send to a node that has just started.
type SlowStart struct {
	InitialCapacity float64       // share of its full capacity that a node starts with, in (0, 1]
	WarmUp          time.Duration // full capacity is reached after this time
	OverloadFactor  float64       // multiple of its present capacity that a node tolerates
	Window          time.Duration // length of time over which load is compared with capacity
	InitialUnits    float64       // units per Window that every starting node tolerates; 0: rule off
}

// RetryBudget bounds attempts beyond the first: in any Window at most MinRetries plus Ratio
// times the requests that arrived in it.
type RetryBudget struct {
	MinRetries float64
	Ratio      float64
	Window     time.Duration // 0: no budget
}

// ConfigError reports a field of Config whose value New does not accept.
type ConfigError struct {
	Field    string // path of the field, such as "Plans[0].Weight"
	Expected string // the values that are accepted
	Got      any
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s: expected %s, got %v", e.Field, e.Expected, e.Got)
}

const (
	expectedPositive    = "above 0"
	expectedNonNegative = "0 or more"
	expectedFinite      = "a finite number, 0 or more"
)

// checkConfig returns a *ConfigError for the first field that is not accepted.
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
	case !finite(cfg.MeanUnits):
		return &ConfigError{"MeanUnits", expectedFinite, cfg.MeanUnits}
	case !finite(cfg.MaxUnits):
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

// finite reports whether x is a number, 0 or more, and not infinite.
func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 1) } // false for NaN

func (b *RetryBudget) check() error {
	switch {
	case b.Window < 0:
		return &ConfigError{"RetryBudget.Window", expectedNonNegative, b.Window}
	case !finite(b.MinRetries):
		return &ConfigError{"RetryBudget.MinRetries", expectedFinite, b.MinRetries}
	case !finite(b.Ratio):
		return &ConfigError{"RetryBudget.Ratio", expectedFinite, b.Ratio}
	}
	return nil
}

func (s *SlowStart) check() error {
	switch {
	case !finite(s.InitialUnits):
		return &ConfigError{"SlowStart.InitialUnits", expectedFinite, s.InitialUnits}
	case s.InitialUnits == 0: // the rule is off
		return nil
	case s.Window <= 0:
		return &ConfigError{"SlowStart.Window", expectedPositive, s.Window}
	case !finite(s.OverloadFactor):
		return &ConfigError{"SlowStart.OverloadFactor", expectedFinite, s.OverloadFactor}
	case !finite(s.InitialCapacity) || s.InitialCapacity == 0 || s.InitialCapacity > 1:
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
	case !finite(c.PriorityWeight):
		return &ConfigError{path + "PriorityWeight", expectedFinite, c.PriorityWeight}
	case c.Idempotency == Deduplicated && c.DedupWindow < 0:
		return &ConfigError{path + "DedupWindow", expectedNonNegative, c.DedupWindow}
	}
	return nil
}

func (p *Plan) check(path string) error {
	switch {
	case !finite(p.Weight) || p.Weight == 0:
		return &ConfigError{path + "Weight", "a finite number above 0", p.Weight}
	case !finite(p.Price):
		return &ConfigError{path + "Price", expectedFinite, p.Price}
	case !finite(p.RateLimit):
		return &ConfigError{path + "RateLimit", expectedFinite, p.RateLimit}
	case !finite(p.Burst):
		return &ConfigError{path + "Burst", expectedFinite, p.Burst}
	case !finite(p.Slack):
		return &ConfigError{path + "Slack", expectedFinite, p.Slack}
	case !finite(p.Reserve):
		return &ConfigError{path + "Reserve", expectedFinite, p.Reserve}
	}
	return nil
}
