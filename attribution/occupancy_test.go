package attribution

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// occupant is a request that is in flight in the milliseconds from <= t < to.
type occupant struct {
	volume   string
	units    float64
	from, to int
}

// play records the requests of the milliseconds below end, ends before starts.
func play(o *Occupancy, reqs []occupant, end int) {
	for at := range end {
		for _, r := range reqs {
			if r.to == at {
				o.RequestEnded(time.Duration(at)*ms, r.volume, r.units)
			}
		}
		for _, r := range reqs {
			if r.from == at {
				o.RequestSent(time.Duration(at)*ms, r.volume, r.units)
			}
		}
	}
}

// countMillisecond adds one millisecond to the volumes in flight at it, by their units.
func countMillisecond(counted map[string]float64, reqs []occupant, at int) {
	units := 0.0
	for _, r := range reqs {
		if r.from <= at && at < r.to {
			units += r.units
		}
	}
	if units == 0 {
		counted[""]++
	}
	for _, r := range reqs {
		if r.from <= at && at < r.to {
			counted[r.volume] += r.units / units
		}
	}
}

// A wait is divided as a plain count of every millisecond divides it, and sums exactly.
func TestOccupancyAgainstPlainCount(t *testing.T) {
	const end = 300 // ms
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 4))
			o := NewOccupancy(0)
			var reqs []occupant
			for range 1 + rng.IntN(60) {
				from := rng.IntN(end - 1)
				reqs = append(reqs, occupant{
					volume: fmt.Sprint("v", rng.IntN(5)),
					units:  float64(1 + rng.IntN(8)),
					from:   from,
					to:     from + 1 + rng.IntN(end-from),
				})
			}
			play(o, reqs, end)
			from := rng.IntN(end)
			checkBetween(t, o, reqs, from, from+rng.IntN(end-from))
		})
	}
}

// checkBetween compares the division of a wait, in milliseconds, with a plain count.
func checkBetween(t *testing.T, o *Occupancy, reqs []occupant, from, to int) {
	t.Helper()
	want := map[string]float64{}
	for at := from; at < to; at++ {
		countMillisecond(want, reqs, at)
	}
	var sum time.Duration
	got := map[string]float64{}
	for _, b := range o.Between(time.Duration(from)*ms, time.Duration(to)*ms) {
		sum += b.Time
		got[b.Volume] += float64(b.Time) / float64(ms)
	}
	if sum != time.Duration(to-from)*ms {
		t.Fatalf("parts sum to %v of %v", sum, time.Duration(to-from)*ms)
	}
	for v, w := range want {
		if d := got[v] - w; d > 0.01 || d < -0.01 {
			t.Fatalf("%q has %.3f ms, the plain count %.3f", v, got[v], w)
		}
	}
}

// The history is bounded and grows coarser: over a long time volumes have what they had, within
// the coarsest interval; what lies before it belongs to no volume.
func TestOccupancyHistoryIsBounded(t *testing.T) {
	o := NewOccupancy(ms)
	const n = 200_000
	for i := range n {
		v := []string{"a", "b"}[i/(n/2)] // a in the first half, b in the second
		o.RequestSent(time.Duration(2*i)*ms, v, 1)
		o.RequestEnded(time.Duration(2*i+1)*ms, v, 1)
	}
	kept := 0
	for _, h := range o.history {
		kept += len(h)
	}
	if kept > historyLevels*intervalsPerLevel {
		t.Fatalf("%d intervals", kept)
	}
	parts := func(from, to time.Duration) map[string]time.Duration {
		m := map[string]time.Duration{}
		sum := time.Duration(0)
		for _, b := range o.Between(from, to) {
			m[b.Volume] = b.Time
			sum += b.Time
		}
		if sum != to-from {
			t.Fatalf("parts sum to %v of %v", sum, to-from)
		}
		return m
	}
	end := 2 * n * ms
	if m := parts(end-10*time.Second, end); m["b"] < 4990*ms || m["b"] > 5010*ms || m["a"] > 0 || m[""] < 4990*ms {
		t.Fatalf("the last ten seconds: %v", m)
	}
	if m := parts(0, end); m["b"] > 13*time.Second || m["a"] > 0 || m[""] < end-27*time.Second {
		t.Fatalf("all: %v", m)
	}
}

// BenchmarkOccupancy measures a request that is sent and ends while so many volumes have
// requests in flight.
func BenchmarkOccupancy(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			o := NewOccupancy(8 * ms)
			for i := range n {
				o.RequestSent(0, fmt.Sprint("v", i), 1)
			}
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += 50 * time.Microsecond
				o.RequestSent(now, "v0", 1)
				o.RequestEnded(now+20*time.Microsecond, "v0", 1)
			}
		})
	}
}
