package attribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

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
