package attribution

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Percentiles differ by at most PercentileError from those of a sorted list of all times, including
// times of 0. This also holds for slots that were closed, packed and merged.
func TestPercentilesAgainstSortedList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	c := newTestCollector(t, nil)
	var all, others []time.Duration
	for i := range 5000 {
		e := Entry{Volume: "v", Ended: time.Duration(i) * 5 * ms}
		e.Parts[NodeService] = time.Duration(math.Exp(rng.NormFloat64()*2+2) * float64(ms))
		if rng.IntN(3) == 0 {
			e.Parts[QueuedBehindOthers] = time.Duration(rng.IntN(1_000_000)) * time.Microsecond
		}
		all = append(all, e.Parts.Total())
		others = append(others, e.Parts[QueuedBehindOthers])
		c.Handle(e.Ended, Batch{Entries: []Entry{e}})
	}
	w, _ := c.Aggregator().Window(c.now, 4*time.Minute)
	d, ok := w.Distribution("v")
	if !ok {
		t.Fatal("the window has no distributions for volume v")
	}
	slices.Sort(all)
	slices.Sort(others)
	for _, s := range []float64{0.1, 0.5, 0.66, 0.7, 0.9, 0.99, 0.999} {
		for _, x := range []struct {
			name   string
			got    time.Duration
			sorted []time.Duration
		}{
			{"whole", d.Percentile(s), all},
			{"behind others", d.ComponentPercentile(QueuedBehindOthers, s), others},
		} {
			at := int(s * float64(len(x.sorted)))
			lo, hi := x.sorted[max(at-2, 0)], x.sorted[min(at+2, len(x.sorted)-1)]
			least := lo.Seconds()*(1-PercentileError) - 2e-6
			most := hi.Seconds()*(1+PercentileError) + 2e-6
			if x.got.Seconds() < least || x.got.Seconds() > most {
				t.Errorf("%s, share %g: got percentile %v, want %v to %v", x.name, s, x.got, lo, hi)
			}
		}
	}
}

// Heavy volumes get distributions even if requests of light volumes arrive first.
func TestDistributionsOfTheHeaviest(t *testing.T) {
	c := newTestCollector(t, func(cfg *CollectorConfig) { cfg.Distributions = 2 })
	for slot := range 3 {
		for i := range 40 {
			v, d := fmt.Sprint("light", i%20), ms
			if i%10 == 9 {
				v, d = "heavy", 100*ms
			}
			e := Entry{Volume: v, Ended: time.Duration(slot)*10*time.Second + time.Duration(i)*50*ms}
			e.Parts[NodeService] = d
			c.Handle(e.Ended, Batch{Entries: []Entry{e}})
		}
	}
	w, _ := c.Aggregator().Window(c.now, 4*time.Minute)
	d, ok := w.Distribution("heavy")
	if len(w.Distributions) > 2 || !ok || d.Total.Count() < 8 {
		t.Fatalf("got %d distributions, want at most 2; volume heavy has one: %v, with %+v, want 8 or more requests",
			len(w.Distributions), ok, d.Total)
	}
}
