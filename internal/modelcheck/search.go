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
	Workers int  // 0: all cores
	States  int  // at most; 0: no bound
	Reduce  bool // leave out orders that commute
	Exact   bool // tell states apart by every digit of what was learned
	Cover   bool // count the transitions taken
	Until   func(depth, states int)
}

// Result is what a search found.
type Result struct {
	Scenario string
	States   int
	Moves    int64 // taken, with those that led to known states
	Depth    int   // the longest way to a new state
	Ends     int   // states in which nothing more can happen
	Whole    bool  // every state was visited
	Breach   *Breach
	Path     []Move // the shortest way to it
	Cover    *Coverage
}

// step is a state by the move that first led to it.
type step struct {
	from *step
	move Move
}

func (s *step) path() []Move {
	var ms []Move
	for ; s != nil && s.from != nil; s = s.from {
		ms = append(ms, s.move)
	}
	slices.Reverse(ms)
	return ms
}

// visited is the set of known states, in parts that workers share.
type visited struct {
	parts [64]struct {
		mu sync.Mutex
		m  map[Print]struct{}
	}
	n atomic.Int64
}

func (v *visited) add(p Print) bool {
	s := &v.parts[p[0]%64]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = map[Print]struct{}{}
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
	e := &searcher{s: &s, o: o, r: Result{Scenario: s.Name, Whole: true}}
	if o.Cover {
		e.r.Cover = NewCoverage()
	}
	root := start(&s)
	e.known.add(newPrinter(o.Exact).print(root))
	front := []*step{{}}
	for len(front) > 0 && e.r.Breach == nil {
		if ctx.Err() != nil || o.States > 0 && int(e.known.n.Load()) >= o.States {
			e.r.Whole = false
			break
		}
		front = e.level(ctx, front)
		if len(front) > 0 {
			e.r.Depth++
		}
		if o.Until != nil {
			o.Until(e.r.Depth, int(e.known.n.Load()))
		}
	}
	if e.r.Breach != nil || ctx.Err() != nil {
		e.r.Whole = false
	}
	e.r.States = int(e.known.n.Load())
	return e.r
}

type searcher struct {
	s     *Scenario
	o     Options
	known visited
	mu    sync.Mutex
	r     Result
}

// level takes every move from each state of one depth and returns the new states.
func (e *searcher) level(ctx context.Context, front []*step) []*step {
	next := make([][]*step, e.o.Workers)
	var at atomic.Int64
	var wg sync.WaitGroup
	const chunk = 16
	for i := range e.o.Workers {
		wg.Go(func() {
			w := &worker{searcher: e, p: newPrinter(e.o.Exact)}
			if e.o.Cover {
				w.cover = NewCoverage()
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
			w.done()
		})
	}
	wg.Wait()
	return slices.Concat(next...)
}

type worker struct {
	*searcher
	p     *printer
	cover *Coverage
	moves int64
	ends  int
}

func (w *worker) done() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.r.Moves += w.moves
	w.r.Ends += w.ends
	if w.cover != nil {
		w.r.Cover.Add(w.cover)
	}
}

// expand takes every move from a state. The state is made again for each, by its
// way: what is checked is the code itself, which has no copy of its state to give.
func (w *worker) expand(s *step, next []*step) []*step {
	path := s.path()
	world := w.remake(path)
	ms := world.moves(w.o.Reduce)
	if len(ms) == 0 {
		w.ends++
	}
	if len(ms) == 0 {
		world.checkRest()
		if b := world.rules.breach; b != nil {
			w.found(b, path)
			return next
		}
	}
	for i, m := range ms {
		if i > 0 {
			world = w.remake(path)
		}
		world.seen = w.cover
		world.apply(m)
		w.moves++
		if b := world.rules.breach; b != nil {
			w.found(b, append(slices.Clone(path), m))
			return next
		}
		if w.known.add(w.p.print(world)) {
			next = append(next, &step{s, m})
		}
	}
	return next
}

func (w *worker) remake(path []Move) *World {
	world := start(w.s)
	for _, m := range path {
		world.apply(m)
	}
	return world
}

// found notes a breach; of several of one depth, the one whose way comes first.
func (w *worker) found(b *Breach, path []Move) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.r.Breach == nil || slices.CompareFunc(path, w.r.Path, compareMoves) < 0 {
		w.r.Breach, w.r.Path = b, path
	}
}

func compareMoves(a, b Move) int {
	if a.Kind != b.Kind {
		return int(a.Kind) - int(b.Kind)
	}
	return int(a.On) - int(b.On)
}

// String tells of a result in a line.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %9d states, %10d moves, depth %3d, %6d ends", r.Scenario, r.States, r.Moves, r.Depth, r.Ends)
	if r.Breach != nil {
		fmt.Fprintf(&b, ": BROKEN after %d moves: %v", len(r.Path), r.Breach)
	} else if !r.Whole {
		b.WriteString(": not whole")
	}
	return b.String()
}

// Tell plays a path and writes what happens.
func Tell(s Scenario, path []Move, out func(format string, args ...any)) *Breach {
	w := start(&s)
	w.log = out
	for _, m := range path {
		w.apply(m)
		if w.rules.breach != nil {
			return w.rules.breach
		}
	}
	return nil
}
