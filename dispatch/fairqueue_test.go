package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// queueRig queues requests of volumes at one node without admission.
type queueRig struct {
	d *Dispatcher
	n *node
}

func newQueueRig(t *testing.T) *queueRig {
	t.Helper()
	r := newRig(t, testConfig())
	return &queueRig{r.d, r.d.nodes["n0"]}
}

func (q *queueRig) volume(id string, weight float64) *volume {
	v := q.d.volumeFor(Request{Volume: VolumeID(id), Plan: unlimitedPlan, Dispatchers: 1})
	v.weight = weight
	return v
}

func (q *queueRig) enqueue(v *volume, units float64) *request {
	q.d.lastSequence++
	r := &request{
		Request:     Request{Units: units},
		class:       &q.d.cfg.Classes[0],
		volume:      v,
		sequence:    q.d.lastSequence,
		objectiveAt: math.MaxInt64 / 4,
		deadline:    math.MaxInt64 / 4,
	}
	q.d.enqueue(r, q.n, false)
	return r
}

// release releases the request with the lowest start tag.
func (q *queueRig) release() *request {
	f := q.n.flows[0]
	r := f.requests[0]
	f.recordDispatch(r)
	q.d.dequeue(r)
	r.state = completed
	return r
}

// The tags of a small example: S = max(v, F of the last), F = S + c/φ.
func TestTags(t *testing.T) {
	q := newQueueRig(t)
	a, b := q.volume("a", 1), q.volume("b", 2)
	q.enqueue(a, 2) // S 0, F 2
	q.enqueue(a, 1) // S 2, F 3
	q.enqueue(b, 4) // S 0, F 2
	q.enqueue(b, 2) // S 2, F 3
	q.enqueue(b, 2) // S 3, F 4
	var got []string
	for len(q.n.flows) > 0 {
		f := q.n.flows[0]
		got = append(got, fmt.Sprintf("%s%g", f.volume.id, f.startTag))
		q.release()
	}
	if want := []string{"a0", "b0", "a2", "b2", "b3"}; !slices.Equal(got, want) {
		t.Errorf("released as %q, want %q", got, want)
	}
	if q.n.virtualTime != 3 {
		t.Errorf("virtual time %g, want 3, the last start tag", q.n.virtualTime)
	}
	q.enqueue(a, 1) // F of the last 3, v 3
	if s := q.n.flows[0].startTag; s != 3 {
		t.Errorf("start tag after idle %g, want 3", s)
	}
}

// The counter-example of the paper's section 3: a small weight has no effect after it was raised.
func TestWeightChangeRecomputesTags(t *testing.T) {
	q := newQueueRig(t)
	f, g := q.volume("f", 0.01), q.volume("g", 0.99)
	for range 4 {
		q.enqueue(f, 1)
		q.enqueue(g, 1)
	}
	q.release() // f: S 0, F 100
	q.release() // g: S 0
	q.release() // g: S 1.01
	f.setWeight(0.5)
	g.setWeight(0.5)
	// Last request of f: S 0, F 0+1/0.5 = 2; S of its next max(v, 2) = 2.
	if ff := q.d.flowFor(f, q.n); math.Abs(ff.startTag-2) > 1e-9 {
		t.Errorf("f's start after the change = %g, want 2", ff.startTag)
	}
	// Last request of g: S 1.0101, F 3.0101.
	if gf := q.d.flowFor(g, q.n); math.Abs(gf.startTag-(1/0.99+2)) > 1e-9 {
		t.Errorf("g's start after the change = %g, want %g", gf.startTag, 1/0.99+2)
	}
}

// A queued request that leaves unsent leaves no trace in later tags.
func TestUnsentRequestLeavesNoTrace(t *testing.T) {
	q := newQueueRig(t)
	a := q.volume("a", 1)
	first, big, last := q.enqueue(a, 1), q.enqueue(a, 8), q.enqueue(a, 1)
	q.d.dequeue(big)
	if q.release() != first || q.n.flows[0].startTag != 1 {
		t.Fatalf("start of the last = %g, want 1, the finish tag of the first", q.n.flows[0].startTag)
	}
	if q.release() != last {
		t.Error("the last did not follow the first")
	}
}

// The paper's theorem 5: over intervals with changing weights and concurrency limits, the
// service over weight of two backlogged flows differs by no more than (D+1)(c_f/φ_f + c_g/φ_g)
// in each interval.
func TestFairnessBound(t *testing.T) {
	for seed := range uint64(20) {
		q, rng := newQueueRig(t), rand.New(rand.NewPCG(seed, 1))
		f, g := q.volume("f", 1), q.volume("g", 1)
		const maxCost = 8.0
		for range 5000 {
			q.enqueue(f, 1+float64(rng.IntN(int(maxCost))))
			q.enqueue(g, 1+float64(rng.IntN(int(maxCost))))
		}
		for i := range 30 {
			f.setWeight(0.25 + 4*rng.Float64())
			g.setWeight(0.25 + 4*rng.Float64())
			limit := minConcurrency + rng.IntN(29)
			var wf, wg float64
			for range 20 + rng.IntN(100) {
				if r := q.release(); r.volume == f {
					wf += r.Units
				} else {
					wg += r.Units
				}
			}
			bound := float64(limit+1) * (maxCost/f.weight + maxCost/g.weight)
			if diff := math.Abs(wf/f.weight - wg/g.weight); diff > bound {
				t.Fatalf("seed %d interval %d: %.2f apart, bound %.2f", seed, i, diff, bound)
			}
			// Without requests in flight the bound of start-time fair queuing holds too.
			if diff := math.Abs(wf/f.weight - wg/g.weight); diff > 2*(maxCost/f.weight+maxCost/g.weight) {
				t.Fatalf("seed %d interval %d: %.2f apart, bound without concurrency %.2f", seed, i, diff, 2*(maxCost/f.weight+maxCost/g.weight))
			}
		}
	}
}

// A cost correction changes the tags of the volume's flow: a volume whose requests cost eight
// times the declared units gets an eighth of the sends, one whose requests cost less gets more.
func TestCostCorrectionChangesShare(t *testing.T) {
	for _, c := range []struct{ correction, want float64 }{{7, 1.0 / 8}, {0, 1}, {-0.75, 4}} {
		q := newQueueRig(t)
		a, b := q.volume("a", 1), q.volume("b", 1)
		for range 400 {
			q.enqueue(a, 1)
			q.enqueue(b, 1)
		}
		var sent [2]float64
		for range 300 {
			r := q.release()
			if r.volume == a {
				sent[0]++
				q.d.handleCostCorrection(CostCorrection{Volume: "a", Node: q.n.ID, Units: c.correction})
			} else {
				sent[1]++
			}
		}
		if got := sent[0] / sent[1]; math.Abs(got/c.want-1) > 0.1 {
			t.Errorf("%+g units a request: %.3f of the other's sends, want %.3f", c.correction, got, c.want)
		}
	}
}
