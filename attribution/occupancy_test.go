package attribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A wait is divided as a plain count of every millisecond divides it, and sums exactly.
func TestOccupancyBesideAPlainCount(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 4))
		o := NewOccupancy(0)
		type req struct {
			v        string
			u        float64
			from, to int
		}
		const end = 300
		var reqs []req
		for range 1 + rng.IntN(60) {
			a := rng.IntN(end - 1)
			reqs = append(reqs, req{fmt.Sprint("v", rng.IntN(5)), float64(1 + rng.IntN(8)), a, a + 1 + rng.IntN(end-a)})
		}
		for at := range end {
			for _, r := range reqs {
				if r.to == at {
					o.Ended(time.Duration(at)*ms, r.v, r.u)
				}
			}
			for _, r := range reqs {
				if r.from == at {
					o.Sent(time.Duration(at)*ms, r.v, r.u)
				}
			}
		}
		a := rng.IntN(end)
		z := a + rng.IntN(end-a)
		want := map[string]float64{}
		for at := a; at < z; at++ {
			units := 0.0
			for _, r := range reqs {
				if r.from <= at && at < r.to {
					units += r.u
				}
			}
			if units == 0 {
				want[""]++
			}
			for _, r := range reqs {
				if r.from <= at && at < r.to {
					want[r.v] += r.u / units
				}
			}
		}
		var sum time.Duration
		got := map[string]float64{}
		for _, b := range o.Between(time.Duration(a)*ms, time.Duration(z)*ms) {
			sum += b.Time
			got[b.Volume] += float64(b.Time) / float64(ms)
		}
		if sum != time.Duration(z-a)*ms {
			t.Fatalf("seed %d: parts sum to %v of %v", seed, sum, time.Duration(z-a)*ms)
		}
		for v, w := range want {
			if d := got[v] - w; d > 0.01 || d < -0.01 {
				t.Fatalf("seed %d: %q has %.3f ms, the count says %.3f", seed, v, got[v], w)
			}
		}
	}
}

// History is bounded and grows coarser: over a long time volumes have what they
// had, within the coarsest stretch; what lies before is put down to nobody, never
// guessed.
func TestOccupancyForgets(t *testing.T) {
	o := NewOccupancy(ms)
	const n = 200_000
	for i := range n {
		v := []string{"a", "b"}[i/(n/2)] // a in the first half, b in the second
		o.Sent(time.Duration(2*i)*ms, v, 1)
		o.Ended(time.Duration(2*i+1)*ms, v, 1)
	}
	kept := 0
	for _, h := range o.history {
		kept += len(h)
	}
	if kept > historyLevels*intervalsPerLevel {
		t.Fatalf("%d stretches", kept)
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

// BenchmarkOccupancy tells of a request that is sent and ends while so many volumes
// are out, beside a history of every change.
func BenchmarkOccupancy(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := NewOccupancy(8 * ms)
			for i := range n {
				o.Sent(0, fmt.Sprint("v", i), 1)
			}
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += 50 * time.Microsecond
				o.Sent(now, "v0", 1)
				o.Ended(now+20*time.Microsecond, "v0", 1)
			}
		})
	}
}
