package attribution

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

func newTestCollector(tb testing.TB, change func(*CollectorConfig)) *Collector {
	tb.Helper()
	cfg := DefaultCollectorConfig()
	cfg.Resolutions = []Resolution{{time.Second, 30}, {10 * time.Second, 30}, {time.Minute, 10}}
	if change != nil {
		change(&cfg)
	}
	c, err := NewCollector(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// unreportedEntry is an entry of 30 ms at its node, which has not reported how they divide.
func unreportedEntry(volume string, call uint64, ended time.Duration) Entry {
	e := Entry{Volume: volume, Started: ended - 30*ms, Ended: ended}
	e.Parts[NodeUnknown] = 30 * ms
	e.Unreported = []Unreported{{
		Request: call,
		Unknown: 30 * ms,
		Ahead:   []InFlightUnits{{Volume: "flood", Units: 3}, {Volume: volume, Units: 1}},
	}}
	return e
}

// lateReport is a report for unreportedEntry("v", 7, ...).
var lateReport = NodeReport{Request: 7, Queue: 20 * ms, Service: 8 * ms}

// checkReported checks that the one request of the last 20 seconds is divided as lateReport says.
func checkReported(t *testing.T, c *Collector, corrected bool) {
	t.Helper()
	w, _ := c.Aggregator().Window(c.now, 20*time.Second)
	v, _ := w.Summary("v")
	if v.Parts[NodeQueue] != 20*ms || v.Parts[NodeService] != 8*ms || v.Parts[NodeUnknown] != 2*ms ||
		w.Corrected != corrected {
		t.Fatalf("%v, corrected %v", v.Parts, w.Corrected)
	}
	if len(w.Pairs) != 1 || w.Pairs[0].Key != (Pair{"v", "flood"}) || time.Duration(w.Pairs[0].Count) != 15*ms {
		t.Fatalf("%+v", w.Pairs)
	}
	d, ok := w.Distribution("v")
	if !ok || d.ComponentPercentile(NodeQueue, 0.5) < 19*ms ||
		d.ComponentPercentile(NodeUnknown, 0.5) > 2100*time.Microsecond || d.Components["node_unknown"].Count() != 1 {
		t.Fatalf("distributions %+v", d)
	}
}

// A report is matched with its request whenever it arrives: before the entry, after it, after the
// slot was closed and saved, or never. A repeated one counts once.
func TestLateReports(t *testing.T) {
	t.Run("before the entry", func(t *testing.T) {
		c := newTestCollector(t, nil)
		c.Handle(500*ms, Batch{Reports: []NodeReport{lateReport}})
		c.Handle(600*ms, Batch{Entries: []Entry{unreportedEntry("v", 7, 550*ms)}})
		checkReported(t, c, false)
	})
	t.Run("after the entry, twice", func(t *testing.T) {
		c := newTestCollector(t, nil)
		c.Handle(600*ms, Batch{Entries: []Entry{unreportedEntry("v", 7, 550*ms)}, Reports: []NodeReport{lateReport}})
		c.Handle(700*ms, Batch{Reports: []NodeReport{lateReport}})
		checkReported(t, c, false)
		if n := c.Counts(); n.Unreported != 1 || n.ReportedLate != 1 || n.Corrected != 0 {
			t.Fatalf("%+v", n)
		}
	})
	t.Run("after the slot was saved", func(t *testing.T) {
		c := newTestCollector(t, nil)
		c.Handle(600*ms, Batch{Entries: []Entry{unreportedEntry("v", 7, 550*ms)}})
		acts := slices.Clone(c.Handle(12*time.Second, Tick{}))
		if len(acts) != 1 || acts[0].(SlotClosed).Window.All.Parts[NodeUnknown] != 30*ms {
			t.Fatalf("a slot that closed: %+v", acts)
		}
		saved := acts[0].(SlotClosed).Window
		acts = c.Handle(13*time.Second, Batch{Reports: []NodeReport{lateReport}})
		if len(acts) != 1 {
			t.Fatalf("%+v", acts)
		}
		checkReported(t, c, true)
		fixed := saved.Apply(acts[0].(SlotCorrected).Correction)
		w, _ := c.Aggregator().Window(13*time.Second, 20*time.Second)
		if fixed.All.Parts != w.All.Parts || fixed.Pairs[0] != w.Pairs[0] || !fixed.Corrected ||
			!reflect.DeepEqual(fixed.Distributions, w.Distributions) {
			t.Fatalf("the saved slot with its correction is %+v, the aggregator's %+v", fixed, w)
		}
	})
	t.Run("of another attempt", func(t *testing.T) {
		c := newTestCollector(t, nil)
		other := NodeReport{Request: 7, Attempt: 1, Service: ms}
		c.Handle(600*ms, Batch{Entries: []Entry{unreportedEntry("v", 7, 550*ms)}, Reports: []NodeReport{other}})
		if w, _ := c.Aggregator().Window(c.now, time.Second); w.All.Parts[NodeUnknown] != 30*ms {
			t.Fatalf("another attempt's report was taken: %v", w.All.Parts)
		}
	})
}

// What a report attributes is bounded by the time that the attempt took.
func TestReportsAreBounded(t *testing.T) {
	for name, r := range map[string]NodeReport{
		"too long":              {Request: 7, Queue: time.Hour, Service: time.Hour},
		"negative and too long": {Request: 7, Queue: -time.Hour, Service: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCollector(t, nil)
			c.Handle(600*ms, Batch{Entries: []Entry{unreportedEntry("v", 7, 550*ms)}, Reports: []NodeReport{r}})
			w, _ := c.Aggregator().Window(c.now, time.Second)
			if p := w.All.Parts; p.Total() != 30*ms || p[NodeUnknown] != 0 || p[NodeQueue]+p[NodeService] != 30*ms {
				t.Fatalf("%+v: %v", r, p)
			}
		})
	}
}

// Requests that wait for reports are bounded, and so are reports that wait for requests; what is
// evicted is counted.
func TestPendingReportsAreBounded(t *testing.T) {
	c := newTestCollector(t, func(cfg *CollectorConfig) {
		cfg.Late = 4
		cfg.Early = 4
	})
	for i := range uint64(20) {
		c.Handle(600*ms, Batch{Entries: []Entry{unreportedEntry("v", i, 550*ms)}})
	}
	for i := range uint64(20) {
		c.Handle(700*ms, Batch{Reports: []NodeReport{{Request: i, Service: 30 * ms}}})
	}
	unreported, early := len(c.unreported.index), len(c.earlyReports.index)
	if n := c.Counts(); n.ReportedLate != 4 || n.Unplaced != 12 || unreported != 0 || early != 4 {
		t.Fatalf("%+v, %d unreported, %d early", n, unreported, early)
	}
}

// playRandom plays 3000 random requests and returns the collector with all closed windows.
func playRandom(t *testing.T, seed uint64) (*Collector, []Window) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	c := newTestCollector(t, func(cfg *CollectorConfig) {
		cfg.Volumes = 12
		cfg.Pairs = 20
		cfg.Distributions = 4
	})
	var closed []Window
	handle := func(now time.Duration, ev Event) {
		for _, a := range c.Handle(now, ev) {
			if s, ok := a.(SlotClosed); ok {
				closed = append(closed, s.Window)
			}
		}
	}
	now := time.Duration(0)
	for i := range 3000 {
		now += time.Duration(rng.IntN(30)) * ms
		e := unreportedEntry(fmt.Sprint("v", rng.IntN(1+rng.IntN(30))), uint64(i), now)
		e.Parts[QueuedBehindOthers] = time.Duration(rng.IntN(40)) * ms
		e.Behind = []Contribution{{fmt.Sprint("v", rng.IntN(30)), e.Parts[QueuedBehindOthers]}}
		e.Outcome = Outcome(rng.IntN(Outcomes))
		b := Batch{Entries: []Entry{e}}
		if rng.IntN(2) == 0 {
			b.Reports = []NodeReport{{Request: uint64(max(0, i-rng.IntN(50))), Queue: 10 * ms, Service: 10 * ms}}
		}
		handle(now, b)
	}
	handle(now, Flush{})
	return c, closed
}

