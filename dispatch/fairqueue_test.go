package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// queueFixture is a test fixture that queues requests of volumes at one node without admission.
type queueFixture struct {
	d *Dispatcher
	n *node
}

func newQueueFixture(t *testing.T) *queueFixture {
	t.Helper()
	r := newFixture(t, testConfig())
	return &queueFixture{r.d, r.d.nodes["n0"]}
}

func (q *queueFixture) volume(id string, weight float64) *volume {
	v := q.d.volumeFor(Request{Volume: VolumeID(id), Plan: unlimitedPlan, Dispatchers: 1})
	v.weight = weight
	return v
}

func (q *queueFixture) enqueue(v *volume, units float64) *request {
	q.d.lastSequence++
	r := &request{
		Request:  Request{Units: units},
		class:    &q.d.cfg.Classes[0],
		volume:   v,
		sequence: q.d.lastSequence,
		answerBy: math.MaxInt64 / 4,
		deadline: math.MaxInt64 / 4,
	}
	q.d.enqueue(r, q.n, false)
	return r
}

// release removes the request with the lowest start tag from the queue, as if it were sent.
func (q *queueFixture) release() *request {
	f := q.n.flows[0]
	r := f.requests[0]
	f.recordDispatch(r)
	q.d.dequeue(r)
	r.state = completed
	return r
}

// TestStartTags checks the tags of a small example. The start tag is S = max(v, F of the last
// request) for virtual time v. The finish tag is F = S + c/φ for cost c and weight φ.
func TestStartTags(t *testing.T) {
	q := newQueueFixture(t)
	a, b := q.volume("a", 1), q.volume("b", 2)
	q.enqueue(a, 2) // gets start tag 0 and finish tag 2
	q.enqueue(a, 1) // gets start tag 2 and finish tag 3
	q.enqueue(b, 4) // gets start tag 0 and finish tag 2
	q.enqueue(b, 2) // gets start tag 2 and finish tag 3
	q.enqueue(b, 2) // gets start tag 3 and finish tag 4
	var got []string
	for len(q.n.flows) > 0 {
		f := q.n.flows[0]
		got = append(got, fmt.Sprintf("%s%g", f.volume.id, f.startTag))
		q.release()
	}
	if want := []string{"a0", "b0", "a2", "b2", "b3"}; !slices.Equal(got, want) {
		t.Errorf("volumes and start tags in the order of release: got %q, want %q", got, want)
	}
	if q.n.virtualTime != 3 {
		t.Errorf("virtual time after the last release: got %g, want 3, the last start tag", q.n.virtualTime)
	}
	q.enqueue(a, 1) // the last finish tag and the virtual time are both 3
	if s := q.n.flows[0].startTag; s != 3 {
		t.Errorf("start tag after an idle period: got %g, want 3", s)
	}
}

// TestWeightChangeRecomputesTags runs the counterexample in section 3 of the paper. Once a
// small weight has been raised, its old value must not affect the tags any more.
func TestWeightChangeRecomputesTags(t *testing.T) {
	q := newQueueFixture(t)
	f, g := q.volume("f", 0.01), q.volume("g", 0.99)
	for range 4 {
		q.enqueue(f, 1)
		q.enqueue(g, 1)
	}
	q.release() // releases a request of f with start tag 0 and finish tag 100
	q.release() // releases a request of g with start tag 0
	q.release() // releases a request of g with start tag 1.01
	f.setWeight(0.5)
	g.setWeight(0.5)
	// The last released request of f now has start tag 0 and finish tag 0+1/0.5 = 2. The next
	// request of f therefore has start tag max(v, 2) = 2, where v is the virtual time.
	if flowF := q.d.flowFor(f, q.n); math.Abs(flowF.startTag-2) > 1e-9 {
		t.Errorf("start tag of f after the weight change: got %g, want 2", flowF.startTag)
	}
	// The last released request of g now has start tag 1.0101 and finish tag 3.0101.
	if flowG := q.d.flowFor(g, q.n); math.Abs(flowG.startTag-(1/0.99+2)) > 1e-9 {
		t.Errorf("start tag of g after the weight change: got %g, want %g", flowG.startTag, 1/0.99+2)
	}
}

// TestUnsentRequestDoesNotAffectTags checks that a request that leaves the queue unsent does
// not affect the tags of later requests.
func TestUnsentRequestDoesNotAffectTags(t *testing.T) {
	q := newQueueFixture(t)
	a := q.volume("a", 1)
	first, big, last := q.enqueue(a, 1), q.enqueue(a, 8), q.enqueue(a, 1)
	q.d.dequeue(big)
	if q.release() != first || q.n.flows[0].startTag != 1 {
		t.Fatalf("start tag of the last request: got %g, want 1, the finish tag of the first", q.n.flows[0].startTag)
	}
	if q.release() != last {
		t.Error("got another request released after the first, want the last one")
	}
}

// TestFairnessBound checks theorem 5 of the paper in intervals with different weights and
// concurrency limits. In each interval, the normalized service (service divided by weight) of two
// backlogged flows f and g differs by at most (D+1)(c_f/φ_f + c_g/φ_g).
func TestFairnessBound(t *testing.T) {
	for seed := range uint64(20) {
		q, rng := newQueueFixture(t), rand.New(rand.NewPCG(seed, 1))
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
			var serviceF, serviceG float64
			for range 20 + rng.IntN(100) {
				if r := q.release(); r.volume == f {
					serviceF += r.Units
				} else {
					serviceG += r.Units
				}
			}
			bound := float64(limit+1) * (maxCost/f.weight + maxCost/g.weight)
			if diff := math.Abs(serviceF/f.weight - serviceG/g.weight); diff > bound {
				t.Fatalf("seed %d, interval %d: difference of normalized service: got %.2f, want at most %.2f", seed, i, diff, bound)
			}
			// The bound of plain start-time fair queuing also holds, because no requests are in flight.
			if diff := math.Abs(serviceF/f.weight - serviceG/g.weight); diff > 2*(maxCost/f.weight+maxCost/g.weight) {
				t.Fatalf("seed %d, interval %d: difference of normalized service without concurrency: got %.2f, want at most %.2f", seed, i, diff, 2*(maxCost/f.weight+maxCost/g.weight))
			}
		}
	}
}

// TestCostCorrectionChangesShare checks that a cost correction changes the tags of the volume's
// flow. A volume whose requests cost eight times the declared units gets an eighth of the other
// volume's sends. A volume whose requests cost less than declared gets more sends.
func TestCostCorrectionChangesShare(t *testing.T) {
	for _, c := range []struct{ correction, want float64 }{{7, 1.0 / 8}, {0, 1}, {-0.75, 4}} {
		q := newQueueFixture(t)
		a, b := q.volume("a", 1), q.volume("b", 1)
		for range 400 {
			q.enqueue(a, 1)
			q.enqueue(b, 1)
		}
		var sendCounts [2]float64
		for range 300 {
			r := q.release()
			if r.volume == a {
				sendCounts[0]++
				q.d.handleCostCorrection(CostCorrection{Volume: "a", Node: q.n.ID, Units: c.correction})
			} else {
				sendCounts[1]++
			}
		}
		if got := sendCounts[0] / sendCounts[1]; math.Abs(got/c.want-1) > 0.1 {
			t.Errorf("correction of %+g units per request: got %.3f times the other volume's sends, want %.3f", c.correction, got, c.want)
		}
	}
}
