// Package modelcheck drives the real exchange, dispatcher and connection readers
// through every ordering of events in small worlds, and through long random ones,
// and checks the rules from what crosses the wire. It owns time and every source of
// events; it does no I/O.
package modelcheck

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"fmt"
	"slices"
	"time"
)

const ms = time.Millisecond

// The classes of all scenarios.
const (
	idempotentClass = iota
	keyedClass
	orderedClass
	unsafeClass
)

// requestSpec is a request that clients may make.
type requestSpec struct {
	class         int
	key           string
	shard         dispatch.Shard
	notReplayable bool // its body streams through and cannot be sent twice
	streamed      bool // its answer streams through
	loop          forwarder.LoopID
}

// nodeSpec is a node that may be listed.
type nodeSpec struct {
	id      dispatch.NodeID
	shard   dispatch.Shard
	initial bool // listed from the start
}

// Scenario is a small world: what may happen in it, and how often.
type Scenario struct {
	Name        string
	Description string

	requests []requestSpec
	nodes    []nodeSpec

	// How often each may happen, over all that it can happen to.
	drains, removes, lists, leaves, crashes, resets, garbage, fulls, errors, heads, dialFails, closes, flows, renews int

	// spread is how long after the first the last request may come.
	spread time.Duration

	configure func(*forwarder.Config)

	// prepare brings the world to where the exploring begins: what a gateway has
	// learned by then takes more moves than a search goes deep. nil: it begins fresh.
	prepare func(*World)
}

