package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var cfg = Config{Window: time.Second, Flows: 64}

func scheduler(t testing.TB, c Config, loop int) *Scheduler[int] {
	t.Helper()
	s, err := New[int](c, loop)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The bound of start-time fair queuing (Goyal, Vin and Cheng 1996, theorem 1): over any
// time in which two flows both have something to move, what they had by their weights
// differs by at most one largest turn of each by its weight. Other flows come and go,
// and weights of others move.
func TestLagOfBackloggedFlowsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := New[int](cfg, 0)
		n := rapid.IntRange(2, 6).Draw(t, "flows")
		var fs []*Flow[int]
		var largest []float64
		for i := range n {
			fs = append(fs, s.Flow(0, fmt.Sprint(i), FlowConfig{Weight: rapid.Float64Range(0.1, 20).Draw(t, "weight")}, nil))
			largest = append(largest, rapid.Float64Range(10, 1e6).Draw(t, "largest"))
		}
		s.Push(0, fs[0], 0)
		s.Push(0, fs[1], 1)
		had := make([]float64, n)
		low, high := 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "turns") {
			if i := rapid.IntRange(0, n-1).Draw(t, "who"); i > 1 {
				if rapid.Bool().Draw(t, "moves") {
					s.Configure(0, fs[i], FlowConfig{Weight: rapid.Float64Range(0.1, 20).Draw(t, "new weight")})
				}
				s.Push(0, fs[i], i)
			}
			i, f, ok := s.Next(0)
			if !ok {
				t.Fatal("nobody's turn, though two wait")
			}
			cost := math.Floor(rapid.Float64Range(0, largest[i]).Draw(t, "cost"))
			had[i] += cost
			if i < 2 { // both always have more
				s.Push(0, f, i)
			}
			s.Done(0, f, Cost{Work: time.Duration(cost)})
			d := had[0]/fs[0].terms.Weight - had[1]/fs[1].terms.Weight
			low, high = min(low, d), max(high, d)
		}
		bound := largest[0]/fs[0].terms.Weight + largest[1]/fs[1].terms.Weight
		if high-low > bound*(1+1e-9) {
			t.Fatalf("lag %g, bound %g", high-low, bound)
		}
	})
}

// serve gives turns of a cost until so much has been given, each flow that is on a
// list having always more, and returns what each had.
func serve(s *Scheduler[int], fs []*Flow[int], cost time.Duration, turns int) []float64 {
	had := make([]float64, len(fs))
	for i, f := range fs {
		if f != nil && f.Waiting() == 0 {
			s.Push(0, f, i)
		}
	}
	for range turns {
		i, f, ok := s.Next(0)
		if !ok {
			break
		}
		had[i] += float64(cost)
		s.Push(0, f, i)
		s.Done(0, f, Cost{Work: cost})
	}
	return had
}

func TestSharesByWeight(t *testing.T) {
	for _, w := range []float64{1, 4, 16} {
		s := scheduler(t, cfg, 0)
		a, b := s.Flow(0, "a", FlowConfig{Weight: w}, nil), s.Flow(0, "b", FlowConfig{Weight: 1}, nil)
		had := serve(s, []*Flow[int]{a, b}, time.Microsecond, 10000)
		if got := had[0] / had[1]; math.Abs(got/w-1) > 0.01 {
			t.Errorf("%g to 1: had %.3f to 1", w, got)
		}
	}
}

