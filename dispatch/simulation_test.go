package dispatch

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// scheduledEvent is an event for a dispatcher, or a function call, that is due at a given time.
type scheduledEvent struct {
	at          time.Duration
	sequence    int
	dispatcher  int // index of the dispatcher; negative for a function call
	incarnation int // incarnation of the dispatcher; events for an earlier incarnation are dropped
	event       Event
	call        func()
}

// eventQueue implements heap.Interface. The first event is the one that is due next.
type eventQueue []*scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*scheduledEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation passes a random valid sequence of events to dispatchers.
type simulation struct {
	rng                  *rand.Rand
	dispatcherConfig     Config        // settings of the dispatchers
	checkerConfig        Config        // settings of the checker and of the clients
	hideDrains           bool          // whether dispatchers see every node as ready
	graceReduction       time.Duration // how much earlier than usual the checker expects answers
	lossRate             float64       // share of the responses that are lost
	dispatchersPerVolume int
	now                  time.Duration
	queue                eventQueue
	sequence             int
	dispatchers          []*Dispatcher
	incarnations         []int
	attempts             []map[RequestID]int
	checker              *checker
	nextID               RequestID
	nodes                []Node
	actions              int
	actionHash           hash.Hash64 // hash of all actions, in order
}

// schedule adds an event for a dispatcher, or a function call if dispatcher is negative.
func (s *simulation) schedule(delay time.Duration, dispatcher int, e Event, call func()) {
	s.sequence++
	scheduled := &scheduledEvent{
		at:         s.now + delay,
		sequence:   s.sequence,
		dispatcher: dispatcher,
		event:      e,
		call:       call,
	}
	if dispatcher >= 0 {
		scheduled.incarnation = s.incarnations[dispatcher]
	}
	heap.Push(&s.queue, scheduled)
}

// start starts dispatcher i, or restarts it without its state.
func (s *simulation) start(i int) {
	cfg := s.dispatcherConfig
	cfg.DispatcherIndex = i
	d, err := New(cfg, s.rng.Uint64())
	if err != nil {
		panic(err)
	}
	s.incarnations[i]++
	s.dispatchers[i] = d
	s.attempts[i] = map[RequestID]int{}
	s.checker.startInstance(i)
	s.deliver(i, EndpointUpdate{Kind: Cached, Nodes: slices.Clone(s.nodes)})
}

// deliver passes an event to dispatcher i and performs the resulting actions.
func (s *simulation) deliver(i int, e Event) {
	s.checker.observeEvent(i, s.now, e)
	if update, ok := e.(EndpointUpdate); ok && s.hideDrains {
		update.Nodes = slices.Clone(update.Nodes)
		for i := range update.Nodes {
			update.Nodes[i].State = Ready
		}
		e = update
	}
	for _, a := range s.dispatchers[i].Handle(s.now, e) {
		s.actions++
		_, _ = fmt.Fprintf(s.actionHash, "%v %d %T%v\n", s.now, i, a, a)
		s.checker.observeAction(i, s.now, a)
		switch a := a.(type) {
		case SetTimer:
			s.schedule(a.At-s.now, i, TimerFired{a.Token}, nil)
		case SendAttempt:
			s.completeAttempt(i, a)
		}
	}
}

// completeAttempt chooses at random how an attempt ends and schedules its completion. The
// checker's record of the request contains its deadline.
func (s *simulation) completeAttempt(i int, a SendAttempt) {
	attempt := s.attempts[i][a.ID]
	s.attempts[i][a.ID]++
	r := s.checker.instances[i].requests[a.ID]
	remaining := r.arrivedAt + r.request.Timeout - s.now
	if a.Deadline > 0 {
		remaining = min(remaining, max(0, a.Deadline-s.now))
	}
	result := OK
	latency := time.Duration(2+s.rng.IntN(60)) * ms
	switch x := s.rng.Float64(); {
	case x < 0.25:
		result = []AttemptResult{ServerError, Rejected, ConnectFailed, ConnectionReset}[s.rng.IntN(4)]
	case x < 0.25+s.lossRate:
		latency = time.Hour
	case unitsSince(s.checker.served[a.Node], s.now-time.Second) >= s.checker.capacity(s.checker.nodes[a.Node], s.now):
		result = Rejected // the node is at its capacity
	}
	if latency >= remaining {
		result = TimedOut
		latency = remaining
	}
	s.schedule(latency, i, AttemptCompleted{
		ID: a.ID, Attempt: attempt, Node: a.Node, Result: result, Responded: result == OK, Latency: latency,
		QuotaUsage: float64(s.rng.IntN(400)), PeerUnits: float64(s.rng.IntN(3)),
		LoadReport: LoadReport{"inflight": float64(s.rng.IntN(60) - 2)},
	}, nil)
}

