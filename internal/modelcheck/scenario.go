package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

const ms = time.Millisecond

// timeGrid is the time unit of the simulated clock: "just before a deadline" is the last
// multiple of timeGrid before it. All times in a scenario's settings are multiples of twice
// this unit. Deadlines that are computed in different ways therefore coincide, and a search
// has to visit fewer distinct states.
const timeGrid = 10 * ms

// These constants are the indexes of the request classes. All scenarios have the same classes.
const (
	idempotentClass = iota
	keyedClass      // requests that the nodes deduplicate
	orderedClass    // requests that the nodes deduplicate and the gateway orders by key
	unsafeClass     // requests that are not idempotent
)

// classNames holds the names of the classes. Package schedulereplay refers to them.
var classNames = [...]string{
	idempotentClass: "safe",
	keyedClass:      "keyed",
	orderedClass:    "in turn",
	unsafeClass:     "unsafe",
}

// Scenario describes a small world: its requests, its nodes, and how often each fault may
// happen.
type Scenario struct {
	Name        string
	Description string

	requests []requestSpec
	nodes    []nodeSpec
	limits   moveCounts

	// arrivalWindow is the maximum time between the arrivals of the first and the last request.
	arrivalWindow time.Duration

	// configure changes the default settings of the gateway. If it is nil, the defaults apply.
	configure func(*forwarder.Config)

	// prepare gives the gateway a history before the search starts. It is for behavior that the
	// gateway learns only from more moves than a search can cover. If it is nil, the gateway has
	// no history.
	prepare func(*World)
}

// requestSpec describes a request that a client may send.
type requestSpec struct {
	class         int
	key           string
	shard         dispatch.Shard
	notReplayable bool // the gateway streams the request body and cannot send it again
	streamed      bool // the gateway streams the response
	loop          forwarder.LoopID
}

// nodeSpec describes a node that may be in the endpoint list.
type nodeSpec struct {
	id      dispatch.NodeID
	shard   dispatch.Shard
	initial bool // the node is in the endpoint list from the start
}

// HasHistory reports whether the gateway has a history before the first move. A replay does
// not contain this history.
func (s *Scenario) HasHistory() bool { return s.prepare != nil }

// ScenarioByName returns the scenario with the given name. If there is none, it returns an error
// that lists all names.
func ScenarioByName(name string) (Scenario, error) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, fmt.Errorf("scenario %q does not exist; available scenarios: %v", name, ScenarioNames())
	}
	return all[i], nil
}

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range Scenarios() {
		names = append(names, s.Name)
	}
	return names
}

// ScenarioRequest describes a request of a scenario to a package that replays the scenario
// outside the model checker.
type ScenarioRequest struct {
	Class                   string // class name: safe, keyed, in turn or unsafe
	Key                     string
	Shard                   int
	NotReplayable, Streamed bool
}

// Requests returns the scenario's requests in order. Moves refer to the first one as request 1.
func (s *Scenario) Requests() []ScenarioRequest {
	var requests []ScenarioRequest
	for _, r := range s.requests {
		requests = append(requests, ScenarioRequest{
			Class:         classNames[r.class],
			Key:           r.key,
			Shard:         int(r.shard),
			NotReplayable: r.notReplayable,
			Streamed:      r.streamed,
		})
	}
	return requests
}

// Nodes returns a map from the name of each node in the scenario to whether the endpoint list
// has the node from the start.
func (s *Scenario) Nodes() map[string]bool {
	nodes := map[string]bool{}
	for _, n := range s.nodes {
		nodes[string(n.id)] = n.initial
	}
	return nodes
}

// config returns the settings of the scenario's gateway.
func (s *Scenario) config() forwarder.Config {
	c := forwarder.Config{
		Seed:              1,
		MaxConnsPerNode:   4,
		MaxStreamsPerNode: 2,
		IdleTimeout:       5 * time.Second,
		MaxConnAge:        20 * time.Second,
		DialTimeout:       100 * ms,
		MaxRequests:       64,
		Dispatch: dispatch.Config{
			DispatcherCount: 1,
			CancelAttempts:  true,
			MaxRetryAfter:   time.Second,
			MaxAttempts:     3,
			MeanUnits:       1,
			MaxUnits:        8,
			Quiescence:      60 * ms,
			RoundTrip:       ms,
			RetryBudget:     dispatch.RetryBudget{MinRetries: 2, Ratio: 0, Window: 5 * time.Second},
			Classes:         classes(),
			Plans:           []dispatch.Plan{{Name: "p", Weight: 1}},
		},
	}
	if s.configure != nil {
		s.configure(&c)
	}
	return c
}

// classes returns the settings of the request classes.
func classes() []dispatch.Class {
	deduplicated := dispatch.Class{
		LatencyObjective: 300 * ms,
		Deadline:         500 * ms,
		Idempotency:      dispatch.Deduplicated,
		DedupScope:       dispatch.DedupPerShard,
	}
	keyed := deduplicated
	keyed.Name = classNames[keyedClass]
	keyed.DedupWindow = 160 * ms
	ordered := deduplicated
	ordered.Name = classNames[orderedClass]
	ordered.DedupWindow = 2 * time.Second
	ordered.Ordered = true
	return []dispatch.Class{
		idempotentClass: {
			Name:             classNames[idempotentClass],
			LatencyObjective: 200 * ms,
			Deadline:         400 * ms,
		},
		keyedClass:   keyed,
		orderedClass: ordered,
		unsafeClass: {
			Name:             classNames[unsafeClass],
			LatencyObjective: 300 * ms,
			Deadline:         500 * ms,
			Idempotency:      dispatch.NonIdempotent,
		},
	}
}