// A crowd is one flow, and who was away saved nothing up.
func TestCrowdAndAbsence(t *testing.T) {
	s := scheduler(t, cfg, 0)
	a, b := s.Flow(0, "a", FlowConfig{Weight: 1}, nil), s.Flow(0, "b", FlowConfig{Weight: 1}, nil)
	for range 1000 {
		s.Push(0, b, 1)
	}
	serve(s, []*Flow[int]{nil, b}, time.Microsecond, 5000) // a was away
	had := serve(s, []*Flow[int]{a, b}, time.Microsecond, 100)
	if had[0] < 49e3 || had[0] > 51e3 {
		t.Errorf("one beside a thousand had %v of 100 turns", had[0]/1e3)
	}
	// One item of a flow that is not behind goes next.
	c := s.Flow(0, "c", FlowConfig{Weight: 1}, nil)
	s.Push(0, c, 7)
	seen := 0
	for i := -1; i != 7; seen++ {
		var f *Flow[int]
		i, f, _ = s.Next(0)
		if i != 7 {
			s.Push(0, f, i)
		}
		s.Done(0, f, Cost{Work: time.Microsecond})
	}
	if seen > 3 {
		t.Errorf("a newcomer waited behind %d turns", seen-1)
	}
}

// A weight that moves is that of what comes; what was had counts by the old one.
func TestWeightMoves(t *testing.T) {
	s := scheduler(t, cfg, 0)
	fs := []*Flow[int]{s.Flow(0, "a", FlowConfig{Weight: 1}, nil), s.Flow(0, "b", FlowConfig{Weight: 1}, nil)}
	serve(s, fs, time.Millisecond, 101)
	s.Configure(0, fs[0], FlowConfig{Weight: 9})
	had := serve(s, fs, time.Millisecond, 100)
	if had[0] < 88e6 || had[0] > 92e6 {
		t.Errorf("had %v of 100 after its weight rose to nine tenths", had[0]/1e6)
	}
	s.Configure(0, fs[0], FlowConfig{Weight: 1})
	if had = serve(s, fs, time.Millisecond, 100); had[0] < 48e6 || had[0] > 52e6 {
		t.Errorf("had %v of 100 after its weight fell to half", had[0]/1e6)
	}
}

// A debt made by an old weight is paid by the new one.
func TestDebtMovesWithTheWeight(t *testing.T) {
	s := scheduler(t, cfg, 0)
	a, b := s.Flow(0, "a", FlowConfig{Weight: 1}, nil), s.Flow(0, "b", FlowConfig{Weight: 1}, nil)
	s.Push(0, a, 0)
	s.Push(0, b, 1)
	_, f, _ := s.Next(0)
	s.Push(0, f, 0)
	s.Done(0, f, Cost{Work: 100 * time.Millisecond})
	s.Configure(0, a, FlowConfig{Weight: 10})
	turns := 0
	for i, f, _ := s.Next(0); i != 0; i, f, _ = s.Next(0) {
		s.Push(0, f, i)
		s.Done(0, f, Cost{Work: time.Millisecond})
		turns++
	}
	if turns < 9 || turns > 12 {
		t.Errorf("100 ms at a tenth of its weight now: %d ms of another before its next turn, want 10", turns)
	}
}

// What is behind is bounded by the window: a long turn is paid for, not for ever.
func TestWindowBoundsTheDebt(t *testing.T) {
	c := cfg
	c.Window = 10 * time.Millisecond
	s := scheduler(t, c, 0)
	fs := []*Flow[int]{s.Flow(0, "a", FlowConfig{Weight: 1}, nil), s.Flow(0, "b", FlowConfig{Weight: 1}, nil)}
	s.Push(0, fs[0], 0)
	_, f, _ := s.Next(0)
	s.Push(0, f, 0)
	s.Done(0, f, Cost{Work: time.Minute})
	had := serve(s, fs, time.Millisecond, 20)
	if had[0] < 4e6 || had[0] > 6e6 { // ten behind, then in turn
		t.Errorf("had %v of 20 turns", had[0]/1e6)
	}
}

