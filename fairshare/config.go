package fairshare

import (
	"fmt"
	"math"
	"time"
)

// These constants limit the fields of Config.
const (
	maxByteTime         = 1000 // nanoseconds per byte
	minWindow           = time.Microsecond
	maxWindow           = time.Minute
	maxInProgressWeight = 1000
	maxFlows            = 1 << 24
)

// ConfigError reports a setting that is out of range.
type ConfigError struct {
	Field    string // name of the field in Config or GateConfig
	Got      any
	Expected string // description of the valid values
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("fairshare: %s is %v, but must be %s", e.Field, e.Got, e.Expected)
}

// Config holds the settings of a Scheduler.
type Config struct {
	// ByteTime is the cost of a byte in nanoseconds, from 0 to 1000. A service costs the time
	// that it took or its bytes times ByteTime, whichever is larger. Flows that mainly move
	// bytes then share them exactly by weight, although the time per byte varies.
	ByteTime float64
	// Window limits how far one long service, or work on other loops, can move a flow's tag
	// ahead of virtual time. With a longer window the scheduler compensates for more of the
	// past service, so that a flow that was waiting goes first for longer.
	Window time.Duration
	// Flows is the maximum number of flows that the scheduler keeps. All names beyond it share
	// one flow.
	Flows int
	// InProgressWeight is the weight of a flow's items in progress (Push) relative to the
	// weight of its new items (PushNew), which is 1. In a single queue, many new requests
	// would delay the few responses in progress, and throughput would fall as load rises. A
	// large weight delays new requests if there are many long responses. 0 means 1.
	InProgressWeight float64
	// FIFO makes the scheduler serve all items in the order in which they were pushed,
	// regardless of their flow. It turns fair sharing off, for comparison.
	FIFO bool
}

// check returns a *ConfigError for the first field that is out of range.
func (c Config) check() error {
	switch {
	case !(c.ByteTime >= 0 && c.ByteTime <= maxByteTime):
		return &ConfigError{Field: "ByteTime", Got: c.ByteTime, Expected: "from 0 to 1000 ns"}
	case c.Window < minWindow || c.Window > maxWindow:
		return &ConfigError{Field: "Window", Got: c.Window, Expected: "from 1µs to 1m"}
	case !(c.InProgressWeight >= 0 && c.InProgressWeight <= maxInProgressWeight):
		return &ConfigError{Field: "InProgressWeight", Got: c.InProgressWeight, Expected: "from 0 to 1000"}
	case c.Flows < 1 || c.Flows > maxFlows:
		return &ConfigError{Field: "Flows", Got: c.Flows, Expected: "from 1 to 16777216"}
	}
	return nil
}

// FlowConfig holds the weight and the rate limit of a flow.
type FlowConfig struct {
	Weight float64 // a finite number above 0; any other value means 1
	Rate   float64 // bytes per second; 0 means no limit
	Burst  float64 // capacity of the token bucket in bytes; at least 1
}

// normalized returns a copy of c in which defaults replace the values that are out of range.
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

// GateConfig holds the settings of a Gate.
type GateConfig struct {
	Depth           int           // number of concurrent grants, 1 or more
	WaitersPerGrant int           // number of waiting streams for which the gate allows one more grant
	Quantum         int           // bytes that a stream may move under one grant
	GrantTimeout    time.Duration // time after which a grant expires
	Window          time.Duration // same as Config.Window, where a byte costs one nanosecond
	Flows           int           // same as Config.Flows
	FIFO            bool          // same as Config.FIFO
}

// check returns a *ConfigError for the first field that is out of range. It leaves Window
// and Flows to Config.check.
func (c GateConfig) check() error {
	switch {
	case c.Depth < 1:
		return &ConfigError{Field: "Depth", Got: c.Depth, Expected: "at least 1"}
	case c.WaitersPerGrant < 1:
		return &ConfigError{Field: "WaitersPerGrant", Got: c.WaitersPerGrant, Expected: "at least 1"}
	case c.Quantum < 1:
		return &ConfigError{Field: "Quantum", Got: c.Quantum, Expected: "at least 1 byte"}
	case c.GrantTimeout <= 0:
		return &ConfigError{Field: "GrantTimeout", Got: c.GrantTimeout, Expected: "more than 0s"}
	}
	return nil
}
