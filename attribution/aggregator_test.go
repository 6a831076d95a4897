package attribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newTestAggregator(t *testing.T, volumes, pairs int) *Aggregator {
	t.Helper()
	a, err := NewAggregator(Config{
		Resolutions: []Resolution{{time.Second, 10}, {10 * time.Second, 10}, {time.Minute, 10}},
		Volumes:     volumes,
		Pairs:       pairs,
	})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Nothing is lost from the sums, however many volumes there are: the volumes, the others and the
// whole agree in every window.
func TestWindowTotalsAgree(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 5))
			a := newTestAggregator(t, 1+rng.IntN(20), 1+rng.IntN(20))
			truth := map[string]time.Duration{}
			n := 0
			now := time.Duration(0)
			for range 4000 {
				now += time.Duration(rng.IntN(2000)) * time.Microsecond
				e := Entry{Volume: fmt.Sprint("v", rng.IntN(1+rng.IntN(300))), Ended: now}
				e.Parts[rng.IntN(Components)] = time.Duration(rng.IntN(5000)) * time.Microsecond
				e.Parts[QueuedBehindOthers] = time.Duration(rng.IntN(3000)) * time.Microsecond
				e.Behind = []Contribution{{fmt.Sprint("v", rng.IntN(40)), e.Parts[QueuedBehindOthers]}}
				truth[e.Volume] += e.Parts.Total()
				n++
				a.Add(e)
			}
			w, ok := a.Window(now, 9*time.Second)
			if !ok {
				t.Fatal("no window")
			}
			checkWindowTotals(t, &w, truth, n)
		})
	}
}

// checkWindowTotals compares a window with the true time by volume and number of requests.
func checkWindowTotals(t *testing.T, w *Window, truth map[string]time.Duration, requests int) {
	t.Helper()
	var total time.Duration
	for _, d := range truth {
		total += d
	}
	if w.All.Parts.Total() != total || w.All.Requests != int64(requests) {
		t.Fatalf("%v of %v, %d of %d requests", w.All.Parts.Total(), total, w.All.Requests, requests)
	}
	for c, d := range w.Others.Parts {
		if d < 0 {
			t.Fatalf("the others have %v of %v", d, Component(c))
		}
	}
	sum, count := w.Others.Parts.Total(), w.Others.Requests
	for _, v := range w.Volumes {
		sum += v.Parts.Total()
		count += v.Requests
		if v.Parts.Total() > truth[v.Volume] || v.Parts.Total()+v.Missing < truth[v.Volume] {
			t.Fatalf("%s has %v, missing at most %v, truth %v", v.Volume, v.Parts.Total(), v.Missing, truth[v.Volume])
		}
	}
	if sum != total || count != int64(requests) {
		t.Fatalf("volumes and others are %v of %v, %d of %d requests", sum, total, count, requests)
	}
}

// A flood is named as what the others waited behind; a busy volume is not.
func TestFloodIsNamed(t *testing.T) {
	a := newTestAggregator(t, 16, 16)
	o := NewOccupancy(0)
	now := time.Duration(0)
	request := func(i int) (volume string, units float64) {
		if i%10 == 0 { // the flood has nine of ten requests in flight, a busy volume one
			return "busy", 2
		}
		return "flood", 4
	}
	for i := range 400 {
		now += 5 * ms
		volume, units := request(i)
		o.RequestSent(now, volume, units)
		if i >= 8 {
			volume, units = request(i - 8)
			o.RequestEnded(now, volume, units)
		}
		if i%4 == 3 && i > 20 {
			e := Entry{Volume: "review", Ended: now}
			e.Parts[QueuedBehindOthers] = 40 * ms
			e.Behind = o.Between(now-40*ms, now)
			a.Add(e)
		}
	}
	w, _ := a.Window(now, 5*time.Second)
	if len(w.Pairs) != 2 || w.PairError != 0 ||
		w.Pairs[0].Key != (Pair{"review", "flood"}) || w.Pairs[0].Count < 15*w.Pairs[1].Count {
		t.Fatalf("%+v", w.Pairs)
	}
}