// A limit paces: what is over it waits, others have the loop, nothing is saved up
// beyond the burst.
func TestLimit(t *testing.T) {
	s := scheduler(t, cfg, 0)
	f := s.Flow(0, "a", FlowConfig{Weight: 1, Rate: 1000, Burst: 500}, nil)
	g := s.Flow(0, "b", FlowConfig{Weight: 1}, nil)
	s.Push(0, f, 0)
	s.Push(0, g, 1)
	moved, others := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		i, x, ok := s.Next(now)
		if !ok {
			t.Fatal("b could move")
		}
		s.Push(now, x, i)
		if i == 0 {
			moved += 100
			s.Done(now, x, Cost{Work: 1, Bytes: 100})
		} else {
			others++
			s.Done(now, x, Cost{Work: 1})
		}
	}
	if moved < 10300 || moved > 10700 {
		t.Errorf("%d bytes in 10 s at 1000 a second and 500 at once", moved)
	}
	if others < 9800 {
		t.Errorf("others had %d of 10000 turns", others)
	}
	if d := s.Delay(10*time.Second, f, 1000); d < 900*time.Millisecond || d > 1200*time.Millisecond {
		t.Errorf("one more waits %v behind 1000 bytes", d)
	}
	if at, ok := s.NextWake(); !ok || at < 10*time.Second || at > 10100*time.Millisecond {
		t.Errorf("wakes at %v, %v", at, ok)
	}
	s.Configure(10*time.Second, f, FlowConfig{Weight: 1})
	if _, ok := f.RateLimitedUntil(); ok {
		t.Error("paced without a limit")
	}
}

// Shares hold over all loops together, whatever lies where.
func TestSharesOverLoops(t *testing.T) {
	for _, x := range []struct {
		name string
		on   [2][]int // loops of a (weight 4) and b (weight 1)
		want float64  // of all that is had, by a
	}{
		{"both everywhere", [2][]int{{0, 1, 2, 3}, {0, 1, 2, 3}}, 0.8},
		{"a on two of four", [2][]int{{0, 1}, {0, 1, 2, 3}}, 0.5},
		{"a on three, b on two", [2][]int{{0, 1, 2}, {2, 3}}, 0.75},
		{"all on one", [2][]int{{0}, {0}}, 0.8},
	} {
		accounts := [2]*SharedUsage{NewSharedUsage(4), NewSharedUsage(4)}
		var loops []*Scheduler[int]
		for l := range 4 {
			s := scheduler(t, Config{Window: 20 * time.Millisecond, Flows: 8}, l)
			for i, w := range []float64{4, 1} {
				f := s.Flow(0, fmt.Sprint(i), FlowConfig{Weight: w}, accounts[i])
				for _, on := range x.on[i] {
					if on == l {
						s.Push(0, f, i)
					}
				}
			}
			loops = append(loops, s)
		}
		var had [2]float64
		for round := range 40000 {
			for _, s := range loops {
				if i, f, ok := s.Next(0); ok {
					had[i]++
					s.Push(0, f, i)
					s.Done(0, f, Cost{Work: 50 * time.Microsecond})
				}
				if round%20 == 0 {
					s.Sync(0)
				}
			}
		}
		if got := had[0] / (had[0] + had[1]); math.Abs(got-x.want) > 0.03 {
			t.Errorf("%s: a had %.3f, want %.3f", x.name, got, x.want)
		}
	}
}

// Flows are bounded; one that rests gives way, and whoever still holds it goes on.
func TestFlowsAreBounded(t *testing.T) {
	c := cfg
	c.Flows = 2
	s := scheduler(t, c, 0)
	a, b := s.Flow(0, "a", FlowConfig{Weight: 1}, nil), s.Flow(0, "b", FlowConfig{Weight: 1}, nil)
	s.Push(0, a, 1)
	s.Push(0, b, 2)
	if f := s.Flow(0, "c", FlowConfig{Weight: 1}, nil); f.Name() != "others" {
		t.Errorf("a third of two flows is %s", f.Name())
	}
	for range 2 {
		_, f, _ := s.Next(0)
		s.Done(0, f, Cost{})
	}
	if f := s.Flow(0, "c", FlowConfig{Weight: 1}, nil); f.Name() != "c" || len(s.list) != 2 {
		t.Errorf("a flow that rests does not give way: %s, %d flows", f.Name(), len(s.list))
	}
	for _, f := range []*Flow[int]{a, b} {
		s.Push(0, f, 9)
		if i, g, ok := s.Next(0); !ok || i != 9 {
			t.Fatal("lost")
		} else {
			s.Done(0, g, Cost{})
		}
	}
	if len(s.list) != 2 || len(s.flows) != 2 {
		t.Errorf("%d flows of two", len(s.list))
	}
}