// Scenarios returns the worlds that are explored whole.
func Scenarios() []Scenario {
	successor := []nodeSpec{{id: "a", initial: true}, {id: "b"}}
	return []Scenario{
		{
			Name: "drain", Description: "a node drains, its successor is listed, then it is removed, while a safe and a keyed request run",
			requests: []requestSpec{{class: idempotentClass}, {class: keyedClass}}, nodes: successor,
			drains: 1, lists: 1, removes: 1, resets: 1, spread: 20 * ms,
		},
		{
			Name: "leave", Description: "clients leave at any moment, also while a further attempt waits",
			requests: []requestSpec{{class: idempotentClass}, {class: keyedClass}}, nodes: successor, leaves: 2, resets: 1, errors: 1, dialFails: 1, spread: 60 * ms,
		},
		{
			Name: "turn", Description: "two writes of one key, across a reset, a lost answer and a client that leaves",
			requests: []requestSpec{{class: orderedClass, key: "k"}, {class: orderedClass, key: "k"}}, nodes: successor, leaves: 1, resets: 1, drains: 1, lists: 1, spread: 60 * ms,
		},
		{
			Name: "window", Description: "a keyed write whose answer is lost, its window ending between decision and send",
			requests: []requestSpec{{class: keyedClass}}, nodes: successor, resets: 2, dialFails: 2, lists: 1, drains: 1, errors: 1,
			configure: func(c *forwarder.Config) { c.Dispatch.Classes[keyedClass].DedupWindow = 40 * ms },
		},
		{
			Name: "stream", Description: "bodies that flow, both ways, and break",
			requests: []requestSpec{{class: idempotentClass, streamed: true}, {class: keyedClass, notReplayable: true}}, nodes: successor, leaves: 1, resets: 1, heads: 2, flows: 1, fulls: 1, spread: 20 * ms,
		},
		{
			Name: "upload", Description: "uploads of one key that flow, and break",
			requests: []requestSpec{{class: orderedClass, key: "k", notReplayable: true}, {class: orderedClass, key: "k"}}, nodes: successor, leaves: 1, resets: 1, flows: 2, spread: 20 * ms,
		},
		{
			Name: "renew", Description: "a node is announced as a new process; connections grow old and are closed unused",
			requests: []requestSpec{{class: idempotentClass}, {class: idempotentClass}}, nodes: successor, renews: 1, drains: 1, resets: 1, closes: 1, spread: 100 * ms,
			configure: func(c *forwarder.Config) { c.IdleTimeout, c.MaxConnAge = 60*ms, 100*ms },
		},
		{
			Name: "silent", Description: "answers that do not come, so that attempts are given up early",
			requests: []requestSpec{{class: idempotentClass}, {class: idempotentClass}, {class: idempotentClass}}, nodes: successor[:1], spread: 500 * ms,
		},
		{
			Name: "body", Description: "one upload, whose node takes the body and may never answer", requests: []requestSpec{{class: keyedClass, notReplayable: true}}, nodes: successor,
			flows: 1, leaves: 1, resets: 1, fulls: 1, drains: 1,
		},
		{
			Name: "tries", Description: "one request whose attempts break again and again, with a budget for more than it may have", requests: []requestSpec{{class: idempotentClass}}, nodes: successor,
			resets: 4, errors: 2, dialFails: 1, configure: func(c *forwarder.Config) { c.Dispatch.RetryBudget.MinRetries = 8 },
		},
		{
			Name: "thrift", Description: "the same with a budget for one further attempt", requests: []requestSpec{{class: idempotentClass}}, nodes: successor,
			resets: 3, errors: 1, configure: func(c *forwarder.Config) { c.Dispatch.RetryBudget.MinRetries = 1 },
		},
		{
			Name: "lossy", Description: "a node that is known to lose answers, so that attempts end early and are made again",
			requests: []requestSpec{{class: idempotentClass}, {class: idempotentClass}, {class: idempotentClass}, {class: idempotentClass}, {class: keyedClass}}, nodes: successor, drains: 1, resets: 1, spread: 20 * ms,
			prepare: learnLostResponse,
		},
		{
			Name: "crash", Description: "the gateway ends and begins again with an old list, while a node drains",
			requests: []requestSpec{{class: idempotentClass}, {class: keyedClass}}, nodes: successor, crashes: 1, drains: 1, lists: 1, spread: 60 * ms,
		},
		{
			Name: "doubt", Description: "bytes that are no answer, more bytes than the answer, nodes that close idle connections",
			requests: []requestSpec{{class: idempotentClass}, {class: idempotentClass}}, nodes: successor, garbage: 1, closes: 1, fulls: 1, resets: 1, spread: 20 * ms,
		},
		{
			Name: "loops", Description: "two event loops that share one connection to a node",
			requests: []requestSpec{{class: idempotentClass}, {class: keyedClass, loop: 1}}, nodes: successor, leaves: 1, resets: 1, drains: 1, lists: 1, spread: 60 * ms,
			configure: func(c *forwarder.Config) { c.MaxConnsPerNode, c.MaxStreamsPerNode = 1, 0 },
		},
		{
			Name: "limits", Description: "few connections, a small budget, two shards",
			requests: []requestSpec{{class: idempotentClass}, {class: idempotentClass, shard: 1}, {class: unsafeClass}}, nodes: []nodeSpec{{id: "a", initial: true}, {id: "c", shard: 1, initial: true}},
			resets: 2, errors: 1, dialFails: 1,
			configure: func(c *forwarder.Config) {
				c.MaxConnsPerNode, c.MaxStreamsPerNode = 1, 0
				c.Dispatch.RetryBudget = dispatch.RetryBudget{MinRetries: 1, Ratio: 0, Window: 5 * time.Second}
			},
		},
		{
			Name: "three", Description: "two nodes and three requests: one safe, one keyed, one in turn",
			requests: []requestSpec{{class: idempotentClass}, {class: keyedClass}, {class: orderedClass, key: "k"}}, nodes: successor,
			drains: 1, lists: 1,
		},
		{
			Name: "lost", Description: "the same three requests, while a connection breaks and a node drains",
			requests: []requestSpec{{class: idempotentClass}, {class: keyedClass}, {class: orderedClass, key: "k"}}, nodes: successor, drains: 1, resets: 1,
		},
		{
			Name: "two", Description: "two nodes and two requests, in less than a minute", requests: []requestSpec{{class: idempotentClass}, {class: orderedClass, key: "k"}}, nodes: successor,
			drains: 1, lists: 1, resets: 1,
		},
	}
}