func TestWindowsSlideAndCorrect(t *testing.T) {
	a := newTestAggregator(t, 4, 4)
	add := func(at time.Duration, v string, d time.Duration) {
		e := Entry{Volume: v, Ended: at}
		e.Parts[NodeUnknown] = d
		a.Add(e)
	}
	add(500*ms, "a", 10*ms)
	add(8500*ms, "a", 20*ms)
	if w, ok := a.Window(8600*ms, time.Second); !ok || w.All.Requests != 1 || w.Slot != time.Second {
		t.Fatalf("%+v", w)
	}
	if w, _ := a.Window(8600*ms, 9*time.Second); w.All.Requests != 2 || w.Corrected {
		t.Fatalf("%+v", w)
	}
	correct := func(at time.Duration, from, to Component, d time.Duration) (int, bool) {
		return a.Correct(Correction{Volume: "a", Ended: at, From: from, To: []ComponentTime{{to, d}}})
	}
	// A report that is late by eight seconds: the slot is closed, is corrected, and says so.
	a.Advance(8600 * ms)
	if n, late := correct(500*ms, NodeUnknown, NodeQueue, 4*ms); n != 2 || !late {
		t.Fatalf("held in %d resolutions, late %v", n, late)
	}
	if n, late := correct(8500*ms, NodeUnknown, NodeQueue, 0); n != 1 || late {
		t.Fatalf("an open slot: %d resolutions, late %v", n, late)
	}
	w, _ := a.Window(8600*ms, 9*time.Second)
	if !w.Corrected || w.All.Parts[NodeQueue] != 4*ms || w.All.Parts.Total() != 30*ms ||
		w.Volumes[0].Parts[NodeUnknown] != 26*ms {
		t.Fatalf("%+v", w)
	}
	// More than is there cannot be moved, and what has left the ring is not touched.
	correct(500*ms, NodeUnknown, NodeService, time.Hour)
	add(20*time.Second, "b", ms)
	a.Advance(20 * time.Second)
	if n, late := correct(500*ms, NodeService, NodeQueue, ms); n != 2 || !late {
		t.Fatalf("held in %d resolutions, late %v", n, late)
	}
	if w, _ := a.Window(20*time.Second, 5*time.Second); w.All.Requests != 1 || w.Volumes[0].Volume != "b" {
		t.Fatalf("%+v", w)
	}
	if w, ok := a.Window(20*time.Second, 50*time.Second); !ok || w.Slot != 10*time.Second || w.All.Requests != 3 {
		t.Fatalf("%+v %v", w, ok)
	}
	if _, ok := a.Window(20*time.Second, time.Hour); ok {
		t.Fatal("a window longer than every resolution is returned")
	}
}

func TestInvalidConfig(t *testing.T) {
	for name, c := range map[string]Config{
		"empty":             {},
		"not a multiple":    {Resolutions: []Resolution{{time.Second, 5}, {1500 * ms, 5}}, Volumes: 1, Pairs: 1},
		"slots of length 0": {Resolutions: []Resolution{{0, 5}}, Volumes: 1, Pairs: 1},
		"a single slot":     {Resolutions: []Resolution{{time.Second, 1}}, Volumes: 1, Pairs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := NewAggregator(c); err == nil {
				t.Errorf("%+v is accepted", c)
			}
		})
	}
}

func BenchmarkAggregatorAdd(b *testing.B) {
	a, err := NewAggregator(DefaultConfig())
	if err != nil {
		b.Fatal(err)
	}
	names := volumeNames(100_000)
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.2, 1, 99_999)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e := Entry{Volume: names[zipf.Uint64()], Ended: time.Duration(i) * 50 * time.Microsecond}
		e.Parts[NodeUnknown] = ms
		e.Parts[QueuedBehindOthers] = ms
		e.Behind = []Contribution{{names[zipf.Uint64()], ms}}
		a.Add(e)
	}
}
