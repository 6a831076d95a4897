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

// unreportedEntry returns an entry that spent 30 ms at its node, which has not reported its queue
// and service times.
func unreportedEntry(volume string, request uint64, ended time.Duration) Entry {
	e := Entry{Volume: volume, Started: ended - 30*ms, Ended: ended}
	e.Parts[NodeUnknown] = 30 * ms
	e.Unreported = []Unreported{{
		Request: request,
		Unknown: 30 * ms,
		Ahead:   []InFlightUnits{{Volume: "flood", Units: 3}, {Volume: volume, Units: 1}},
	}}
	return e
}

// lateReport is the node's report for the entry that unreportedEntry returns for volume v and
// request 7.
var lateReport = NodeReport{Request: 7, Queue: 20 * ms, Service: 8 * ms}

// checkReported checks that the only request of the last 20 seconds has the queue and service times
// of lateReport, and whether its slot is marked as corrected.
func checkReported(t *testing.T, c *Collector, corrected bool) {
	t.Helper()
	w, _ := c.Aggregator().Window(c.now, 20*time.Second)
	v, _ := w.Summary("v")
	if v.Parts[NodeQueue] != 20*ms || v.Parts[NodeService] != 8*ms || v.Parts[NodeUnknown] != 2*ms ||
		w.Corrected != corrected {
		t.Fatalf("got parts %v, want 20 ms queue, 8 ms service, 2 ms unknown; got corrected %v, want true if saved",
			v.Parts, w.Corrected)
	}
	if len(w.Pairs) != 1 || w.Pairs[0].Key != (Pair{"v", "flood"}) || time.Duration(w.Pairs[0].Count) != 15*ms {
		t.Fatalf("got pairs %+v, want 15 ms of v behind flood", w.Pairs)
	}
	d, ok := w.Distribution("v")
	if !ok || d.ComponentPercentile(NodeQueue, 0.5) < 19*ms ||
		d.ComponentPercentile(NodeUnknown, 0.5) > 2100*time.Microsecond || d.Components["node_unknown"].Count() != 1 {
		t.Fatalf("got distributions %+v, want the times of the late report", d)
	}
}

// The collector matches a report with its request, whether the report arrives before the entry,
// after it, or after the slot was closed and saved. A repeated report counts once, and a report of
// another attempt changes nothing.
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
			t.Fatalf("got counts %+v, want 1 unreported, 1 reported late, 0 corrected", n)
		}
	})
	t.Run("after the slot was saved", func(t *testing.T) {
		c := newTestCollector(t, nil)
		c.Handle(600*ms, Batch{Entries: []Entry{unreportedEntry("v", 7, 550*ms)}})
		acts := slices.Clone(c.Handle(12*time.Second, Tick{}))
		if len(acts) != 1 || acts[0].(SlotClosed).Window.All.Parts[NodeUnknown] != 30*ms {
			t.Fatalf("got actions %+v, want 1 SlotClosed with 30 ms in NodeUnknown", acts)
		}
		saved := acts[0].(SlotClosed).Window
		acts = c.Handle(13*time.Second, Batch{Reports: []NodeReport{lateReport}})
		if len(acts) != 1 {
			t.Fatalf("got actions %+v after the report, want 1", acts)
		}
		checkReported(t, c, true)
		fixed := saved.Apply(acts[0].(SlotCorrected).Correction)
		w, _ := c.Aggregator().Window(13*time.Second, 20*time.Second)
		if fixed.All.Parts != w.All.Parts || fixed.Pairs[0] != w.Pairs[0] || !fixed.Corrected ||
			!reflect.DeepEqual(fixed.Distributions, w.Distributions) {
			t.Fatalf("saved slot with its correction: got %+v, want the aggregator's window %+v", fixed, w)
		}
	})
	t.Run("of another attempt", func(t *testing.T) {
		c := newTestCollector(t, nil)
		other := NodeReport{Request: 7, Attempt: 1, Service: ms}
		c.Handle(600*ms, Batch{Entries: []Entry{unreportedEntry("v", 7, 550*ms)}, Reports: []NodeReport{other}})
		if w, _ := c.Aggregator().Window(c.now, time.Second); w.All.Parts[NodeUnknown] != 30*ms {
			t.Fatalf("got parts %v after the report of another attempt, want 30 ms in NodeUnknown", w.All.Parts)
		}
	})
}