// After a time without work all start level: a debt is owed to those who wait.
func TestIdleForgives(t *testing.T) {
	s := scheduler(t, cfg, 0)
	a, b := s.Flow(0, "a", FlowConfig{Weight: 1}, nil), s.Flow(0, "b", FlowConfig{Weight: 1}, nil)
	s.Push(0, a, 0)
	_, f, _ := s.Next(0)
	s.Done(0, f, Cost{Work: 100 * time.Millisecond})
	if _, _, ok := s.Next(0); ok {
		t.Fatal("a turn of nobody")
	}
	had := serve(s, []*Flow[int]{a, b}, time.Millisecond, 20)
	if had[0] < 9e6 {
		t.Errorf("had %v of 20 turns after a rest", had[0]/1e6)
	}
}

// Who holds a flow that was forgotten goes on with the one that has taken its name.
func TestForgottenFlowIsOne(t *testing.T) {
	c := cfg
	c.Flows = 1
	s := scheduler(t, c, 0)
	old := s.Flow(0, "a", FlowConfig{Weight: 1}, nil)
	s.Flow(0, "b", FlowConfig{Weight: 1}, nil)
	again := s.Flow(0, "a", FlowConfig{Weight: 1}, nil)
	if old == again {
		t.Fatal("not forgotten")
	}
	s.Push(0, old, 1)
	s.Push(0, again, 2)
	if again.Waiting() != 2 {
		t.Errorf("%d items in the flow, want both", again.Waiting())
	}
}

