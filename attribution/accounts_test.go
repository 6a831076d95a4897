package attribution

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Whatever the schedule, the parts of a span sum to its time.
func TestSpanSumsExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "start"))
		s := StartSpan(now, Gateway)
		first, latest := now, now
		for _, step := range rapid.SliceOf(rapid.Int64Range(-1e6, 1e9)).Draw(t, "steps") {
			now += time.Duration(step) // clocks that go back change nothing
			s.Enter(now, Component(rapid.IntRange(0, Components-1).Draw(t, "cause")))
			latest = max(latest, now)
			s.Move(Component(rapid.IntRange(0, Components-1).Draw(t, "from")), Component(rapid.IntRange(0, Components-1).Draw(t, "to")), time.Duration(step))
		}
		if s.Parts.Total() != s.Elapsed() || s.Elapsed() != latest-first {
			t.Fatalf("parts %v, took %v, time %v", s.Parts.Total(), s.Elapsed(), latest-first)
		}
		for c, d := range s.Parts {
			if d < 0 {
				t.Fatalf("%v: %v", Component(c), d)
			}
		}
	})
}

func TestCausesHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for c := range Component(Components) {
		back, ok := ParseComponent(c.String())
		if !ok || back != c || seen[c.String()] {
			t.Errorf("%d is %q", c, c)
		}
		seen[c.String()] = true
	}
}

// The sketch keeps its word beside a plain map, for streams of many shapes.
func TestSketchBounds(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		k := 1 + rng.IntN(40)
		zipf := rand.NewZipf(rng, 1.01+rng.Float64(), 1, uint64(1+rng.IntN(2000)))
		parts := 1 + rng.IntN(4)
		truth := map[int]int64{}
		whole := NewSketch[int](k)
		for range parts { // merged from several, as windows are
			s := NewSketch[int](k)
			for range rng.IntN(3000) {
				key, w := int(zipf.Uint64()), 1+rng.Int64N(1000)
				truth[key] += w
				s.Add(key, w)
			}
			whole.Merge(s)
		}
		var total int64
		for _, w := range truth {
			total += w
		}
		if whole.Total() != total || whole.Len() > k {
			t.Fatalf("seed %d: total %d of %d, %d keys", seed, whole.Total(), total, whole.Len())
		}
		for key, w := range truth {
			it := whole.Get(key)
			if it.Count < w || it.Count-it.Error > w {
				t.Fatalf("seed %d: key %d: %d with error %d, truth %d", seed, key, it.Count, it.Error, w)
			}
			if it.Error > total/int64(k) {
				t.Fatalf("seed %d: error %d above %d/%d", seed, it.Error, total, k)
			}
			if w > total/int64(k) && whole.counters[key] == nil {
				t.Fatalf("seed %d: a key with %d of %d is not among %d", seed, w, total, k)
			}
		}
		top := whole.Top(k)
		if !slices.IsSortedFunc(top, func(a, b Item[int]) int { return cmp.Compare(b.Count, a.Count) }) {
			t.Fatal("top is not in order")
		}
	}
}

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

func books(t *testing.T, volumes, pairs int) *Aggregator {
	t.Helper()
	b, err := NewAggregator(Config{Resolutions: []Resolution{{time.Second, 10}, {10 * time.Second, 10}, {time.Minute, 10}}, Volumes: volumes, Pairs: pairs})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Nothing is lost from the sums, however many volumes there are: the lines, the
// rest and the whole agree in every window.
func TestBooksBalance(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 5))
		b := books(t, 1+rng.IntN(20), 1+rng.IntN(20))
		truth := map[string]time.Duration{}
		var total time.Duration
		n := 0
		now := time.Duration(0)
		for range 4000 {
			now += time.Duration(rng.IntN(2000)) * time.Microsecond
			e := Entry{Volume: fmt.Sprint("v", rng.IntN(1+rng.IntN(300))), Ended: now}
			e.Parts[rng.IntN(Components)] = time.Duration(rng.IntN(5000)) * time.Microsecond
			e.Parts[QueuedBehindOthers] = time.Duration(rng.IntN(3000)) * time.Microsecond
			e.Behind = []Contribution{{fmt.Sprint("v", rng.IntN(40)), e.Parts[QueuedBehindOthers]}}
			truth[e.Volume] += e.Parts.Total()
			total += e.Parts.Total()
			n++
			b.Add(e)
		}
		w, ok := b.Over(now, 9*time.Second)
		if !ok || w.All.Parts.Total() != total || w.All.Requests != int64(n) {
			t.Fatalf("seed %d: %v of %v, %d of %d requests", seed, w.All.Parts.Total(), total, w.All.Requests, n)
		}
		sum, count := w.Others.Parts.Total(), w.Others.Requests
		for c, d := range w.Others.Parts {
			if d < 0 {
				t.Fatalf("the rest has %v of %v", d, Component(c))
			}
		}
		for _, l := range w.Volumes {
			sum, count = sum+l.Parts.Total(), count+l.Requests
			if l.Parts.Total() > truth[l.Volume] || l.Parts.Total()+l.Missing < truth[l.Volume] {
				t.Fatalf("seed %d: %s has %v, missing at most %v, truth %v", seed, l.Volume, l.Parts.Total(), l.Missing, truth[l.Volume])
			}
		}
		if sum != total || count != int64(n) {
			t.Fatalf("seed %d: lines and rest are %v of %v", seed, sum, total)
		}
	}
}

