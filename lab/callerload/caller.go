package callerload

import (
	"fmt"
	"time"

	"chalkstand/dispatch"
)

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