func TestWrongSettings(t *testing.T) {
	for _, c := range []Config{
		{},
		{Window: time.Second},
		{Window: 1, Flows: 1},
		{Window: time.Second, Flows: 1, ByteTime: -1},
		{Window: time.Second, Flows: 1, ByteTime: math.NaN()},
	} {
		if _, err := New[int](c, 0); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// A gate keeps weights where what is behind it is scarce, whatever the number of
// streams: a link that moves a piece at a time for whichever stream has leave, in turn.
func TestGateKeepsWeights(t *testing.T) {
	for _, depth := range []int{1, 2, 4} {
		g, err := NewGate[int](GateConfig{Depth: depth, Crowd: 1000, Quantum: 64, Lease: time.Second, Window: time.Second, Flows: 8})
		if err != nil {
			t.Fatal(err)
		}
		names, terms := []string{"a", "b"}, []FlowConfig{{Weight: 4}, {Weight: 1}}
		for i, streams := range []int{4, 64} {
			for range streams {
				g.Request(0, names[i], terms[i], i)
			}
		}
		var out []*Grant[int]
		had := [2]int{}
		for range 10000 {
			for l, ok := g.NextGrant(0); ok; l, ok = g.NextGrant(0) {
				out = append(out, l)
			}
			if len(out) != depth {
				t.Fatalf("%d out, depth %d", len(out), depth)
			}
			l := out[0]
			out = out[1:]
			had[l.Item] += 64
			g.Done(0, l, 64)
			g.Request(0, names[l.Item], terms[l.Item], l.Item)
		}
		if r := float64(had[0]) / float64(had[1]); r < 3.9 || r > 4.1 {
			t.Errorf("depth %d: %.2f to 1, want 4", depth, r)
		}
	}
}

// A stream that does not move loses its leave in time, and is charged for it; one that
// ends early is charged for what it moved; what is given back twice counts once.
func TestLeasesLapse(t *testing.T) {
	g, _ := NewGate[int](GateConfig{Depth: 1, Crowd: 1000, Quantum: 1000, Lease: time.Millisecond, Window: time.Second, Flows: 8})
	ask := func(name string, item int) { g.Request(0, name, FlowConfig{Weight: 1}, item) }
	ask("slow", 1)
	slow, _ := g.NextGrant(0)
	ask("b", 2)
	if _, ok := g.NextGrant(0); ok {
		t.Fatal("two have leave, depth 1")
	}
	if at, ok := g.NextWake(); !ok || at != time.Millisecond {
		t.Fatalf("wakes at %v, %v", at, ok)
	}
	if _, ok := g.Expired(time.Millisecond - 1); ok {
		t.Fatal("lapsed early")
	}
	if l, ok := g.Expired(time.Millisecond); !ok || l != slow {
		t.Fatal("a place is kept by who stands")
	}
	g.Done(time.Millisecond, slow, 10) // too late
	b, ok := g.NextGrant(time.Millisecond)
	if !ok || b.Item != 2 || g.out != 1 {
		t.Fatalf("%v, %d out", ok, g.out)
	}
	ask("slow", 1)
	ask("b", 2)
	g.Done(time.Millisecond, b, 10)
	g.Done(time.Millisecond, b, 10)
	if g.out != 0 {
		t.Fatal("given back twice, counted twice")
	}
	if l, _ := g.NextGrant(time.Millisecond); l.Item != 2 {
		t.Error("who moved 10 bytes goes after who had a whole lease")
	}
	if _, ok := g.Expired(time.Hour); !ok || !func() bool { _, ok := g.NextGrant(time.Hour); return ok }() {
		t.Error("the next has no leave")
	}
	if _, ok := g.Expired(2 * time.Hour); !ok || !g.Idle() || g.leases != nil {
		t.Error("not idle, with nothing out")
	}
}

// With a crowd, more move at a time, so that each has its turn soon.
func TestGateGrowsWithTheCrowd(t *testing.T) {
	g, _ := NewGate[int](GateConfig{Depth: 2, Crowd: 32, Quantum: 1000, Lease: time.Millisecond, Window: time.Second, Flows: 8})
	for i := range 320 {
		g.Request(0, "a", FlowConfig{Weight: 1}, i)
	}
	n := 0
	for _, ok := g.NextGrant(0); ok; _, ok = g.NextGrant(0) {
		n++
	}
	if n < 10 || n > 12 {
		t.Errorf("%d of 320 move, want 2 and 1 of each 32", n)
	}
}

func TestWrongGates(t *testing.T) {
	good := GateConfig{Depth: 1, Crowd: 1, Quantum: 1, Lease: 1, Window: time.Second, Flows: 1}
	for _, f := range []func(*GateConfig){func(c *GateConfig) { c.Depth = 0 }, func(c *GateConfig) { c.Crowd = 0 }, func(c *GateConfig) { c.Quantum = 0 }, func(c *GateConfig) { c.Lease = 0 }, func(c *GateConfig) { c.Window = 0 }} {
		c := good
		f(&c)
		if _, err := NewGate[int](c); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// Within a flow what is under way goes before what is new by its weight, and neither waits
// for ever; what had nothing to do for a while has saved up nothing.
func TestFinishingBeforeStarting(t *testing.T) {
	s := scheduler(t, Config{Window: time.Second, Flows: 4, Finishing: 4}, 0)
	f := s.Flow(0, "a", FlowConfig{Weight: 1}, nil)
	for range 100 {
		s.PushNew(0, f, 1)
	}
	run := func(n int) (had [2]int) {
		for range n {
			i, f, _ := s.Next(0)
			had[i]++
			if i == 0 {
				s.Push(0, f, 0)
			} else {
				s.PushNew(0, f, 1)
			}
			s.Done(0, f, Cost{Work: time.Microsecond})
		}
		return had
	}
	if had := run(50); had[1] != 50 { // alone
		t.Errorf("%v", had)
	}
	s.Push(0, f, 0)
	if had := run(500); had[0] < 398 || had[0] > 402 {
		t.Errorf("%v, want 400 and 100", had)
	}
}
