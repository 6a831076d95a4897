package fairshare

import (
	"fmt"
	"math"
	"time"
)

// Bounds of the settings of a scheduler.
const (
	maxByteTime         = 1000 // nanoseconds
	minWindow           = time.Microsecond
	maxWindow           = time.Minute
	maxInProgressWeight = 1000
	maxFlows            = 1 << 24
)

// ConfigError reports a setting that is out of range.
type ConfigError struct {
	Field    string // the field of Config or GateConfig
	Got      any
	Expected string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("fairshare: %s is %v, want %s", e.Field, e.Got, e.Expected)
}

// Config holds the settings of a scheduler.
type Config struct {
	// ByteTime is the cost of a byte in nanoseconds, 0 to 1000. A service costs the larger of
	// the time that it took and its bytes times ByteTime, so that flows which mainly move
	// bytes share them exactly by weight, although the time per byte varies.
	ByteTime float64
	// Window bounds how far a flow's tag can run ahead of virtual time because of one long
	// service or of work on other loops. A longer window remembers more, and lets a flow that
	// was waiting go first for longer.
	Window time.Duration
	// Flows bounds how many flows are kept; the names beyond it share one flow.
	Flows int
	// InProgressWeight is the weight, within a flow, of items in progress (Push) against that of
	// new ones (PushNew), which is 1. In a single queue many new requests would delay the
	// few responses in progress, and throughput would fall as load rises. A large weight
	// delays new requests where responses are many and long. 0 stands for 1.
	InProgressWeight float64
	// FIFO serves items in the order in which they were pushed, regardless of flow; it turns
	// fair sharing off, for comparison.
	FIFO bool
}

func (c Config) check() error {
	switch {
	case !(c.ByteTime >= 0 && c.ByteTime <= maxByteTime):
		return &ConfigError{Field: "ByteTime", Got: c.ByteTime, Expected: "0 to 1000 ns"}
	case c.Window < minWindow || c.Window > maxWindow:
		return &ConfigError{Field: "Window", Got: c.Window, Expected: "1µs to 1m"}
	case !(c.InProgressWeight >= 0 && c.InProgressWeight <= maxInProgressWeight):
		return &ConfigError{Field: "InProgressWeight", Got: c.InProgressWeight, Expected: "0 to 1000"}
	case c.Flows < 1 || c.Flows > maxFlows:
		return &ConfigError{Field: "Flows", Got: c.Flows, Expected: "1 to 16777216"}
	}
	return nil
}

// FlowConfig holds the weight and the rate limit of a flow.
type FlowConfig struct {
	Weight float64 // above 0; other values stand for 1
	Rate   float64 // bytes per second; 0: no limit
	Burst  float64 // bytes, capacity of the token bucket; at least 1
}

// normalized returns c with values out of range replaced by defaults.
func (c FlowConfig) normalized() FlowConfig {
	if !(c.Weight > 0) || math.IsInf(c.Weight, 0) {
		c.Weight = 1
	}
	if !(c.Rate > 0) || math.IsInf(c.Rate, 0) {
		c.Rate = 0
	}
	if !(c.Burst >= 1) || math.IsInf(c.Burst, 0) {
		c.Burst = 1
	}
	return c
}

// GateConfig holds the settings of a gate.
type GateConfig struct {
	Depth           int           // concurrent grants, 1 or more
	WaitersPerGrant int           // the gate allows one more grant for each so many waiting streams
	Quantum         int           // bytes that a stream may move under one grant
	GrantTimeout    time.Duration // after which a grant expires
	Window          time.Duration // as Config.Window, at one nanosecond per byte
	Flows           int           // as Config.Flows
	FIFO            bool          // as Config.FIFO
}

func (c GateConfig) check() error {
	switch {
	case c.Depth < 1:
		return &ConfigError{Field: "Depth", Got: c.Depth, Expected: "1 or more"}
	case c.WaitersPerGrant < 1:
		return &ConfigError{Field: "WaitersPerGrant", Got: c.WaitersPerGrant, Expected: "1 or more"}
	case c.Quantum < 1:
		return &ConfigError{Field: "Quantum", Got: c.Quantum, Expected: "1 byte or more"}
	case c.GrantTimeout <= 0:
		return &ConfigError{Field: "GrantTimeout", Got: c.GrantTimeout, Expected: "more than 0s"}
	}
	return nil
}