// A report attributes no more time to the node's queue and service than the attempt took.
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
				t.Fatalf("report %+v: got parts %v, want 30 ms in NodeQueue and NodeService", r, p)
			}
		})
	}
}

// The collector bounds the number of attempts that wait for reports, and the number of reports that
// wait for their requests. It counts the reports that it evicts.
func TestPendingReportsAreBounded(t *testing.T) {
	c := newTestCollector(t, func(cfg *CollectorConfig) {
		cfg.LateReports = 4
		cfg.EarlyReports = 4
	})
	for i := range uint64(20) {
		c.Handle(600*ms, Batch{Entries: []Entry{unreportedEntry("v", i, 550*ms)}})
	}
	for i := range uint64(20) {
		c.Handle(700*ms, Batch{Reports: []NodeReport{{Request: i, Service: 30 * ms}}})
	}
	unreported, early := len(c.unreported.index), len(c.earlyReports.index)
	if n := c.Counts(); n.ReportedLate != 4 || n.Unmatched != 12 || unreported != 0 || early != 4 {
		t.Fatalf("got %+v, %d unreported, %d early, want 4 reported late, 12 unplaced, 0 unreported, 4 early",
			n, unreported, early)
	}
}

// runRandomRequests passes 3000 random requests to a collector. It returns the collector and the
// windows of all closed slots.
func runRandomRequests(t *testing.T, seed uint64) (*Collector, []Window) {
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

// roundTrip marshals windows as JSON and returns the windows that this JSON unmarshals to.
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

// The same events produce the same windows. Windows that are marshaled and unmarshaled have the
// same sum as the aggregator's own window.
func TestWindowsRoundTrip(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c, closed := runRandomRequests(t, seed)
			_, again := runRandomRequests(t, seed)
			if !reflect.DeepEqual(closed, again) {
				t.Fatal("two runs with the same events produced different windows")
			}
			checkSums(t, c, roundTrip(t, closed))
		})
	}
}

// checkSums compares the window of a collector that runRandomRequests returned with the sums of the
// closed windows and of the slots.
func checkSums(t *testing.T, c *Collector, closed []Window) {
	t.Helper()
	sum := Sum(closed, 64, 400, 64)
	w, ok := c.Aggregator().Window(c.now, 9*time.Minute)
	if !ok || sum.All.Requests != 3000 || sum.All.Parts.Total() != w.All.Parts.Total() || sum.Behind > w.Behind {
		t.Fatalf("sum of the closed windows: got %+v, want %+v", sum.All, w.All)
	}
	total := sum.Others.Parts.Total()
	for _, v := range sum.Volumes {
		total += v.Parts.Total()
	}
	if total != sum.All.Parts.Total() {
		t.Fatalf("sum of volumes and others: got %v, want %v", total, sum.All.Parts.Total())
	}
	slots, ok := c.Aggregator().Slots(c.now, 4*time.Minute)
	if !ok || len(slots) < 2 || !reflect.DeepEqual(Sum(slots, 64, 400, 64).All, w.All) {
		t.Fatalf("got %d slots, want 2 or more whose sum equals the window", len(slots))
	}
}

// Pairs remain exact when Sum adds windows, as long as the windows have few pairs.
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
		t.Fatalf("got sum %+v, want exactly 40 ms of v behind flood", sum)
	}
}

// BenchmarkCollector measures adding requests of 100,000 volumes to a collector.
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
