package dispatch

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// scheduledEvent is something that is to reach a dispatcher.
type scheduledEvent struct {
	at          time.Duration
	sequence    int
	dispatcher  int
	incarnation int
	event       Event
	call        func()
}

type eventQueue []*scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*scheduledEvent)) }

func (q *eventQueue) Pop() any { o := *q; h := o[len(o)-1]; *q = o[:len(o)-1]; return h }

// simulation feeds dispatchers a random legal sequence of events. module is what the
// dispatchers are told, truth what the checker judges by.
type simulation struct {
	rng                  *rand.Rand
	config, actual       Config
	hideDrains           bool
	earlyBy              time.Duration // of the checker
	lossRate             float64       // share of answers that never come
	dispatchersPerVolume int           // of each volume
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
	actionHash           hash.Hash64 // of all actions, in order
}

func (s *simulation) schedule(dt time.Duration, to int, e Event, do func()) {
	s.sequence++
	h := &scheduledEvent{at: s.now + dt, sequence: s.sequence, dispatcher: to, event: e, call: do}
	if to >= 0 {
		h.incarnation = s.incarnations[to]
	}
	heap.Push(&s.queue, h)
}

func (s *simulation) start(i int) {
	c := s.config
	c.DispatcherIndex = i
	d, err := New(c, s.rng.Uint64())
	if err != nil {
		panic(err)
	}
	s.incarnations[i]++
	s.dispatchers[i], s.attempts[i] = d, map[RequestID]int{}
	s.checker.startInstance(i)
	s.deliver(i, EndpointUpdate{Kind: Cached, Nodes: append([]Node(nil), s.nodes...)})
}

func (s *simulation) deliver(i int, e Event) {
	s.checker.observeEvent(i, s.now, e)
	if l, ok := e.(EndpointUpdate); ok && s.hideDrains {
		var ns []Node
		for _, n := range l.Nodes {
			n.State = Ready
			ns = append(ns, n)
		}
		l.Nodes = ns
		e = l
	}
	for _, a := range s.dispatchers[i].Handle(s.now, e) {
		s.actions++
		fmt.Fprintf(s.actionHash, "%v %d %T%v\n", s.now, i, a, a)
		s.checker.observeAction(i, s.now, a)
		switch a := a.(type) {
		case SetTimer:
			s.schedule(a.At-s.now, i, TimerFired{a.Token}, nil)
		case SendAttempt:
			s.completeAttempt(i, a)
		}
	}
}

// completeAttempt draws how an attempt ends. A life's own record gives its deadline.
func (s *simulation) completeAttempt(i int, a SendAttempt) {
	no := s.attempts[i][a.ID]
	s.attempts[i][a.ID]++
	t := s.checker.instances[i].requests[a.ID]
	left := t.arrivedAt + t.request.Timeout - s.now
	if a.Deadline > 0 {
		left = min(left, max(0, a.Deadline-s.now))
	}
	st, took := OK, time.Duration(2+s.rng.IntN(60))*ms
	switch x := s.rng.Float64(); {
	case x < 0.25:
		st = []AttemptResult{ServerError, Rejected, ConnectFailed, ConnectionReset}[s.rng.IntN(4)]
	case x < 0.25+s.lossRate:
		took = time.Hour
	case unitsSince(s.checker.served[a.Node], s.now-time.Second) >= s.checker.capacity(s.checker.nodes[a.Node], s.now):
		st = Rejected // no node serves more than it can
	}
	if took >= left {
		st, took = TimedOut, left
	}
	s.schedule(took, i, AttemptCompleted{
		ID: a.ID, Attempt: no, Node: a.Node, Result: st, Responded: st == OK, Latency: took,
		QuotaUsage: float64(s.rng.IntN(400)), PeerUnits: float64(s.rng.IntN(3)),
		LoadReport: LoadReport{"inflight": float64(s.rng.IntN(60) - 2)},
	}, nil) // as good as seconds late
}

func (s *simulation) sendRequest(i int) {
	s.nextID++
	v := i/s.dispatchersPerVolume*2 + s.rng.IntN(2)
	q := Request{
		ID: s.nextID, Class: s.rng.IntN(len(s.actual.Classes)), Plan: v % 2, Volume: VolumeID(fmt.Sprint("v", v)),
		Units: float64(1 + s.rng.IntN(8)), Dispatchers: s.dispatchersPerVolume, Shard: Shard(s.rng.IntN(3)),
	}
	if s.rng.IntN(8) == 0 {
		q.Shard = AnyShard
	}
	if s.rng.IntN(2) == 0 {
		q.Key = fmt.Sprint("k", s.rng.IntN(3))
	}
	q.Timeout = s.actual.Classes[q.Class].Deadline
	s.deliver(i, q)
	if s.rng.IntN(50) == 0 {
		s.schedule(time.Duration(s.rng.IntN(100))*ms, i, ClientCanceled{q.ID}, nil)
	}
}

