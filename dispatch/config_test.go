package dispatch

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

func TestNewReturnsConfigError(t *testing.T) {
	for field, modify := range map[string]func(*Config){
		"DispatcherCount":             func(c *Config) { c.DispatcherCount = 0 },
		"DispatcherIndex":             func(c *Config) { c.DispatcherIndex = 2 },
		"Classes":                     func(c *Config) { c.Classes = nil },
		"Classes[1].LatencyObjective": func(c *Config) { c.Classes[1].LatencyObjective = 0 },
		"Classes[0].Deadline":         func(c *Config) { c.Classes[0].Deadline = -1 },
		"Classes[1].DedupWindow":      func(c *Config) { c.Classes[1].DedupWindow = -1 },
		"Plans":                       func(c *Config) { c.Plans = nil },
		"Plans[0].Weight":             func(c *Config) { c.Plans[0].Weight = 0 },
		"Plans[1].Weight":             func(c *Config) { c.Plans[1].Weight = math.NaN() },
		"Plans[1].RateLimit":          func(c *Config) { c.Plans[1].RateLimit = -1 },
		"Plans[0].Burst":              func(c *Config) { c.Plans[0].Burst = -1 },
		"Plans[0].Slack":              func(c *Config) { c.Plans[0].Slack = -1 },
		"Plans[0].Reserve":            func(c *Config) { c.Plans[0].Reserve = -1 },
		"SlowStart.Window":            func(c *Config) { c.SlowStart.Window = 0 },
		"SlowStart.InitialCapacity":   func(c *Config) { c.SlowStart.InitialCapacity = 0 },
		"RetryBudget.Window":          func(c *Config) { c.RetryBudget.Window = -1 },
		"RetryBudget.MinRetries":      func(c *Config) { c.RetryBudget.MinRetries = -1 },
		"RetryBudget.Ratio":           func(c *Config) { c.RetryBudget.Ratio = -1 },
		"MaxAttempts":                 func(c *Config) { c.MaxAttempts = -1 },
	} {
		t.Run(field, func(t *testing.T) {
			cfg := testConfig()
			modify(&cfg)
			_, err := New(cfg, 1)
			var invalid *ConfigError
			if !errors.As(err, &invalid) || invalid.Field != field {
				t.Fatalf("New with an invalid field: got error %v, want a ConfigError for field %s", err, field)
			}
			if !strings.Contains(err.Error(), field+": expected ") {
				t.Errorf("got error text %q, want it to say which values are expected for %s", err, field)
			}
		})
	}
}

// TestNewRejectsNumbersThatAreNotFinite checks that New rejects negative, infinite and NaN
// values in every numeric field. Such a value would disable a rule, or spread through sums that
// never recover.
func TestNewRejectsNumbersThatAreNotFinite(t *testing.T) {
	for field, number := range map[string]func(*Config) *float64{
		"MeanUnits":                 func(c *Config) *float64 { return &c.MeanUnits },
		"MaxUnits":                  func(c *Config) *float64 { return &c.MaxUnits },
		"Plans[1].Weight":           func(c *Config) *float64 { return &c.Plans[1].Weight },
		"Plans[0].RateLimit":        func(c *Config) *float64 { return &c.Plans[0].RateLimit },
		"Plans[0].Burst":            func(c *Config) *float64 { return &c.Plans[0].Burst },
		"Plans[0].Slack":            func(c *Config) *float64 { return &c.Plans[0].Slack },
		"Plans[1].Reserve":          func(c *Config) *float64 { return &c.Plans[1].Reserve },
		"SlowStart.InitialUnits":    func(c *Config) *float64 { return &c.SlowStart.InitialUnits },
		"SlowStart.InitialCapacity": func(c *Config) *float64 { return &c.SlowStart.InitialCapacity },
		"SlowStart.OverloadFactor":  func(c *Config) *float64 { return &c.SlowStart.OverloadFactor },
		"RetryBudget.MinRetries":    func(c *Config) *float64 { return &c.RetryBudget.MinRetries },
		"RetryBudget.Ratio":         func(c *Config) *float64 { return &c.RetryBudget.Ratio },
	} {
		for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
			cfg := testConfig()
			*number(&cfg) = x
			_, err := New(cfg, 1)
			var invalid *ConfigError
			if !errors.As(err, &invalid) || invalid.Field != field {
				t.Errorf("New with field %s set to %g: got error %v, want a ConfigError for the field", field, x, err)
			}
		}
	}
}

