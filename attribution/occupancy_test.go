package attribution

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// inFlightRequest is a request that is in flight at the milliseconds t with from <= t < to.
type inFlightRequest struct {
	volume   string
	units    float64
	from, to int
}

// replay records the starts and ends of the requests in all milliseconds before end. Within one
// millisecond it records ends before starts.
func replay(o *Occupancy, reqs []inFlightRequest, end int) {
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

// countMillisecond divides the millisecond at among the volumes with requests in flight, in
// proportion to their units, and adds the shares to counted.
func countMillisecond(counted map[string]float64, reqs []inFlightRequest, at int) {
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

// Between divides a wait in the same way as a simple reference that divides each millisecond on its
// own. The parts sum exactly to the wait.
func TestOccupancyMatchesReference(t *testing.T) {
	const end = 300 // ms
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 4))
			o := NewOccupancy(0)
			var reqs []inFlightRequest
			for range 1 + rng.IntN(60) {
				from := rng.IntN(end - 1)
				reqs = append(reqs, inFlightRequest{
					volume: fmt.Sprint("v", rng.IntN(5)),
					units:  float64(1 + rng.IntN(8)),
					from:   from,
					to:     from + 1 + rng.IntN(end-from),
				})
			}
			replay(o, reqs, end)
			from := rng.IntN(end)
			checkBetween(t, o, reqs, from, from+rng.IntN(end-from))
		})
	}
}

// checkBetween compares the result of Between with the reference. The bounds of the wait are in
// milliseconds.
func checkBetween(t *testing.T, o *Occupancy, reqs []inFlightRequest, from, to int) {
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
		t.Fatalf("sum of the parts: got %v, want %v", sum, time.Duration(to-from)*ms)
	}
	for v, w := range want {
		if d := got[v] - w; d > 0.01 || d < -0.01 {
			t.Fatalf("volume %q: got %.3f ms, want %.3f ms", v, got[v], w)
		}
	}
}

// The history has a bounded number of intervals, which are longer the older they are. Even for a long
// wait, the error of a volume's time is at most the length of the longest interval. The time before
// the start of the history is attributed to no volume.
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
		t.Fatalf("got %d intervals in the history, want at most historyLevels*intervalsPerLevel", kept)
	}
	parts := func(from, to time.Duration) map[string]time.Duration {
		m := map[string]time.Duration{}
		sum := time.Duration(0)
		for _, b := range o.Between(from, to) {
			m[b.Volume] = b.Time
			sum += b.Time
		}
		if sum != to-from {
			t.Fatalf("sum of the parts: got %v, want %v", sum, to-from)
		}
		return m
	}
	end := 2 * n * ms
	if m := parts(end-10*time.Second, end); m["b"] < 4990*ms || m["b"] > 5010*ms || m["a"] > 0 || m[""] < 4990*ms {
		t.Fatalf("last 10 s: got %v, want 5 s each of volume b and of idle time", m)
	}
	if m := parts(0, end); m["b"] > 13*time.Second || m["a"] > 0 || m[""] < end-27*time.Second {
		t.Fatalf("whole time: got %v, want at most 13 s of volume b, none of a, the rest unattributed", m)
	}
}

// BenchmarkOccupancy measures the start and end of one request. The name of each sub-benchmark is
// the number of volumes that have requests in flight.
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