// changeNode drains, removes or starts a node and tells everyone, each with a delay.
func (s *simulation) changeNode() {
	i := s.rng.IntN(len(s.nodes))
	n := &s.nodes[i]
	switch n.State {
	case Ready:
		n.State = []NodeState{Draining, Removed}[s.rng.IntN(2)]
	default:
		n.State, n.Started = Ready, s.now
	}
	s.checker.nodes[n.ID] = *n
	for to := range s.dispatchers {
		s.schedule(0, to, EndpointUpdate{Kind: Delta, Nodes: []Node{*n}}, nil)
	}
}

// run plays some seconds of heavy random traffic and returns the rules broken.
func (s *simulation) run(length time.Duration) map[string]string {
	s.now = time.Hour
	end := s.now + length
	s.dispatchers, s.incarnations = make([]*Dispatcher, s.actual.DispatcherCount), make([]int, s.actual.DispatcherCount)
	s.attempts = make([]map[RequestID]int, s.actual.DispatcherCount)
	s.checker = newChecker(s.actual)
	s.checker.slack -= s.earlyBy
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
		h := heap.Pop(&s.queue).(*scheduledEvent)
		s.now = max(s.now, h.at)
		switch {
		case h.dispatcher < 0:
			h.call()
		case h.incarnation == s.incarnations[h.dispatcher]:
			if g, ok := h.event.(ClientCanceled); ok && s.checker.instances[h.dispatcher].requests[g.ID].answered {
				continue
			}
			s.deliver(h.dispatcher, h.event)
		}
	}
	s.checker.checkOverdue(s.now)
	return s.checker.violations
}

func newSimulation(seed uint64) *simulation {
	return newLargeSimulation(seed, 3, 3)
}

// newLargeSimulation has so many dispatchers, in sets that each share two volumes.
func newLargeSimulation(seed uint64, peers, hosts int) *simulation {
	cfg := testConfig()
	cfg.DispatcherCount, cfg.MeanUnits = peers, 4.5 // the mean of what request draws
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), config: cfg, actual: cfg, lossRate: 0.03, dispatchersPerVolume: hosts,
		actionHash: fnv.New64a(),
	}
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(4) {
		s := newSimulation(seed)
		if broken := s.run(30 * time.Second); len(broken) > 0 {
			t.Errorf("seed %d: %v", seed, broken)
		}
		if s.actions < 1000 {
			t.Errorf("seed %d: only %d actions", seed, s.actions)
		}
	}
}

// Many dispatchers that each see little, with many answers lost and restarts among them.
func TestManyDispatchersKeepInvariants(t *testing.T) {
	for seed := range uint64(2) {
		s := newLargeSimulation(seed, 160, 4)
		s.lossRate = 0.2
		if broken := s.run(40 * time.Second); len(broken) > 0 {
			t.Errorf("seed %d: %v", seed, broken)
		}
		if s.actions < 1000 {
			t.Errorf("seed %d: only %d actions", seed, s.actions)
		}
	}
}

// The checker finds each rule broken when the guard is taken away, here by
// withholding the setting or the news that the guard works by.
func TestCheckerFindsMissingGuard(t *testing.T) {
	for rule, without := range map[string]func(*simulation){
		"effects": func(s *simulation) {
			s.config.Classes = append([]Class(nil), s.config.Classes...)
			s.config.Classes[2].Idempotency = Idempotent
		},
		"order": func(s *simulation) {
			s.config.Classes = append([]Class(nil), s.config.Classes...)
			s.config.Classes[1].Ordered = false
		},
		"budget": func(s *simulation) {
			s.config.RetryBudget = RetryBudget{}
			s.config.Classes = append([]Class(nil), s.config.Classes...)
			for i := range s.config.Classes { // in no hurry, so that it tries again
				s.config.Classes[i].LatencyObjective = time.Minute
			}
		},
		"cold":  func(s *simulation) { s.config.SlowStart = SlowStart{} },
		"drain": func(s *simulation) { s.hideDrains = true },
		"limit": func(s *simulation) {
			s.config.Plans = append([]Plan(nil), s.config.Plans...)
			s.config.Plans[0].RateLimit = 0
		},
		"answer": func(s *simulation) {
			s.config.Classes = append([]Class(nil), s.config.Classes...)
			for i := range s.config.Classes { // it believes that clients wait for ever
				s.actual.Classes[i].Deadline = 50 * ms
				s.config.Classes[i].LatencyObjective = time.Hour
			}
			s.earlyBy = 57 * ms
		},
	} {
		s := newSimulation(1)
		s.actual.Classes = append([]Class(nil), s.actual.Classes...)
		without(s)
		if broken := s.run(30 * time.Second); broken[rule] == "" {
			t.Errorf("%s: not found without its guard (found %v)", rule, broken)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, b, other := newSimulation(5), newSimulation(5), newSimulation(6)
	for _, s := range []*simulation{a, b, other} {
		s.run(20 * time.Second)
	}
	if a.actions != b.actions || a.actions == 0 || a.actionHash.Sum64() != b.actionHash.Sum64() {
		t.Errorf("%d and %d actions from the same events, or not the same", a.actions, b.actions)
	}
	if a.actionHash.Sum64() == other.actionHash.Sum64() {
		t.Error("other events gave the same actions: the comparison tells nothing")
	}
}
