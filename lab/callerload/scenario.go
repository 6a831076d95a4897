package callerload

import (
	"time"

	"chalkstand/dispatch"
)

// Kind is a kind of callers. A caller tries up to Tries times, each time for Timeout.
type Kind struct {
	Name    string
	Tries   int
	Timeout time.Duration
	Class   int // index into the classes of Config
}

// Scenario describes a run.
type Scenario struct {
	Load     float64       // callers, as a multiple of those that all nodes together can serve
	SlowNode float64       // factor by which the first node is slower than the others; at least 1
	Duration time.Duration // time in which callers arrive
	Seed     uint64
	Kinds    []Kind // each with the same number of callers
	Volumes  int    // volumes, whose callers are equally many

	Dispatchers int // dispatchers, whose callers are equally many
}

// KindResult is the result of a run for one kind of callers.
type KindResult struct {
	Kind
	Callers  int
	Served   int           // callers that got a response in time
	Requests int           // tries of all callers
	Median   time.Duration // median time from a caller's first try to its response, of those served
}

// Try describes one request of a caller.
type Try struct {
	Kind      int // index into Scenario.Kinds
	Number    int // number of the caller's earlier tries
	Volume    int
	Shard     dispatch.Shard
	StartedAt time.Duration
	Served    bool // whether the client got a response in time
}

// ServedShare returns the share of the callers that got a response in time.
func (r KindResult) ServedShare() float64 { return float64(r.Served) / float64(max(r.Callers, 1)) }

// Result is the result of a run.
type Result struct {
	Kinds []KindResult
	Tries []Try
	// Goodput is the number of callers served in time, as a share of those that the nodes can serve.
	Goodput float64
	// WastedWork is the share of the nodes' work for requests whose client had left or been answered.
	WastedWork float64
	// DoubleAnswers counts requests with more than one final answer, and LateAnswers those answered
	// after the client's time.
	DoubleAnswers, LateAnswers int
}