// TestEventsWithNumbersThatAreNotFinite checks that infinite and NaN figures in events do not
// change any state.
func TestEventsWithNumbersThatAreNotFinite(t *testing.T) {
	r := newFixture(t, testConfig())
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		id, acts := r.request(Request{Shard: 0, Units: x})
		expectOutcome(t, "request of a cost that is not finite", acts, id, rejected)
		id, _ = r.request(Request{Shard: 0, Plan: unlimitedPlan})
		volume := r.d.requests[id].volume
		reserve, tokens := volume.reserve, volume.tokens
		r.handle(CostCorrection{Volume: "v", Node: "n0", Units: x})
		r.handle(AttemptCompleted{
			ID: id, Result: OK, Responded: true, Latency: 5 * ms,
			QuotaUsage: x, PeerUnits: x, LoadReport: LoadReport{"inflight": x},
		})
		if volume.reserve != reserve || volume.tokens != tokens || volume.quotaUsage != 0 {
			t.Errorf("after figures of %g: got reserve %g, want %g; got tokens %g, want %g; got quota usage %g, want 0",
				x, volume.reserve, reserve, volume.tokens, tokens, volume.quotaUsage)
		}
		if delay := r.d.expectedDelay(r.d.nodes["n0"]); delay < 0 || delay > time.Second {
			t.Errorf("after figures of %g: got expected delay %v, want 0 to 1 s", x, delay)
		}
	}
}

// TestExtremeSettingsAndRequests checks that settings and requests at the limits of their
// ranges are accepted or rejected, and never cause a panic.
func TestExtremeSettingsAndRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		modify  func(*Config)
		request Request
		want    outcome
	}{
		{"one dispatcher", func(c *Config) { c.DispatcherCount = 1 }, Request{Shard: 0}, sent},
		{"no mean or largest cost", func(c *Config) { c.MeanUnits, c.MaxUnits = 0, 0 }, Request{Shard: 0}, sent},
		{"no reserve", func(c *Config) { c.Plans[1].Reserve = 0 }, Request{Shard: 0, Plan: unlimitedPlan}, sent},
		{"an objective beyond the deadline", func(c *Config) { c.Classes[0].LatencyObjective = time.Hour }, Request{Shard: 0}, sent},
		{
			"a rate limit below one request", func(c *Config) { c.Plans[0].RateLimit, c.Plans[0].Burst, c.Plans[0].Slack = 1, 1, 1 },
			Request{Shard: 0, Units: 8},
			rejected,
		},
		{"a rate limit without a bucket", func(c *Config) { c.Plans[0].Burst, c.Plans[0].Slack = 0, 0 }, Request{Shard: 0}, rejected},
		{"negative units", func(*Config) {}, Request{Shard: 0, Units: -1}, rejected},
		{"no time left", func(*Config) {}, Request{Shard: 0, Timeout: -1}, rejected},
		{"an unknown plan", func(*Config) {}, Request{Shard: 0, Plan: 9}, rejected},
		{"no round trip", func(c *Config) { c.RoundTrip = 0 }, Request{Shard: 0}, sent},
		{"no key in a class that keeps order", func(*Config) {}, Request{Shard: 0, Class: deduplicatedClass}, sent},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			c.modify(&cfg)
			id, acts := newFixture(t, cfg).request(c.request)
			expectOutcome(t, c.name, acts, id, c.want)
		})
	}
	t.Run("a duplicate request is answered once", func(t *testing.T) {
		r := newFixture(t, testConfig())
		id, _ := r.request(Request{Shard: 0})
		if acts := r.handle(Request{ID: id, Shard: 0, Units: 1, Timeout: time.Second}); len(acts) > 0 {
			t.Errorf("got actions %v for a duplicate request, want none", acts)
		}
	})
}
