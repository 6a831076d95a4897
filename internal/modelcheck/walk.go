package modelcheck

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"fmt"
	"math/rand/v2"
)

// LargeScenario returns a world that is too large to be explored whole: so many nodes, two
// in three listed from the start, and requests of all kinds. It is walked at random.
func LargeScenario(nodes, requests int) Scenario {
	s := Scenario{Name: "large", Description: "many nodes and requests, at random"}
	shards := max(1, nodes*2/3)
	for i := range nodes {
		s.nodes = append(s.nodes, nodeSpec{id: dispatch.NodeID(fmt.Sprint("n", i)), shard: dispatch.Shard(i % shards), initial: i < shards})
	}
	for i := range requests {
		a := requestSpec{class: i % 4, shard: dispatch.Shard(i * 7 % shards), loop: forwarder.LoopID(i / 5 % loopCount)}
		switch {
		case a.class == orderedClass:
			a.key = fmt.Sprint("k", i%3, "/", a.shard)
		case i%8 == 0:
			a.streamed = true
		case i%8 == 1:
			a.notReplayable = true
		}
		s.requests = append(s.requests, a)
	}
	n := requests
	s.drains, s.removes, s.lists, s.leaves, s.crashes = shards/2, shards/2, nodes, n/4, 1
	s.resets, s.garbage, s.fulls, s.errors, s.heads, s.dialFails, s.closes, s.flows, s.renews = n/4, n/10, n/6, n/6, n/4, n/6, n/6, n/4, shards/2
	s.spread = 1 << 40
	s.configure = func(c *forwarder.Config) {
		c.MaxConnsPerNode = 3
		c.IdleTimeout = 60 * ms
		c.Dispatch.RetryBudget = dispatch.RetryBudget{MinRetries: 2, Ratio: 0.3, Window: 5000 * ms}
	}
	return s
}

// moveWeights says how likely the kinds of move are beside each other, so that a walk
// gets somewhere: most of what happens is work.
var moveWeights = [kindCount]int{
	StartRequest: 6, RunLoop0: 12, RunLoop1: 12, FireTimer: 12, CompleteDial: 8, FailDial: 1, RespondOK: 6, RespondAndClose: 1, RespondError: 1, RespondReject: 1, RespondStart: 3, RespondRest: 4,
	RespondInvalid: 1, RespondTwice: 1, ResetConn: 1, CancelRequest: 1, StreamBody: 3, FinishBody: 3, DrainNode: 1, RemoveNode: 1, AddNode: 1, RestartNode: 1, RestartGateway: 1, RefreshEndpoints: 2, AdvanceBefore: 3, AdvanceTo: 3,
}

// Walk takes moves at random, up to a number, and returns its path and the breach
// that it met. The same seed takes the same path.
func Walk(s Scenario, seed uint64, most int, cover *Coverage) ([]Move, *Violation) {
	rng := rand.New(rand.NewPCG(seed, 23))
	w := newWorld(&s)
	w.coverage = cover
	var path []Move
	for range most {
		m, ok := w.pick(rng.IntN)
		if !ok {
			w.checkEnd()
			break
		}
		path = append(path, m)
		w.apply(m)
		if w.checker.violation != nil {
			break
		}
	}
	return path, w.checker.violation
}

// pick chooses among what may happen, by weight.
func (w *World) pick(draw func(int) int) (Move, bool) {
	ms := w.enabledMoves(false)
	sum := 0
	for _, m := range ms {
		sum += moveWeights[m.Kind]
	}
	if sum == 0 {
		return Move{}, false
	}
	n := draw(sum)
	for _, m := range ms {
		if n -= moveWeights[m.Kind]; n < 0 {
			return m, true
		}
	}
	return Move{}, false
}