// A flood is named as what the others waited behind; a busy volume is not.
func TestFloodIsNamed(t *testing.T) {
	b := books(t, 16, 16)
	o := NewOccupancy(0)
	now := time.Duration(0)
	for i := range 400 { // a flood has nine of ten places, a busy volume one
		now += 5 * ms
		v, u := "flood", 4.0
		if i%10 == 0 {
			v, u = "busy", 2.0
		}
		o.Sent(now, v, u)
		if i >= 8 {
			o.Ended(now, map[bool]string{true: "busy", false: "flood"}[(i-8)%10 == 0], map[bool]float64{true: 2, false: 4}[(i-8)%10 == 0])
		}
		if i%4 == 3 && i > 20 {
			e := Entry{Volume: "review", Ended: now}
			e.Parts[QueuedBehindOthers] = 40 * ms
			e.Behind = o.Between(now-40*ms, now)
			b.Add(e)
		}
	}
	w, _ := b.Over(now, 5*time.Second)
	if len(w.Pairs) != 2 || w.Pairs[0].Key != (Pair{"review", "flood"}) || w.Pairs[0].Count < 15*w.Pairs[1].Count || w.PairError != 0 {
		t.Fatalf("%+v", w.Pairs)
	}
}

func TestWindowsSlideAndCorrect(t *testing.T) {
	b := books(t, 4, 4)
	add := func(at time.Duration, v string, d time.Duration) {
		e := Entry{Volume: v, Ended: at}
		e.Parts[NodeUnknown] = d
		b.Add(e)
	}
	add(500*ms, "a", 10*ms)
	add(8500*ms, "a", 20*ms)
	if w, ok := b.Over(8600*ms, time.Second); !ok || w.All.Requests != 1 || w.Slot != time.Second {
		t.Fatalf("%+v", w)
	}
	if w, _ := b.Over(8600*ms, 9*time.Second); w.All.Requests != 2 || w.Corrected {
		t.Fatalf("%+v", w)
	}
	correct := func(at time.Duration, from, to Component, d time.Duration) (int, bool) {
		return b.Correct(Correction{Volume: "a", Ended: at, From: from, To: []ComponentTime{{to, d}}})
	}
	// A report that is late by eight seconds: the slot is closed, is put right, says so.
	b.Advance(8600 * ms)
	if n, late := correct(500*ms, NodeUnknown, NodeQueue, 4*ms); n != 2 || !late {
		t.Fatalf("held in %d resolutions, late %v", n, late)
	}
	if n, late := correct(8500*ms, NodeUnknown, NodeQueue, 0); n != 1 || late {
		t.Fatalf("an open slot: %d resolutions, late %v", n, late)
	}
	w, _ := b.Over(8600*ms, 9*time.Second)
	if !w.Corrected || w.All.Parts[NodeQueue] != 4*ms || w.Volumes[0].Parts[NodeUnknown] != 26*ms || w.All.Parts.Total() != 30*ms {
		t.Fatalf("%+v", w)
	}
	// More than is there cannot be moved, and what has left the ring is not touched.
	correct(500*ms, NodeUnknown, NodeService, time.Hour)
	add(20*time.Second, "b", ms)
	b.Advance(20 * time.Second)
	if n, late := correct(500*ms, NodeService, NodeQueue, ms); n != 2 || !late {
		t.Fatalf("held in %d resolutions, late %v", n, late)
	}
	if w, _ := b.Over(20*time.Second, 5*time.Second); w.All.Requests != 1 || w.Volumes[0].Volume != "b" {
		t.Fatalf("%+v", w)
	}
	if w, ok := b.Over(20*time.Second, 50*time.Second); !ok || w.Slot != 10*time.Second || w.All.Requests != 3 {
		t.Fatalf("%+v %v", w, ok)
	}
	if _, ok := b.Over(20*time.Second, time.Hour); ok {
		t.Fatal("a window that no resolution reaches is told")
	}
	for _, c := range []Config{{}, {Resolutions: []Resolution{{time.Second, 5}, {1500 * ms, 5}}, Volumes: 1, Pairs: 1}, {Resolutions: []Resolution{{0, 5}}, Volumes: 1, Pairs: 1}, {Resolutions: []Resolution{{time.Second, 1}}, Volumes: 1, Pairs: 1}} {
		if _, err := NewAggregator(c); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// BenchmarkPairs compares the sketch with a plain map over 100,000 volumes.
func BenchmarkPairs(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.2, 1, 99_999)
	stream := make([]Pair, 1<<20)
	names := make([]string, 100_000)
	for i := range names {
		names[i] = fmt.Sprint("volume-", i)
	}
	for i := range stream {
		stream[i] = Pair{names[zipf.Uint64()], names[zipf.Uint64()]}
	}
	b.Run("sketch-128", func(b *testing.B) {
		s := NewSketch[Pair](128)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			s.Add(stream[i&(1<<20-1)], 1000)
		}
		b.ReportMetric(float64(s.Len()), "keys")
	})
	b.Run("map", func(b *testing.B) {
		m := map[Pair]int64{}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			m[stream[i&(1<<20-1)]] += 1000
		}
		b.ReportMetric(float64(len(m)), "keys")
	})
}

func BenchmarkBooksAdd(b *testing.B) {
	k, _ := NewAggregator(DefaultConfig())
	names := make([]string, 100_000)
	for i := range names {
		names[i] = fmt.Sprint("volume-", i)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.2, 1, 99_999)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e := Entry{Volume: names[zipf.Uint64()], Ended: time.Duration(i) * 50 * time.Microsecond}
		e.Parts[NodeUnknown], e.Parts[QueuedBehindOthers] = ms, ms
		e.Behind = []Contribution{{names[zipf.Uint64()], ms}}
		k.Add(e)
	}
}
