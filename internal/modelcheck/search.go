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

// Options bound a search.
type Options struct {
	Workers   int  // 0: all cores
	MaxStates int  // at most; 0: no bound
	Reduce    bool // leave out orders that commute
	Exact     bool // tell states apart by every digit of what was learned
	Coverage  bool // count the transitions taken
	Progress  func(depth, states int)
}

// Result is what a search found.
type Result struct {
	Scenario  string
	States    int
	Moves     int64 // taken, with those that led to known states
	Depth     int   // the longest way to a new state
	EndStates int   // states in which nothing more can happen
	Complete  bool  // every state was visited
	Violation *Violation
	Path      []Move // the shortest way to it
	Coverage  *Coverage
}

// searchNode is a state by the move that first led to it.
type searchNode struct {
	parent *searchNode
	move   Move
}

func (s *searchNode) path() []Move {
	var ms []Move
	for ; s != nil && s.parent != nil; s = s.parent {
		ms = append(ms, s.move)
	}
	slices.Reverse(ms)
	return ms
}

// stateSet is the set of known states, in parts that workers share.
type stateSet struct {
	parts [64]struct {
		mu sync.Mutex
		m  map[Fingerprint]struct{}
	}
	n atomic.Int64
}

func (v *stateSet) add(p Fingerprint) bool {
	s := &v.parts[p[0]%64]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = map[Fingerprint]struct{}{}
	}
	if _, ok := s.m[p]; ok {
		return false
	}
	s.m[p] = struct{}{}
	v.n.Add(1)
	return true
}

// Search visits every state of a scenario once, breadth first, so that the first
// breach found has a shortest way to it. The result does not depend on the number
// of workers, but for which of the shortest ways is told.
func Search(ctx context.Context, s Scenario, o Options) Result {
	if o.Workers <= 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	e := &searcher{scenario: &s, options: o, result: Result{Scenario: s.Name, Complete: true}}
	if o.Coverage {
		e.result.Coverage = NewCoverage()
	}
	root := newWorld(&s)
	e.known.add(newFingerprinter(o.Exact).fingerprint(root))
	front := []*searchNode{{}}
	for len(front) > 0 && e.result.Violation == nil {
		if ctx.Err() != nil || o.MaxStates > 0 && int(e.known.n.Load()) >= o.MaxStates {
			e.result.Complete = false
			break
		}
		front = e.level(ctx, front)
		if len(front) > 0 {
			e.result.Depth++
		}
		if o.Progress != nil {
			o.Progress(e.result.Depth, int(e.known.n.Load()))
		}
	}
	if e.result.Violation != nil || ctx.Err() != nil {
		e.result.Complete = false
	}
	e.result.States = int(e.known.n.Load())
	return e.result
}

type searcher struct {
	scenario *Scenario
	options  Options
	known    stateSet
	mu       sync.Mutex
	result   Result
}

// level takes every move from each state of one depth and returns the new states.
func (e *searcher) level(ctx context.Context, front []*searchNode) []*searchNode {
	next := make([][]*searchNode, e.options.Workers)
	var at atomic.Int64
	var wg sync.WaitGroup
	const chunk = 16
	for i := range e.options.Workers {
		wg.Go(func() {
			w := &worker{searcher: e, fingerprinter: newFingerprinter(e.options.Exact)}
			if e.options.Coverage {
				w.coverage = NewCoverage()
			}
			for {
				n := int(at.Add(chunk)) - chunk
				if n >= len(front) || ctx.Err() != nil {
					break
				}
				for _, s := range front[n:min(n+chunk, len(front))] {
					next[i] = w.expand(s, next[i])
				}
			}
			w.merge()
		})
	}
	wg.Wait()
	return slices.Concat(next...)
}

type worker struct {
	*searcher
	fingerprinter *fingerprinter
	coverage      *Coverage
	moves         int64
	ends          int
}

func (w *worker) merge() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.result.Moves += w.moves
	w.result.EndStates += w.ends
	if w.coverage != nil {
		w.result.Coverage.Add(w.coverage)
	}
}

// expand takes every move from a state. The state is made again for each, by its
// way: what is checked is the code itself, which has no copy of its state to give.
func (w *worker) expand(s *searchNode, next []*searchNode) []*searchNode {
	path := s.path()
	world := w.rebuild(path)
	ms := world.enabledMoves(w.options.Reduce)
	if len(ms) == 0 {
		w.ends++
	}
	if len(ms) == 0 {
		world.checkEnd()
		if b := world.checker.violation; b != nil {
			w.noteViolation(b, path)
			return next
		}
	}
	for i, m := range ms {
		if i > 0 {
			world = w.rebuild(path)
		}
		world.coverage = w.coverage
		world.apply(m)
		w.moves++
		if b := world.checker.violation; b != nil {
			w.noteViolation(b, append(slices.Clone(path), m))
			return next
		}
		if w.known.add(w.fingerprinter.fingerprint(world)) {
			next = append(next, &searchNode{s, m})
		}
	}
	return next
}

func (w *worker) rebuild(path []Move) *World {
	world := newWorld(w.scenario)
	for _, m := range path {
		world.apply(m)
	}
	return world
}

// noteViolation notes a breach; of several of one depth, the one whose way comes first.
func (w *worker) noteViolation(b *Violation, path []Move) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.result.Violation == nil || slices.CompareFunc(path, w.result.Path, compareMoves) < 0 {
		w.result.Violation, w.result.Path = b, path
	}
}

func compareMoves(a, b Move) int {
	if a.Kind != b.Kind {
		return int(a.Kind) - int(b.Kind)
	}
	return int(a.Target) - int(b.Target)
}

// String tells of a result in a line.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %9d states, %10d moves, depth %3d, %6d ends", r.Scenario, r.States, r.Moves, r.Depth, r.EndStates)
	if r.Violation != nil {
		fmt.Fprintf(&b, ": BROKEN after %d moves: %v", len(r.Path), r.Violation)
	} else if !r.Complete {
		b.WriteString(": not whole")
	}
	return b.String()
}

// Explain plays a path and writes what happens.
func Explain(s Scenario, path []Move, out func(format string, args ...any)) *Violation {
	w := newWorld(&s)
	w.log = out
	for _, m := range path {
		w.apply(m)
		if w.checker.violation != nil {
			return w.checker.violation
		}
	}
	return nil
}
