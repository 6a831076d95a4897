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

// happening is something that is to reach a dispatcher.
type happening struct {
	at   time.Duration
	seq  int
	to   int
	life int
	what Event
	do   func()
}

type queueOf []*happening

func (q queueOf) Len() int { return len(q) }
func (q queueOf) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queueOf) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queueOf) Push(x any)   { *q = append(*q, x.(*happening)) }
func (q *queueOf) Pop() any     { o := *q; h := o[len(o)-1]; *q = o[:len(o)-1]; return h }

// storm feeds dispatchers a random legal sequence of events. module is what the
// dispatchers are told, truth what the checker judges by.
type storm struct {
	rng           *rand.Rand
	module, truth Config
	hideDrains    bool
	impatience    time.Duration // of the checker
	lost          float64       // share of answers that never come
	hosts         int           // of each volume
	now           time.Duration
	q             queueOf
	seq           int
	ds            []*Dispatcher
	lives         []int
	sent          []map[RequestID]int
	ck            *checker
	nextID        RequestID
	nodes         []Node
	acted         int
	said          hash.Hash64 // of all actions, in order
}

func (s *storm) later(dt time.Duration, to int, e Event, do func()) {
	s.seq++
	h := &happening{at: s.now + dt, seq: s.seq, to: to, what: e, do: do}
	if to >= 0 {
		h.life = s.lives[to]
	}
	heap.Push(&s.q, h)
}

func (s *storm) start(i int) {
	c := s.module
	c.DispatcherIndex = i
	d, err := New(c, s.rng.Uint64())
	if err != nil {
		panic(err)
	}
	s.lives[i]++
	s.ds[i], s.sent[i] = d, map[RequestID]int{}
	s.ck.begin(i)
	s.deliver(i, EndpointUpdate{Kind: Cached, Nodes: append([]Node(nil), s.nodes...)})
}

func (s *storm) deliver(i int, e Event) {
	s.ck.event(i, s.now, e)
	if l, ok := e.(EndpointUpdate); ok && s.hideDrains {
		var ns []Node
		for _, n := range l.Nodes {
			n.State = Ready
			ns = append(ns, n)
		}
		l.Nodes = ns
		e = l
	}
	for _, a := range s.ds[i].Handle(s.now, e) {
		s.acted++
		fmt.Fprintf(s.said, "%v %d %T%v\n", s.now, i, a, a)
		s.ck.action(i, s.now, a)
		switch a := a.(type) {
		case SetTimer:
			s.later(a.At-s.now, i, TimerFired{a.Token}, nil)
		case SendAttempt:
			s.outcome(i, a)
		}
	}
}

// outcome draws how an attempt ends. A life's own record gives its deadline.
func (s *storm) outcome(i int, a SendAttempt) {
	no := s.sent[i][a.ID]
	s.sent[i][a.ID]++
	t := s.ck.lives[i].reqs[a.ID]
	left := t.taken + t.req.Timeout - s.now
	if a.Deadline > 0 {
		left = min(left, max(0, a.Deadline-s.now))
	}
	st, took := OK, time.Duration(2+s.rng.IntN(60))*ms
	switch x := s.rng.Float64(); {
	case x < 0.25:
		st = []AttemptResult{ServerError, Rejected, ConnectFailed, ConnectionReset}[s.rng.IntN(4)]
	case x < 0.25+s.lost:
		took = time.Hour
	case unitsSince(s.ck.served[a.Node], s.now-time.Second) >= s.ck.capacity(s.ck.nodes[a.Node], s.now):
		st = Rejected // no node serves more than it can
	}
	if took >= left {
		st, took = TimedOut, left
	}
	s.later(took, i, AttemptCompleted{
		ID: a.ID, Attempt: no, Node: a.Node, Result: st, Responded: st == OK, Latency: took,
		QuotaUsage: float64(s.rng.IntN(400)), PeerUnits: float64(s.rng.IntN(3)),
		LoadReport: LoadReport{"inflight": float64(s.rng.IntN(60) - 2)},
	}, nil) // as good as seconds late
}

func (s *storm) request(i int) {
	s.nextID++
	v := i/s.hosts*2 + s.rng.IntN(2)
	q := Request{
		ID: s.nextID, Class: s.rng.IntN(len(s.truth.Classes)), Plan: v % 2, Volume: VolumeID(fmt.Sprint("v", v)),
		Units: float64(1 + s.rng.IntN(8)), Dispatchers: s.hosts, Shard: Shard(s.rng.IntN(3)),
	}
	if s.rng.IntN(8) == 0 {
		q.Shard = AnyShard
	}
	if s.rng.IntN(2) == 0 {
		q.Key = fmt.Sprint("k", s.rng.IntN(3))
	}
	q.Timeout = s.truth.Classes[q.Class].Deadline
	s.deliver(i, q)
	if s.rng.IntN(50) == 0 {
		s.later(time.Duration(s.rng.IntN(100))*ms, i, ClientCanceled{q.ID}, nil)
	}
}

// change drains, removes or starts a node and tells everyone, each with a delay.
func (s *storm) change() {
	i := s.rng.IntN(len(s.nodes))
	n := &s.nodes[i]
	switch n.State {
	case Ready:
		n.State = []NodeState{Draining, Removed}[s.rng.IntN(2)]
	default:
		n.State, n.Started = Ready, s.now
	}
	s.ck.nodes[n.ID] = *n
	for to := range s.ds {
		s.later(0, to, EndpointUpdate{Kind: Delta, Nodes: []Node{*n}}, nil)
	}
}

