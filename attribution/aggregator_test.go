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

// The totals of the volumes and of the others sum to the total of the window, however many volumes
// there are.
func TestWindowTotalsAgree(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 5))
			a := newTestAggregator(t, 1+rng.IntN(20), 1+rng.IntN(20))
			trueTotals := map[string]time.Duration{}
			n := 0
			now := time.Duration(0)
			for range 4000 {
				now += time.Duration(rng.IntN(2000)) * time.Microsecond
				e := Entry{Volume: fmt.Sprint("v", rng.IntN(1+rng.IntN(300))), Ended: now}
				e.Parts[rng.IntN(Components)] = time.Duration(rng.IntN(5000)) * time.Microsecond
				e.Parts[QueuedBehindOthers] = time.Duration(rng.IntN(3000)) * time.Microsecond
				e.Behind = []Contribution{{fmt.Sprint("v", rng.IntN(40)), e.Parts[QueuedBehindOthers]}}
				trueTotals[e.Volume] += e.Parts.Total()
				n++
				a.Add(e)
			}
			w, ok := a.Window(now, 9*time.Second)
			if !ok {
				t.Fatal("Window(9s) returned no window")
			}
			checkWindowTotals(t, &w, trueTotals, n)
		})
	}
}

// checkWindowTotals compares a window with the true total time of each volume and the true number of
// requests.
func checkWindowTotals(t *testing.T, w *Window, trueTotals map[string]time.Duration, requests int) {
	t.Helper()
	var total time.Duration
	for _, d := range trueTotals {
		total += d
	}
	if w.All.Parts.Total() != total || w.All.Requests != int64(requests) {
		t.Fatalf("totals of the window: got %v, want %v; got %d requests, want %d",
			w.All.Parts.Total(), total, w.All.Requests, requests)
	}
	for c, d := range w.Others.Parts {
		if d < 0 {
			t.Fatalf("time of the others: got %v in %v, want none below 0", d, Component(c))
		}
	}
	sum, count := w.Others.Parts.Total(), w.Others.Requests
	for _, v := range w.Volumes {
		sum += v.Parts.Total()
		count += v.Requests
		if v.Parts.Total() > trueTotals[v.Volume] || v.Parts.Total()+v.Missing < trueTotals[v.Volume] {
			t.Fatalf("volume %s: got %v and at most %v missing, want %v in this range",
				v.Volume, v.Parts.Total(), v.Missing, trueTotals[v.Volume])
		}
	}
	if sum != total || count != int64(requests) {
		t.Fatalf("sum of volumes and others: got %v, want %v; got %d requests, want %d", sum, total, count, requests)
	}
}

// When one volume floods a node, attribution names it as the main culprit of a waiting volume. A busy
// volume that did not cause the wait gets at most 1/15 of that time.
func TestFloodIsNamed(t *testing.T) {
	a := newTestAggregator(t, 16, 16)
	o := NewOccupancy(0)
	now := time.Duration(0)
	request := func(i int) (volume string, units float64) {
		if i%10 == 0 { // 9 of 10 requests in flight are of the flood, 1 of the busy volume
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
		t.Fatalf("got pairs %+v, want review behind flood, then a second pair with at most 1/15 of its time", w.Pairs)
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
		t.Fatalf("window of 1 s: got %+v, want 1 request and slots of 1 s", w)
	}
	if w, _ := a.Window(8600*ms, 9*time.Second); w.All.Requests != 2 || w.Corrected {
		t.Fatalf("window of 9 s: got %+v, want 2 requests and no correction", w)
	}
	correct := func(at time.Duration, from, to Component, d time.Duration) (int, bool) {
		return a.Correct(Correction{Volume: "a", Ended: at, From: from, To: []ComponentTime{{to, d}}})
	}
	// A report arrives 8 seconds late. Its slot is closed already, but is corrected and marked as corrected.
	a.Advance(8600 * ms)
	if n, late := correct(500*ms, NodeUnknown, NodeQueue, 4*ms); n != 2 || !late {
		t.Fatalf("correction of a closed slot: got %d slots, late %v, want 2, true", n, late)
	}
	if n, late := correct(8500*ms, NodeUnknown, NodeQueue, 0); n != 1 || late {
		t.Fatalf("correction of an open slot: got %d slots, late %v, want 1, false", n, late)
	}
	w, _ := a.Window(8600*ms, 9*time.Second)
	if !w.Corrected || w.All.Parts[NodeQueue] != 4*ms || w.All.Parts.Total() != 30*ms ||
		w.Volumes[0].Parts[NodeUnknown] != 26*ms {
		t.Fatalf("window after the correction: got %+v, want 4 ms in NodeQueue, 26 ms in NodeUnknown", w)
	}
	// A correction moves no more time than the component has. It skips slots that have left the ring.
	correct(500*ms, NodeUnknown, NodeService, time.Hour)
	add(20*time.Second, "b", ms)
	a.Advance(20 * time.Second)
	if n, late := correct(500*ms, NodeService, NodeQueue, ms); n != 2 || !late {
		t.Fatalf("correction after the finest slot left its ring: got %d slots, late %v, want 2, true", n, late)
	}
	if w, _ := a.Window(20*time.Second, 5*time.Second); w.All.Requests != 1 || w.Volumes[0].Volume != "b" {
		t.Fatalf("window of 5 s: got %+v, want 1 request, of volume b", w)
	}
	if w, ok := a.Window(20*time.Second, 50*time.Second); !ok || w.Slot != 10*time.Second || w.All.Requests != 3 {
		t.Fatalf("window of 50 s: got %+v, %v, want 3 requests, slots of 10 s, true", w, ok)
	}
	if _, ok := a.Window(20*time.Second, time.Hour); ok {
		t.Fatal("window of 1 h: got a window, want none, as no resolution covers the span")
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
				t.Errorf("NewAggregator(%+v): got no error, want one", c)
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
