package modelcheck

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Options configures a search.
type Options struct {
	Workers   int  // number of workers; 0 starts one worker for each core
	MaxStates int  // number of states after which the search stops; 0 sets no limit
	Reduce    bool // omit alternative orders of moves that commute
	Exact     bool // distinguish states by every digit of learned values
	Coverage  bool // count the transitions that the search takes
	// Progress is called after each depth of the search, unless it is nil.
	Progress func(depth, states int)
}

// Result is the result of a search.
type Result struct {
	Scenario  string
	States    int
	Moves     int64 // number of moves taken, including moves that led to known states
	Depth     int   // number of moves from the start to the deepest state
	EndStates int   // number of states in which no further move can happen
	Complete  bool  // the search visited every state
	Violation *Violation
	Path      []Move    // a shortest path to the violation
	Coverage  *Coverage // nil unless Options.Coverage is set
}

// String returns the result in one line.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %9d states, %10d moves, depth %3d, %6d ends", r.Scenario, r.States, r.Moves, r.Depth, r.EndStates)
	if r.Violation != nil {
		fmt.Fprintf(&b, ": VIOLATION after %d moves: %v", len(r.Path), r.Violation)
	} else if !r.Complete {
		b.WriteString(": not complete")
	}
	return b.String()
}

// Search visits every state of a scenario once, in breadth-first order. The path to the first
// violation is therefore a shortest one. The result does not depend on the number of workers.
func Search(ctx context.Context, s Scenario, o Options) Result {
	if o.Workers <= 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	search := &searcher{scenario: &s, options: o, result: Result{Scenario: s.Name, Complete: true}}
	if o.Coverage {
		search.result.Coverage = NewCoverage()
	}
	search.known.add(newFingerprinter(o.Exact).fingerprint(newWorld(&s)))
	frontier := []*searchNode{{}}
	for len(frontier) > 0 && search.result.Violation == nil {
		if ctx.Err() != nil || o.MaxStates > 0 && search.known.len() >= o.MaxStates {
			search.result.Complete = false
			break
		}
		frontier = search.expandFrontier(ctx, frontier)
		if len(frontier) > 0 {
			search.result.Depth++
		}
		if o.Progress != nil {
			o.Progress(search.result.Depth, search.known.len())
		}
	}
	if search.result.Violation != nil || ctx.Err() != nil {
		search.result.Complete = false
	}
	search.result.States = search.known.len()
	return search.result
}

// searchNode represents a state by its parent and the move that first led to it. The root has
// no parent.
type searchNode struct {
	parent *searchNode
	move   Move
}

// path returns the moves from the root to a node.
func (n *searchNode) path() []Move {
	var path []Move
	for ; n != nil && n.parent != nil; n = n.parent {
		path = append(path, n.move)
	}
	slices.Reverse(path)
	return path
}

// stateShards is the number of shards of a stateSet. Each shard has its own lock.
const stateShards = 64

// stateSet is the set of known states, which all workers share.
type stateSet struct {
	shards [stateShards]struct {
		mu     sync.Mutex
		states map[Fingerprint]struct{}
	}
	size atomic.Int64
}

func (s *stateSet) len() int { return int(s.size.Load()) }

// add adds a state. It returns false if the set already has the state.
func (s *stateSet) add(state Fingerprint) bool {
	shard := &s.shards[state[0]%stateShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.states == nil {
		shard.states = map[Fingerprint]struct{}{}
	}
	if _, known := shard.states[state]; known {
		return false
	}
	shard.states[state] = struct{}{}
	s.size.Add(1)
	return true
}

// searcher holds the state of a search in progress.
type searcher struct {
	scenario *Scenario
	options  Options
	known    stateSet

	mu     sync.Mutex
	result Result // mu guards the result while workers run
}

// batchSize is the number of states that a worker claims at a time.
const batchSize = 16

// expandFrontier takes every possible move from each state of one depth. It returns the states that
// the search has not seen before.
func (s *searcher) expandFrontier(ctx context.Context, frontier []*searchNode) []*searchNode {
	next := make([][]*searchNode, s.options.Workers)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for i := range s.options.Workers {
		wg.Go(func() {
			w := &worker{searcher: s, fingerprinter: newFingerprinter(s.options.Exact)}
			if s.options.Coverage {
				w.coverage = NewCoverage()
			}
			defer w.merge()
			for ctx.Err() == nil {
				start := int(taken.Add(batchSize)) - batchSize
				if start >= len(frontier) {
					return
				}
				for _, n := range frontier[start:min(start+batchSize, len(frontier))] {
					next[i] = w.expand(n, next[i])
				}
			}
		})
	}
	wg.Wait()
	return slices.Concat(next...)
}

// worker expands states for a searcher. It keeps counts of its own, which merge adds to the
// result of the search.
type worker struct {
	*searcher
	fingerprinter *fingerprinter
	coverage      *Coverage
	moves         int64
	endStates     int
}

// merge adds the worker's counts to the result of the search.
func (w *worker) merge() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.result.Moves += w.moves
	w.result.EndStates += w.endStates
	if w.coverage != nil {
		w.result.Coverage.Add(w.coverage)
	}
}

// expand takes every possible move from a state, and returns next with the new states appended.
// It rebuilds the state from its path for each move, because the code under test cannot copy
// its state.
func (w *worker) expand(n *searchNode, next []*searchNode) []*searchNode {
	path := n.path()
	world := w.rebuild(path)
	moves := world.enabledMoves(w.options.Reduce)
	if len(moves) == 0 {
		w.endStates++
		world.checkEnd()
		if v := world.checker.violation; v != nil {
			w.recordViolation(v, path)
		}
		return next
	}
	for i, m := range moves {
		if i > 0 {
			world = w.rebuild(path)
		}
		world.coverage = w.coverage
		world.apply(m)
		w.moves++
		if v := world.checker.violation; v != nil {
			w.recordViolation(v, append(slices.Clone(path), m))
			return next
		}
		if w.known.add(w.fingerprinter.fingerprint(world)) {
			next = append(next, &searchNode{parent: n, move: m})
		}
	}
	return next
}

// rebuild starts a new world, applies the moves of a path and returns the world.
func (w *worker) rebuild(path []Move) *World {
	world := newWorld(w.scenario)
	for _, m := range path {
		world.apply(m)
	}
	return world
}

// recordViolation records a violation and its path. Among several violations at one depth it
// keeps the one whose path sorts first, so that the result does not depend on the workers.
func (w *worker) recordViolation(v *Violation, path []Move) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.result.Violation == nil || slices.CompareFunc(path, w.result.Path, compareMoves) < 0 {
		w.result.Violation = v
		w.result.Path = path
	}
}

// compareMoves orders moves by kind and then by target.
func compareMoves(a, b Move) int {
	if a.Kind != b.Kind {
		return int(a.Kind) - int(b.Kind)
	}
	return int(a.Target) - int(b.Target)
}

// Explain executes a path and logs each move with the actions that follow from it. It returns the
// violation that the path leads to, or nil.
func Explain(s Scenario, path []Move, log func(format string, args ...any)) *Violation {
	w := newWorld(&s)
	w.log = log
	for _, m := range path {
		w.apply(m)
		if w.checker.violation != nil {
			return w.checker.violation
		}
	}
	return nil
}
