// Package callerload measures how a dispatcher treats callers with different amounts of time. It
// simulates callers, dispatchers and storage nodes, with a clock of its own, so that equal
// settings give equal results. The results count in the callers' terms: who got a response in
// time, after how long, and how much work nodes did for callers that had left.
package callerload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/timerqueue"
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

const (
	nodeCount      = 4
	nodeCores      = 2
	nodeQueueLimit = 64
	meanService    = 40 * time.Millisecond
	serviceSpread  = 0.25 // service times are within this share of their mean
	roundTrip      = 2 * time.Millisecond
)

// capacity returns how many requests a second all nodes together serve.
func (s *Scenario) capacity() float64 {
	perNode := nodeCores / meanService.Seconds()
	return perNode * (nodeCount - 1 + 1/s.SlowNode)
}

// caller is one caller with its tries.
type caller struct {
	kind       int
	volume     int
	dispatcher int
	shard      dispatch.Shard
	arrivedAt  time.Duration
	tries      int
}

// try is one request of a caller.
type try struct {
	id       dispatch.RequestID
	caller   *caller
	index    int // index into Result.Tries
	deadline time.Duration
	answers  int
	over     bool     // whether the client has its answer or has left
	attempt  int      // number of the current attempt, from 0; -1 before the first
	current  *attempt // the attempt in flight, or nil
}

// attempt is a request at a node.
type attempt struct {
	try    *try
	number int
	node   *node
	sentAt time.Duration
}

// node is a storage node with a queue in order of arrival.
type node struct {
	id     dispatch.NodeID
	factor float64
	busy   int
	queue  []*attempt
	served map[int]int  // units served by volume
	known  map[flow]int // part of served that a dispatcher knows of
}

// flow is a volume's requests through one dispatcher.
type flow struct{ volume, dispatcher int }

// peerUnits counts a served request. It returns the units that the node has served for the volume
// through other dispatchers since it last answered this one.
func (n *node) peerUnits(c *caller) float64 {
	f := flow{c.volume, c.dispatcher}
	n.served[c.volume]++
	others := n.served[c.volume] - n.known[f] - 1
	n.known[f] = n.served[c.volume]
	return float64(others)
}

// simulation is the state of a run.
type simulation struct {
	scenario    Scenario
	rng         *rand.Rand
	now         time.Duration
	events      timerqueue.Queue[func()]
	dispatchers []*dispatch.Dispatcher
	nodes       map[dispatch.NodeID]*node
	tries       map[dispatch.RequestID]*try
	lastID      dispatch.RequestID
	callers     []*caller
	latencies   [][]time.Duration
	work        time.Duration
	wasted      time.Duration
	result      Result
}

// Run simulates a scenario with a dispatcher that has the given settings. The error is that of
// dispatch.New.
func Run(cfg dispatch.Config, s Scenario) (Result, error) {
	sim := &simulation{
		scenario:  s,
		rng:       rand.New(rand.NewPCG(s.Seed, 1)),
		now:       time.Hour,
		nodes:     map[dispatch.NodeID]*node{},
		tries:     map[dispatch.RequestID]*try{},
		latencies: make([][]time.Duration, len(s.Kinds)),
	}
	cfg.DispatcherCount = s.Dispatchers
	for i := range s.Dispatchers {
		cfg.DispatcherIndex = i
		d, err := dispatch.New(cfg, s.Seed+uint64(i))
		if err != nil {
			return Result{}, fmt.Errorf("callerload: %w", err)
		}
		sim.dispatchers = append(sim.dispatchers, d)
	}
	sim.startNodes()
	end := sim.now + s.Duration
	sim.scheduleArrival(end)
	sim.run()
	return sim.summarize(), nil
}

func (s *simulation) startNodes() {
	var entries []dispatch.Node
	for i := range nodeCount {
		n := &node{
			id: dispatch.NodeID(fmt.Sprint("n", i)), factor: 1, served: map[int]int{}, known: map[flow]int{},
		}
		if i == 0 {
			n.factor = s.scenario.SlowNode
		}
		s.nodes[n.id] = n
		entries = append(entries, dispatch.Node{ID: n.id, Shard: dispatch.Shard(i)})
	}
	for i := range s.dispatchers {
		s.handle(i, dispatch.EndpointUpdate{Kind: dispatch.Snapshot, Nodes: entries})
	}
}