// learnLostResponse lets the first request have its answer in 5 ms, the second none, and the
// third one again: the node works, and answers were lost.
func learnLostResponse(w *World) {
	serve := func(c *request) {
		w.startRequest(c)
		for _, k := range w.sortedConns() {
			if !k.open {
				w.apply(Move{CompleteDial, uint32(k.id)})
			}
		}
		w.now += 5 * ms
		w.apply(Move{RespondOK, uint32(c.conn.id)})
	}
	serve(w.requests[0])
	w.startRequest(w.requests[1])
	w.advanceUntil(func() bool { return w.requests[1].finished() })
	w.now += 3 * time.Second
	serve(w.requests[2])
	w.now = (w.now/timeGrid + 1) * timeGrid
	w.firstArrival = 0
}

// advanceUntil lets time pass, and the timer fire, until something is so.
func (w *World) advanceUntil(done func() bool) {
	for !done() {
		w.now = max(w.now, w.wakeAt)
		w.apply(Move{Kind: FireTimer})
		w.runLoops()
	}
}

// HasHistory tells whether the world begins with a history, which a replay does not
// have in it.
func (s *Scenario) HasHistory() bool { return s.prepare != nil }

// ScenarioByName returns a scenario by its name.
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
	var out []string
	for _, s := range Scenarios() {
		out = append(out, s.Name)
	}
	return out
}

// timeGrid is how far before a moment at which something is due it counts as before. All
// times of the settings are multiples of twice as much, so that moments that follow
// from each other in different ways coincide, and states do.
const timeGrid = 10 * ms

// config returns the settings of a scenario's gateway.
func (s *Scenario) config() forwarder.Config {
	c := forwarder.Config{
		Seed: 1, MaxConnsPerNode: 4, MaxStreamsPerNode: 2, IdleTimeout: 5 * time.Second, MaxConnAge: 20 * time.Second,
		DialTimeout: 100 * ms, MaxRequests: 64,
		Dispatch: dispatch.Config{
			DispatcherCount: 1, CancelAttempts: true, MaxRetryAfter: time.Second, MaxAttempts: 3,
			MeanUnits: 1, MaxUnits: 8, Quiescence: 60 * ms, RoundTrip: ms,
			RetryBudget: dispatch.RetryBudget{MinRetries: 2, Ratio: 0, Window: 5 * time.Second},
			Classes: []dispatch.Class{
				{Name: "safe", LatencyObjective: 200 * ms, Deadline: 400 * ms, PriorityWeight: 1},
				{Name: "keyed", LatencyObjective: 300 * ms, Deadline: 500 * ms, PriorityWeight: 1, Idempotency: dispatch.Deduplicated, DedupScope: dispatch.DedupPerShard, DedupWindow: 160 * ms},
				{Name: "in turn", LatencyObjective: 300 * ms, Deadline: 500 * ms, PriorityWeight: 1, Idempotency: dispatch.Deduplicated, DedupScope: dispatch.DedupPerShard, DedupWindow: 2 * time.Second, Ordered: true},
				{Name: "unsafe", LatencyObjective: 300 * ms, Deadline: 500 * ms, PriorityWeight: 1, Idempotency: dispatch.NonIdempotent},
			},
			Plans: []dispatch.Plan{{Name: "p", Weight: 1, Price: 1}},
		},
	}
	if s.configure != nil {
		s.configure(&c)
	}
	return c
}

// ScenarioRequest is a request of a scenario, for those who play it elsewhere.
type ScenarioRequest struct {
	Class                   string // safe, keyed, in turn, unsafe
	Key                     string
	Shard                   int
	NotReplayable, Streamed bool
}

// Requests returns the scenario's requests, the first one being number 1.
func (s *Scenario) Requests() []ScenarioRequest {
	var out []ScenarioRequest
	for _, a := range s.requests {
		out = append(out, ScenarioRequest{[]string{"safe", "keyed", "in turn", "unsafe"}[a.class], a.key, int(a.shard), a.notReplayable, a.streamed})
	}
	return out
}

// Nodes returns the scenario's nodes, with whether they are listed from the start.
func (s *Scenario) Nodes() map[string]bool {
	out := map[string]bool{}
	for _, p := range s.nodes {
		out[string(p.id)] = p.initial
	}
	return out
}
