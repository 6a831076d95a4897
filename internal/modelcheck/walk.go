package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// LargeScenario returns a scenario for random walks, which is too large for a search. It has the
// given numbers of nodes and requests. Two in three nodes are listed from the start, and there
// are requests of all kinds.
func LargeScenario(nodes, requests int) Scenario {
	shards := max(1, nodes*2/3)
	s := Scenario{
		Name:          "large",
		Description:   "many nodes and requests, at random",
		arrivalWindow: 1 << 40, // so long that requests may arrive at any time
		limits: moveCounts{
			drains:          shards / 2,
			removes:         shards / 2,
			adds:            nodes,
			nodeRestarts:    shards / 2,
			gatewayRestarts: 1,
			cancels:         requests / 4,
			failedDials:     requests / 6,
			resets:          requests / 4,
			closes:          requests / 6,
			errors:          requests / 6,
			rejects:         requests / 6,
			invalids:        requests / 10,
			streams:         requests / 4,
			bodyStreams:     requests / 4,
		},
		configure: func(c *forwarder.Config) {
			c.MaxConnsPerNode = 3
			c.IdleTimeout = 60 * ms
			c.Dispatch.RetryBudget = dispatch.RetryBudget{MinRetries: 2, Ratio: 0.3, Window: 5 * time.Second}
		},
	}
	for i := range nodes {
		s.nodes = append(s.nodes, nodeSpec{
			id:      dispatch.NodeID(fmt.Sprint("n", i)),
			shard:   dispatch.Shard(i % shards),
			initial: i < shards,
		})
	}
	for i := range requests {
		s.requests = append(s.requests, largeRequest(i, shards))
	}
	return s
}

// largeRequest returns request i of a large scenario. The class, shard, event loop and kind of
// body alternate from one request to the next.
func largeRequest(i, shards int) requestSpec {
	r := requestSpec{
		class: i % len(classNames),
		shard: dispatch.Shard(i * 7 % shards),
		loop:  forwarder.LoopID(i / 5 % loopCount),
	}
	switch {
	case r.class == orderedClass:
		r.key = fmt.Sprint("k", i%3, "/", r.shard)
	case i%8 == 0:
		r.streamed = true
	case i%8 == 1:
		r.notReplayable = true
	}
	return r
}

// Walk takes random moves until no move is left, a rule is violated, or it has taken maxMoves
// moves. It returns the path and the violation, if any. The same seed leads to the same path.
func Walk(s Scenario, seed uint64, maxMoves int, coverage *Coverage) ([]Move, *Violation) {
	rng := rand.New(rand.NewPCG(seed, 23))
	w := newWorld(&s)
	w.coverage = coverage
	var path []Move
	for range maxMoves {
		m, ok := w.pickMove(rng.IntN)
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

// pickMove chooses one of the moves that can happen, with a probability in proportion to the
// weight of its kind. It returns false if no move can happen. intN must return a random number
// that is at least 0 and less than its argument.
func (w *World) pickMove(intN func(int) int) (Move, bool) {
	moves := w.enabledMoves(false)
	total := 0
	for _, m := range moves {
		total += kinds[m.Kind].weight
	}
	if total == 0 {
		return Move{}, false
	}
	n := intN(total)
	for _, m := range moves {
		if n -= kinds[m.Kind].weight; n < 0 {
			return m, true
		}
	}
	return Move{}, false
}