// after schedules a function call.
func (s *simulation) after(delay time.Duration, call func()) { s.events.Add(s.now+max(delay, 0), call) }

// run executes the scheduled calls until no caller is left.
func (s *simulation) run() {
	for {
		at, pending := s.events.Next()
		if !pending || len(s.callers) > 0 && s.idleSince(at) {
			return
		}
		s.now = max(s.now, at)
		call, _ := s.events.PopDue(s.now)
		call()
	}
}

// drainTime is how long a run goes on after its last caller has arrived.
const drainTime = 10 * time.Second

// idleSince reports whether the last caller arrived more than drainTime before the given time.
func (s *simulation) idleSince(at time.Duration) bool {
	return at > time.Hour+s.scenario.Duration+drainTime
}

// scheduleArrival lets the next caller arrive, at random intervals.
func (s *simulation) scheduleArrival(end time.Duration) {
	rate := s.scenario.Load * s.scenario.capacity()
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now >= end {
			return
		}
		s.arrive()
		s.scheduleArrival(end)
	})
}

// arrive lets a caller arrive. The nodes get callers by the work that they can do.
func (s *simulation) arrive() {
	shard := dispatch.Shard(0)
	if s.rng.Float64()*(nodeCount-1+1/s.scenario.SlowNode) >= 1/s.scenario.SlowNode {
		shard = dispatch.Shard(1 + s.rng.IntN(nodeCount-1))
	}
	c := &caller{
		kind:       len(s.callers) % len(s.scenario.Kinds),
		volume:     s.rng.IntN(s.scenario.Volumes),
		dispatcher: s.rng.IntN(len(s.dispatchers)),
		shard:      shard,
		arrivedAt:  s.now,
	}
	s.callers = append(s.callers, c)
	s.startTry(c)
}

// startTry sends the next request of a caller.
func (s *simulation) startTry(c *caller) {
	kind := s.scenario.Kinds[c.kind]
	c.tries++
	s.lastID++
	t := &try{
		id: s.lastID, caller: c, index: len(s.result.Tries), deadline: s.now + kind.Timeout, attempt: -1,
	}
	s.result.Tries = append(s.result.Tries, Try{
		Kind: c.kind, Number: c.tries - 1, Volume: c.volume, Shard: c.shard, StartedAt: s.now,
	})
	s.tries[t.id] = t
	s.after(kind.Timeout, func() { s.giveUp(t) })
	s.handle(c.dispatcher, dispatch.Request{
		ID: t.id, Class: kind.Class, Volume: dispatch.VolumeID(fmt.Sprint("v", c.volume)),
		Shard: c.shard, Units: 1, Dispatchers: s.scenario.Dispatchers, Timeout: kind.Timeout,
	})
}

// giveUp ends a try at its deadline. An attempt in flight times out, as the forwarder's timer would
// end it, and the client tries again if it has a try left.
func (s *simulation) giveUp(t *try) {
	if t.over {
		return
	}
	t.over = true
	if a := t.current; a != nil {
		s.completeAttempt(a, dispatch.TimedOut, false)
	}
	if t.answers == 0 {
		s.handle(t.caller.dispatcher, dispatch.ClientCanceled{ID: t.id})
	}
	s.tryAgain(t.caller, 0)
}

// tryAgain starts the caller's next try after a pause, if it has one left.
func (s *simulation) tryAgain(c *caller, pause time.Duration) {
	if c.tries < s.scenario.Kinds[c.kind].Tries {
		s.after(pause, func() { s.startTry(c) })
	}
}

// handle passes an event to a dispatcher and performs the actions.
func (s *simulation) handle(dispatcher int, ev dispatch.Event) {
	for _, action := range s.dispatchers[dispatcher].Handle(s.now, ev) {
		switch a := action.(type) {
		case dispatch.SendAttempt:
			s.sendAttempt(a)
		case dispatch.CancelAttempt:
			if t := s.tries[a.ID]; t != nil && t.current != nil && t.current.number == a.Attempt {
				canceled := t.current
				s.after(0, func() { s.completeAttempt(canceled, dispatch.Canceled, false) })
			}
		case dispatch.Reject:
			s.answer(a.ID, a.RetryAfter)
		case dispatch.Fail:
			s.answer(a.ID, 0)
		case dispatch.SetTimer:
			token := a.Token
			s.after(a.At-s.now, func() { s.handle(dispatcher, dispatch.TimerFired{Token: token}) })
		case dispatch.Watch:
		}
	}
}