// roundTrip marshals windows as JSON and reads them back.
func roundTrip(t *testing.T, ws []Window) []Window {
	t.Helper()
	text, err := json.Marshal(ws)
	if err != nil {
		t.Fatal(err)
	}
	var read []Window
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	return read
}

// The same events give the same windows, and windows that are marshaled, read back and summed
// give the sums of the aggregator itself.
func TestWindowsRoundTrip(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c, closed := playRandom(t, seed)
			_, again := playRandom(t, seed)
			if !reflect.DeepEqual(closed, again) {
				t.Fatal("the same events gave other windows")
			}
			checkSums(t, c, roundTrip(t, closed))
		})
	}
}

// checkSums compares a collector of playRandom with its closed windows.
func checkSums(t *testing.T, c *Collector, closed []Window) {
	t.Helper()
	sum := Sum(closed, 64, 400, 64)
	w, ok := c.Aggregator().Window(c.now, 9*time.Minute)
	if !ok || sum.All.Requests != 3000 || sum.All.Parts.Total() != w.All.Parts.Total() || sum.Behind > w.Behind {
		t.Fatalf("%+v beside %+v", sum.All, w.All)
	}
	total := sum.Others.Parts.Total()
	for _, v := range sum.Volumes {
		total += v.Parts.Total()
	}
	if total != sum.All.Parts.Total() {
		t.Fatalf("volumes and others %v of %v", total, sum.All.Parts.Total())
	}
	slots, ok := c.Aggregator().Slots(c.now, 4*time.Minute)
	if !ok || len(slots) < 2 || !reflect.DeepEqual(Sum(slots, 64, 400, 64).All, w.All) {
		t.Fatalf("%d slots", len(slots))
	}
}