// sendRequest passes a random request to dispatcher i.
func (s *simulation) sendRequest(i int) {
	s.nextID++
	volume := i/s.dispatchersPerVolume*2 + s.rng.IntN(2)
	q := Request{
		ID: s.nextID, Class: s.rng.IntN(len(s.checkerConfig.Classes)), Plan: volume % 2, Volume: VolumeID(fmt.Sprint("v", volume)),
		Units: float64(1 + s.rng.IntN(8)), Dispatchers: s.dispatchersPerVolume, Shard: Shard(s.rng.IntN(3)),
	}
	if s.rng.IntN(8) == 0 {
		q.Shard = AnyShard
	}
	if s.rng.IntN(2) == 0 {
		q.Key = fmt.Sprint("k", s.rng.IntN(3))
	}
	q.Timeout = s.checkerConfig.Classes[q.Class].Deadline
	s.deliver(i, q)
	if s.rng.IntN(50) == 0 {
		s.schedule(time.Duration(s.rng.IntN(100))*ms, i, ClientCanceled{q.ID}, nil)
	}
}

// changeNode drains, removes or starts a random node and notifies every dispatcher.
func (s *simulation) changeNode() {
	i := s.rng.IntN(len(s.nodes))
	n := &s.nodes[i]
	switch n.State {
	case Ready:
		n.State = []NodeState{Draining, Removed}[s.rng.IntN(2)]
	default:
		n.State = Ready
		n.Started = s.now
	}
	s.checker.nodes[n.ID] = *n
	for to := range s.dispatchers {
		s.schedule(0, to, EndpointUpdate{Kind: Delta, Nodes: []Node{*n}}, nil)
	}
}

// run simulates heavy random traffic for the given duration. It returns the first violation of
// each invariant.
func (s *simulation) run(duration time.Duration) map[string]string {
	s.now = time.Hour
	end := s.now + duration
	s.dispatchers = make([]*Dispatcher, s.checkerConfig.DispatcherCount)
	s.incarnations = make([]int, s.checkerConfig.DispatcherCount)
	s.attempts = make([]map[RequestID]int, s.checkerConfig.DispatcherCount)
	s.checker = newChecker(s.checkerConfig)
	s.checker.answerGrace -= s.graceReduction
	for i := range 3 {
		n := Node{ID: NodeID(fmt.Sprint("n", i)), Shard: Shard(i)}
		s.nodes = append(s.nodes, n)
		s.checker.nodes[n.ID] = n
	}
	for i := range s.dispatchers {
		s.start(i)
	}
	var tick func()
	tick = func() {
		if s.now >= end {
			return
		}
		for range 1 + s.rng.IntN(4) {
			s.sendRequest(s.rng.IntN(len(s.dispatchers)))
		}
		if s.rng.IntN(150) == 0 {
			s.changeNode()
		}
		if s.rng.IntN(400) == 0 {
			s.start(s.rng.IntN(len(s.dispatchers)))
		}
		s.checker.checkOverdue(s.now)
		s.schedule(time.Duration(1+s.rng.IntN(20))*ms, -1, nil, tick)
	}
	s.schedule(0, -1, nil, tick)
	for len(s.queue) > 0 && s.now < end+10*time.Second {
		next := heap.Pop(&s.queue).(*scheduledEvent)
		s.now = max(s.now, next.at)
		switch {
		case next.dispatcher < 0:
			next.call()
		case next.incarnation == s.incarnations[next.dispatcher]:
			canceled, ok := next.event.(ClientCanceled)
			if ok && s.checker.instances[next.dispatcher].requests[canceled.ID].answered {
				continue
			}
			s.deliver(next.dispatcher, next.event)
		}
	}
	s.checker.checkOverdue(s.now)
	return s.checker.violations
}

func newSimulation(seed uint64) *simulation {
	return newLargeSimulation(seed, 3, 3)
}