// run plays some seconds of heavy random traffic and returns the rules broken.
func (s *storm) run(length time.Duration) map[string]string {
	s.now = time.Hour
	end := s.now + length
	s.ds, s.lives = make([]*Dispatcher, s.truth.DispatcherCount), make([]int, s.truth.DispatcherCount)
	s.sent = make([]map[RequestID]int, s.truth.DispatcherCount)
	s.ck = newChecker(s.truth)
	s.ck.slack -= s.impatience
	for i := range 3 {
		n := Node{ID: NodeID(fmt.Sprint("n", i)), Shard: Shard(i)}
		s.nodes = append(s.nodes, n)
		s.ck.nodes[n.ID] = n
	}
	for i := range s.ds {
		s.start(i)
	}
	var tick func()
	tick = func() {
		if s.now >= end {
			return
		}
		for range 1 + s.rng.IntN(4) {
			s.request(s.rng.IntN(len(s.ds)))
		}
		if s.rng.IntN(150) == 0 {
			s.change()
		}
		if s.rng.IntN(400) == 0 {
			s.start(s.rng.IntN(len(s.ds)))
		}
		s.ck.late(s.now)
		s.later(time.Duration(1+s.rng.IntN(20))*ms, -1, nil, tick)
	}
	s.later(0, -1, nil, tick)
	for len(s.q) > 0 && s.now < end+10*time.Second {
		h := heap.Pop(&s.q).(*happening)
		s.now = max(s.now, h.at)
		switch {
		case h.to < 0:
			h.do()
		case h.life == s.lives[h.to]:
			if g, ok := h.what.(ClientCanceled); ok && s.ck.lives[h.to].reqs[g.ID].answered {
				continue
			}
			s.deliver(h.to, h.what)
		}
	}
	s.ck.late(s.now)
	return s.ck.broken
}

func newStorm(seed uint64) *storm {
	return newWideStorm(seed, 3, 3)
}

// newWideStorm has so many dispatchers, in sets that each share two volumes.
func newWideStorm(seed uint64, peers, hosts int) *storm {
	cfg := testConfig()
	cfg.DispatcherCount, cfg.MeanUnits = peers, 4.5 // the mean of what request draws
	return &storm{
		rng: rand.New(rand.NewPCG(seed, 7)), module: cfg, truth: cfg, lost: 0.03, hosts: hosts,
		said: fnv.New64a(),
	}
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(4) {
		s := newStorm(seed)
		if broken := s.run(30 * time.Second); len(broken) > 0 {
			t.Errorf("seed %d: %v", seed, broken)
		}
		if s.acted < 1000 {
			t.Errorf("seed %d: only %d actions", seed, s.acted)
		}
	}
}

// Many dispatchers that each see little, with many answers lost and restarts among them.
func TestManyDispatchersKeepTheRules(t *testing.T) {
	for seed := range uint64(2) {
		s := newWideStorm(seed, 160, 4)
		s.lost = 0.2
		if broken := s.run(40 * time.Second); len(broken) > 0 {
			t.Errorf("seed %d: %v", seed, broken)
		}
		if s.acted < 1000 {
			t.Errorf("seed %d: only %d actions", seed, s.acted)
		}
	}
}

// The checker finds each rule broken when the guard is taken away, here by
// withholding the setting or the news that the guard works by.
func TestCheckerFindsAMissingGuard(t *testing.T) {
	for rule, without := range map[string]func(*storm){
		"effects": func(s *storm) {
			s.module.Classes = append([]Class(nil), s.module.Classes...)
			s.module.Classes[2].Idempotency = Idempotent
		},
		"order": func(s *storm) {
			s.module.Classes = append([]Class(nil), s.module.Classes...)
			s.module.Classes[1].Ordered = false
		},
		"budget": func(s *storm) {
			s.module.RetryBudget = RetryBudget{}
			s.module.Classes = append([]Class(nil), s.module.Classes...)
			for i := range s.module.Classes { // in no hurry, so that it tries again
				s.module.Classes[i].LatencyObjective = time.Minute
			}
		},
		"cold":  func(s *storm) { s.module.SlowStart = SlowStart{} },
		"drain": func(s *storm) { s.hideDrains = true },
		"limit": func(s *storm) {
			s.module.Plans = append([]Plan(nil), s.module.Plans...)
			s.module.Plans[0].RateLimit = 0
		},
		"answer": func(s *storm) {
			s.module.Classes = append([]Class(nil), s.module.Classes...)
			for i := range s.module.Classes { // it believes that clients wait for ever
				s.truth.Classes[i].Deadline = 50 * ms
				s.module.Classes[i].LatencyObjective = time.Hour
			}
			s.impatience = 57 * ms
		},
	} {
		s := newStorm(1)
		s.truth.Classes = append([]Class(nil), s.truth.Classes...)
		without(s)
		if broken := s.run(30 * time.Second); broken[rule] == "" {
			t.Errorf("%s: not found without its guard (found %v)", rule, broken)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, b, other := newStorm(5), newStorm(5), newStorm(6)
	for _, s := range []*storm{a, b, other} {
		s.run(20 * time.Second)
	}
	if a.acted != b.acted || a.acted == 0 || a.said.Sum64() != b.said.Sum64() {
		t.Errorf("%d and %d actions from the same events, or not the same", a.acted, b.acted)
	}
	if a.said.Sum64() == other.said.Sum64() {
		t.Error("other events gave the same actions: the comparison tells nothing")
	}
}