// Pairs of few slots stay exact when slots are summed.
func TestSumOfExactWindowsIsExact(t *testing.T) {
	c := newTestCollector(t, nil)
	for i := range 40 {
		e := unreportedEntry("v", uint64(i), time.Duration(i)*time.Second)
		e.Behind = []Contribution{{"flood", ms}, {"", ms}, {"v", ms}}
		c.Handle(e.Ended, Batch{Entries: []Entry{e}})
	}
	ws, _ := c.Aggregator().Slots(40*time.Second, 4*time.Minute)
	sum := Sum(ws, 100, 100, 100)
	want := Item[Pair]{Key: Pair{"v", "flood"}, Count: int64(40 * ms)}
	if sum.PairError != 0 || len(sum.Pairs) != 1 || sum.Pairs[0] != want || sum.Volumes[0].Missing != 0 {
		t.Fatalf("%+v", sum)
	}
}

// BenchmarkCollector enters requests of 100,000 volumes.
func BenchmarkCollector(b *testing.B) {
	c := newTestCollector(b, func(cfg *CollectorConfig) { cfg.Resolutions = DefaultConfig().Resolutions })
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.1, 1, 99_999)
	names := volumeNames(100_000)
	batch := make([]Entry, 128)
	b.ReportAllocs()
	for i := 0; b.Loop(); i += len(batch) {
		now := time.Duration(i) * 50 * time.Microsecond
		for j := range batch {
			batch[j] = unreportedEntry(names[zipf.Uint64()], uint64(i+j), now)
			batch[j].Parts[QueuedBehindOthers] = ms
			batch[j].Behind = []Contribution{{names[zipf.Uint64()], ms}}
		}
		c.Handle(now, Batch{Entries: batch})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(batch)), "ns/request")
}