// newLargeSimulation returns a simulation in which each group of perVolume dispatchers serves
// two volumes.
func newLargeSimulation(seed uint64, dispatchers, perVolume int) *simulation {
	cfg := testConfig()
	cfg.DispatcherCount = dispatchers
	cfg.MeanUnits = 4.5 // the mean of the costs from 1 to 8 that sendRequest chooses
	return &simulation{
		rng:                  rand.New(rand.NewPCG(seed, 7)),
		dispatcherConfig:     cfg,
		checkerConfig:        cfg,
		lossRate:             0.03,
		dispatchersPerVolume: perVolume,
		actionHash:           fnv.New64a(),
	}
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(4) {
		s := newSimulation(seed)
		if violations := s.run(30 * time.Second); len(violations) > 0 {
			t.Errorf("seed %d: got violations %v, want none", seed, violations)
		}
		if s.actions < 1000 {
			t.Errorf("seed %d: got %d actions, want at least 1000", seed, s.actions)
		}
	}
}

// TestManyDispatchersKeepInvariants checks the invariants with many dispatchers that each have
// little traffic, lose many responses and restart.
func TestManyDispatchersKeepInvariants(t *testing.T) {
	for seed := range uint64(2) {
		s := newLargeSimulation(seed, 160, 4)
		s.lossRate = 0.2
		if violations := s.run(40 * time.Second); len(violations) > 0 {
			t.Errorf("seed %d: got violations %v, want none", seed, violations)
		}
		if s.actions < 1000 {
			t.Errorf("seed %d: got %d actions, want at least 1000", seed, s.actions)
		}
	}
}

// TestCheckerFindsMissingGuard checks that the checker finds a violation of each invariant that
// the dispatchers do not enforce. Each case hides from the dispatchers the setting or event
// that they need to enforce the invariant.
func TestCheckerFindsMissingGuard(t *testing.T) {
	for invariant, disable := range map[string]func(*simulation){
		"idempotency": func(s *simulation) {
			s.dispatcherConfig.Classes = slices.Clone(s.dispatcherConfig.Classes)
			s.dispatcherConfig.Classes[nonIdempotentClass].Idempotency = Idempotent
		},
		"order": func(s *simulation) {
			s.dispatcherConfig.Classes = slices.Clone(s.dispatcherConfig.Classes)
			s.dispatcherConfig.Classes[deduplicatedClass].Ordered = false
		},
		"budget": func(s *simulation) {
			s.dispatcherConfig.RetryBudget = RetryBudget{}
			s.dispatcherConfig.Classes = slices.Clone(s.dispatcherConfig.Classes)
			for i := range s.dispatcherConfig.Classes { // a long objective leaves time for retries
				s.dispatcherConfig.Classes[i].LatencyObjective = time.Minute
			}
		},
		"slow start": func(s *simulation) { s.dispatcherConfig.SlowStart = SlowStart{} },
		"drain":      func(s *simulation) { s.hideDrains = true },
		"limit": func(s *simulation) {
			s.dispatcherConfig.Plans = slices.Clone(s.dispatcherConfig.Plans)
			s.dispatcherConfig.Plans[limitedPlan].RateLimit = 0
		},
		"answer": func(s *simulation) {
			s.dispatcherConfig.Classes = slices.Clone(s.dispatcherConfig.Classes)
			for i := range s.dispatcherConfig.Classes { // the clients give up earlier than the dispatcher expects
				s.checkerConfig.Classes[i].Deadline = 50 * ms
				s.dispatcherConfig.Classes[i].LatencyObjective = time.Hour
			}
			s.graceReduction = 57 * ms
		},
	} {
		s := newSimulation(1)
		s.checkerConfig.Classes = slices.Clone(s.checkerConfig.Classes)
		disable(s)
		if violations := s.run(30 * time.Second); violations[invariant] == "" {
			t.Errorf("%s: got no violation of this invariant without its guard, want one (violations found: %v)", invariant, violations)
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a, b, other := newSimulation(5), newSimulation(5), newSimulation(6)
	for _, s := range []*simulation{a, b, other} {
		s.run(20 * time.Second)
	}
	if a.actions != b.actions || a.actions == 0 || a.actionHash.Sum64() != b.actionHash.Sum64() {
		t.Errorf("got %d and %d actions for the same events, want the same actions and at least one", a.actions, b.actions)
	}
	if a.actionHash.Sum64() == other.actionHash.Sum64() {
		t.Error("got the same actions for different events, want different actions")
	}
}