// answer gives a client a final answer that is no response. The client tries again after the given
// time.
func (s *simulation) answer(id dispatch.RequestID, retryAfter time.Duration) {
	t := s.tries[id]
	t.answers++
	if t.answers > 1 {
		s.result.DoubleAnswers++
	}
	if s.now > t.deadline {
		s.result.LateAnswers++
	}
	if !t.over {
		t.over = true
		s.tryAgain(t.caller, retryAfter)
	}
}

// sendAttempt brings a request to a node, which rejects it if its queue is full.
func (s *simulation) sendAttempt(a dispatch.SendAttempt) {
	t := s.tries[a.ID]
	t.attempt++
	sent := &attempt{try: t, number: t.attempt, node: s.nodes[a.Node], sentAt: s.now}
	t.current = sent
	if a.Deadline > 0 && a.Deadline < t.deadline {
		s.after(a.Deadline-s.now, func() { s.completeAttempt(sent, dispatch.TimedOut, false) })
	}
	s.after(roundTrip/2, func() { s.arriveAtNode(sent) })
}

func (s *simulation) arriveAtNode(a *attempt) {
	n := a.node
	switch {
	case n.busy < nodeCores:
		s.serve(a)
	case len(n.queue) < nodeQueueLimit:
		n.queue = append(n.queue, a)
	default:
		s.after(roundTrip/2, func() { s.completeAttempt(a, dispatch.Rejected, false) })
	}
}

// serve lets a core of the node work on an attempt. The node does the work also for a client that
// has left.
func (s *simulation) serve(a *attempt) {
	n := a.node
	n.busy++
	mean := float64(meanService) * n.factor
	service := time.Duration(mean * (1 + serviceSpread*(2*s.rng.Float64()-1)))
	s.after(service, func() {
		n.busy--
		s.work += service
		if a.try.over || a.try.current != a {
			s.wasted += service
		}
		s.after(roundTrip/2, func() { s.completeAttempt(a, dispatch.OK, true) })
		if len(n.queue) > 0 {
			next := n.queue[0]
			n.queue = n.queue[1:]
			s.serve(next)
		}
	})
}

// completeAttempt reports the end of an attempt to the dispatcher, once.
func (s *simulation) completeAttempt(a *attempt, result dispatch.AttemptResult, responded bool) {
	t := a.try
	if t.current != a {
		return
	}
	t.current = nil
	completed := dispatch.AttemptCompleted{
		ID: t.id, Attempt: a.number, Node: a.node.id, Result: result,
		Responded: responded, Latency: s.now - a.sentAt,
	}
	if responded {
		s.countServed(t)
		completed.PeerUnits = a.node.peerUnits(t.caller)
	}
	s.handle(t.caller.dispatcher, completed)
}

// countServed records that a client got the response to its try.
func (s *simulation) countServed(t *try) {
	t.answers++
	if t.over {
		return
	}
	t.over = true
	c := t.caller
	s.result.Tries[t.index].Served = true
	s.latencies[c.kind] = append(s.latencies[c.kind], s.now-c.arrivedAt)
}

// summarize returns the result of the run.
func (s *simulation) summarize() Result {
	served := 0
	for i, kind := range s.scenario.Kinds {
		r := KindResult{Kind: kind, Served: len(s.latencies[i])}
		for _, c := range s.callers {
			if c.kind == i {
				r.Callers++
				r.Requests += c.tries
			}
		}
		if r.Served > 0 {
			slices.Sort(s.latencies[i])
			r.Median = s.latencies[i][r.Served/2]
		}
		served += r.Served
		s.result.Kinds = append(s.result.Kinds, r)
	}
	s.result.Goodput = float64(served) / (s.scenario.capacity() * s.scenario.Duration.Seconds())
	s.result.WastedWork = float64(s.wasted) / math.Max(float64(s.work), 1)
	return s.result
}
