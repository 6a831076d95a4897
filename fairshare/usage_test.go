package fairshare

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Flows share the service of all loops together by weight, whichever loops a flow is on.
func TestSharesOverLoops(t *testing.T) {
	for _, test := range []struct {
		name  string
		loops [2][]int // loops of flow a (weight 4) and of flow b (weight 1)
		want  float64  // flow a's share of all services
	}{
		{"both on all", [2][]int{{0, 1, 2, 3}, {0, 1, 2, 3}}, 0.8},
		{"a on two of four", [2][]int{{0, 1}, {0, 1, 2, 3}}, 0.5},
		{"a on three, b on two", [2][]int{{0, 1, 2}, {2, 3}}, 0.75},
		{"all on one", [2][]int{{0}, {0}}, 0.8},
	} {
		t.Run(test.name, func(t *testing.T) {
			served := serveOnLoops(newLoops(t, test.loops))
			if got := served[0] / (served[0] + served[1]); math.Abs(got-test.want) > 0.03 {
				t.Errorf("flow a got a share of %.3f, want %.3f", got, test.want)
			}
		})
	}
}

// newLoops returns the schedulers of four loops. On each loop, the flows that are on it
// according to loops are backlogged.
func newLoops(t *testing.T, loops [2][]int) []*Scheduler[int] {
	t.Helper()
	shared := [2]*SharedUsage{NewSharedUsage(4), NewSharedUsage(4)}
	var scheds []*Scheduler[int]
	for loop := range 4 {
		s := newScheduler(t, Config{Window: 20 * ms, Flows: 8}, loop)
		for i, weight := range []float64{4, 1} {
			f := s.Flow(0, strconv.Itoa(i), FlowConfig{Weight: weight}, shared[i])
			if slices.Contains(loops[i], loop) {
				s.Push(0, f, i)
			}
		}
		scheds = append(scheds, s)
	}
	return scheds
}

// serveOnLoops runs 40,000 rounds with one service on each loop, and a Sync every 20 rounds.
// It returns the number of services of each flow.
func serveOnLoops(scheds []*Scheduler[int]) (served [2]float64) {
	for round := range 40000 {
		for _, s := range scheds {
			if i, f, ok := s.Next(0); ok {
				served[i]++
				s.Push(0, f, i)
				s.Done(0, f, Cost{Work: 50 * time.Microsecond})
			}
			if round%20 == 0 {
				s.Sync(0)
			}
		}
	}
	return served
}
