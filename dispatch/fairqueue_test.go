package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// queueRig holds requests of volumes on one node without any admission.
type queueRig struct {
	d *Dispatcher
	n *node
}

func newQueueRig(t *testing.T) *queueRig {
	r := newRig(t, testConfig())
	return &queueRig{r.d, r.d.nodes["n0"]}
}

func (q *queueRig) volume(id string, phi float64) *volume {
	v := q.d.volumeFor(Request{Volume: VolumeID(id), Plan: unlimitedPlan, Dispatchers: 1})
	v.weight = phi
	return v
}

func (q *queueRig) enqueue(v *volume, units float64) *request {
	q.d.lastSequence++
	r := &request{
		Request: Request{Units: units}, class: &q.d.cfg.Classes[0], volume: v, sequence: q.d.lastSequence, objectiveAt: math.MaxInt64 / 4,
		deadline: math.MaxInt64 / 4,
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

// The tags of a small run worked out by hand: S = max(v, F_prev), F = S + c/φ.
func TestTags(t *testing.T) {
	q := newQueueRig(t)
	a, b := q.volume("a", 1), q.volume("b", 2)
	q.enqueue(a, 2) // S 0, F 2
	q.enqueue(a, 1) // S 2, F 3
	q.enqueue(b, 4) // S 0, F 2
	q.enqueue(b, 2) // S 2, F 3
	q.enqueue(b, 2) // S 3, F 4
	var got string
	for len(q.n.flows) > 0 {
		f := q.n.flows[0]
		got += fmt.Sprintf("%s%g ", f.volume.id, f.startTag)
		q.release()
	}
	if want := "a0 b0 a2 b2 b3 "; got != want {
		t.Errorf("left as %q, want %q", got, want)
	}
	if q.n.virtualTime != 3 {
		t.Errorf("v = %g, want 3, the start tag sent last", q.n.virtualTime)
	}
	q.enqueue(a, 1) // F_prev 3, v 3
	if s := q.n.flows[0].startTag; s != 3 {
		t.Errorf("start after idle = %g, want 3", s)
	}
}

// The paper's counter-example: a tiny weight must not bind a flow after it is raised.
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
	// f's last sent: S 0, F 0+1/0.5 = 2; its next S = max(v, 2) = 2.
	if ff := q.d.flowFor(f, q.n); math.Abs(ff.startTag-2) > 1e-9 {
		t.Errorf("f's start after the change = %g, want 2", ff.startTag)
	}
	// g's last sent: S 1.0101, F 3.0101.
	if gf := q.d.flowFor(g, q.n); math.Abs(gf.startTag-(1/0.99+2)) > 1e-9 {
		t.Errorf("g's start after the change = %g, want %g", gf.startTag, 1/0.99+2)
	}
}

// A held request that leaves unsent leaves nothing in later tags.
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

// Theorem 5: over intervals with changing weights and depths, two backlogged
// flows' service over weight differs, in sum, by no more than
// max over the intervals of (D'+1)(c_f/φ_f + c_g/φ_g) for each interval.
func TestFairnessBound(t *testing.T) {
	for seed := range uint64(20) {
		q, rng := newQueueRig(t), rand.New(rand.NewPCG(seed, 1))
		f, g := q.volume("f", 1), q.volume("g", 1)
		const most = 8.0
		for range 5000 {
			q.enqueue(f, 1+float64(rng.IntN(int(most))))
			q.enqueue(g, 1+float64(rng.IntN(int(most))))
		}
		for i := range 30 {
			f.setWeight(0.25 + 4*rng.Float64())
			g.setWeight(0.25 + 4*rng.Float64())
			depth := 4 + rng.IntN(29)
			var wf, wg float64
			for range 20 + rng.IntN(100) {
				if r := q.release(); r.volume == f {
					wf += r.Units
				} else {
					wg += r.Units
				}
			}
			bound := float64(depth+1) * (most/f.weight + most/g.weight)
			if diff := math.Abs(wf/f.weight - wg/g.weight); diff > bound {
				t.Fatalf("seed %d interval %d: %.2f apart, bound %.2f", seed, i, diff, bound)
			}
			// Without requests out the bound of the plain queue holds too.
			if diff := math.Abs(wf/f.weight - wg/g.weight); diff > 2*(most/f.weight+most/g.weight) {
				t.Fatalf("seed %d interval %d: %.2f apart, plain bound %.2f", seed, i, diff, 2*(most/f.weight+most/g.weight))
			}
		}
	}
}

// What requests turn out to cost is charged to the tag of the volume that sent them:
// one whose requests are eight times what they were taken for gets an eighth of the turns;
// one that is found to have used little gets more. Idle volumes owe nothing.
func TestCostCorrectionChangesShare(t *testing.T) {
	for _, x := range []struct{ more, want float64 }{{7, 1.0 / 8}, {0, 1}, {-0.75, 4}} {
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
				q.d.handleCostCorrection(CostCorrection{Volume: "a", Node: q.n.ID, Units: x.more})
			} else {
				sent[1]++
			}
		}
		if got := sent[0] / sent[1]; math.Abs(got/x.want-1) > 0.1 {
			t.Errorf("%+g units a request: %.3f of the other's turns, want %.3f", x.more, got, x.want)
		}
	}
}
