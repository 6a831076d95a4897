package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

const ms = time.Millisecond

// timeGrid is the resolution of "just before a deadline". All times of a scenario's settings
// are multiples of twice as much, so that deadlines which follow from each other in
// different ways coincide, and so do states.
const timeGrid = 10 * ms

// The classes of all scenarios.
const (
	idempotentClass = iota
	keyedClass      // deduplicated
	orderedClass    // deduplicated and ordered by key
	unsafeClass     // not idempotent
)

// classNames are the names of the classes, as replays on sockets know them.
var classNames = [...]string{
	idempotentClass: "safe",
	keyedClass:      "keyed",
	orderedClass:    "in turn",
	unsafeClass:     "unsafe",
}

// Scenario is a small world: its requests and nodes, and how often its faults may happen.
type Scenario struct {
	Name        string
	Description string

	requests []requestSpec
	nodes    []nodeSpec
	limits   moveCounts

	// arrivalWindow is the longest time from the first request's arrival to the last one's.
	arrivalWindow time.Duration

	// configure changes the settings; nil: not at all.
	configure func(*forwarder.Config)

	// prepare gives the gateway a history before the search starts, for what takes more
	// moves to learn than a search goes deep; nil: none.
	prepare func(*World)
}

// requestSpec is a request that a client may send.
type requestSpec struct {
	class         int
	key           string
	shard         dispatch.Shard
	notReplayable bool // its body is streamed
	streamed      bool // its response is streamed
	loop          forwarder.LoopID
}

// nodeSpec is a node that may be listed.
type nodeSpec struct {
	id      dispatch.NodeID
	shard   dispatch.Shard
	initial bool // listed from the start
}

// HasHistory reports whether the gateway has a history before the first move. A replay does
// not contain it.
func (s *Scenario) HasHistory() bool { return s.prepare != nil }

// ScenarioByName returns a scenario.
func ScenarioByName(name string) (Scenario, error) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, fmt.Errorf("no scenario is called %q; there are %v", name, ScenarioNames())
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

// ScenarioRequest describes a request of a scenario to those who replay it elsewhere.
type ScenarioRequest struct {
	Class                   string // safe, keyed, in turn or unsafe
	Key                     string
	Shard                   int
	NotReplayable, Streamed bool
}

// Requests returns the scenario's requests; the first one is number 1.
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

// Nodes returns the scenario's nodes, and whether each is listed from the start.
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
			Plans:           []dispatch.Plan{{Name: "p", Weight: 1, Price: 1}},
		},
	}
	if s.configure != nil {
		s.configure(&c)
	}
	return c
}

func classes() []dispatch.Class {
	deduplicated := dispatch.Class{
		LatencyObjective: 300 * ms,
		Deadline:         500 * ms,
		PriorityWeight:   1,
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
			PriorityWeight:   1,
		},
		keyedClass:   keyed,
		orderedClass: ordered,
		unsafeClass: {
			Name:             classNames[unsafeClass],
			LatencyObjective: 300 * ms,
			Deadline:         500 * ms,
			PriorityWeight:   1,
			Idempotency:      dispatch.NonIdempotent,
		},
	}
}
