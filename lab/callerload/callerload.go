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

// capacity returns how many requests a second all nodes together serve.
func (s *Scenario) capacity() float64 {
	perNode := nodeCores / meanService.Seconds()
	return perNode * (nodeCount - 1 + 1/s.SlowNode)
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
