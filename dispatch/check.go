// The check of the settings that a dispatcher is given.

package dispatch

import (
	"errors"
	"fmt"
	"math"
)

// checkConfig refuses settings that make no sense, naming the field.
func checkConfig(cfg Config) error {
	switch {
	case cfg.DispatcherCount < 1:
		return errors.New("Peers: want at least 1")
	case cfg.DispatcherIndex < 0 || cfg.DispatcherIndex >= cfg.DispatcherCount:
		return fmt.Errorf("Me: %d is not among %d peers", cfg.DispatcherIndex, cfg.DispatcherCount)
	case len(cfg.Classes) == 0:
		return errors.New("Classes: none given")
	case len(cfg.Plans) == 0:
		return errors.New("Plans: none given")
	case cfg.MaxAttempts < 0:
		return errors.New("MaxAttempts: negative")
	case cfg.RetryBudget.Window < 0 || cfg.RetryBudget.MinRetries < 0 || cfg.RetryBudget.Ratio < 0:
		return errors.New("Budget: negative")
	case cfg.SlowStart.InitialUnits > 0 &&
		(cfg.SlowStart.Window <= 0 ||
			cfg.SlowStart.InitialCapacity <= 0 || cfg.SlowStart.InitialCapacity > 1):
		return errors.New("Cold: YoungLimit needs a Span and a From in (0, 1]")
	}
	for i, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("Classes[%d].Aim, Deadline: want above 0", i)
		}
		if c.Idempotency == Deduplicated && c.DedupWindow < 0 {
			return fmt.Errorf("Classes[%d].Window: negative", i)
		}
	}
	for i, p := range cfg.Plans {
		if !(p.Weight > 0) || math.IsInf(p.Weight, 0) {
			return fmt.Errorf("Plans[%d].Weight: want above 0", i)
		}
		if p.RateLimit < 0 || p.Burst < 0 || p.Slack < 0 || p.Reserve < 0 {
			return fmt.Errorf("Plans[%d]: negative figure", i)
		}
	}
	return nil
}

// valid tells whether a request's figures can be acted on.
func (d *Dispatcher) valid(e Request) bool {
	return e.Class >= 0 && e.Class < len(d.cfg.Classes) && e.Plan >= 0 && e.Plan < len(d.cfg.Plans) &&
		e.Units >= 0 && e.Timeout > 0
}
