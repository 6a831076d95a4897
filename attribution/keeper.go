package attribution

import (
	"fmt"
	"math"
	"time"
)

// Collector keeps the books of a gateway's requests and puts late reports where they
// belong. It is told of events with the time and returns actions; it is not safe
// for concurrent use.
type Collector struct {
	aggregator  *Aggregator
	now    time.Duration
	unreported  *boundedMap[attemptKey, pendingReport]    // requests whose nodes have not told
	earlyReports  *boundedMap[attemptKey, NodeReport] // reports of requests that are not entered yet
	counts Counts
	actions   []Action
}

// CollectorConfig bounds a keeper.
type CollectorConfig struct {
	Config
	Late  int // ended requests that are remembered for late reports
	Early int // reports that wait for their request's end
}

// DefaultCollectorConfig returns the defaults.
func DefaultCollectorConfig() CollectorConfig {
	return CollectorConfig{Config: DefaultConfig(), Late: 8192, Early: 1024}
}

// Counts are what a keeper has seen since its start.
type Counts struct {
	Entered      int64 `json:"entered"`
	Unreported   int64 `json:"untold"`    // attempts whose nodes had not told by the request's end
	ReportedLate int64 `json:"told_late"` // of these, told since
	Corrected    int64 `json:"corrected"` // of these, in slots that had been closed
	Unplaced     int64 `json:"unplaced"`  // reports whose request is not known, or no longer
	Overdue      int64 `json:"overdue"`   // entries of slots that had been closed, and perhaps saved, before
	Lost         int64 `json:"lost"`      // entries that could not be handed over
}

// Event is something that a keeper hears.
type Event interface{ collectorEvent() }

// Batch is what has come together: entries and late reports, in any order.
type Batch struct {
	Entries []Entry
	Reports []NodeReport
	Lost    int64 // entries that had to be thrown away before this batch
}

// NodeReport is a node's report, after its answer, of how an attempt's time there divides.
type NodeReport struct {
	Call    uint64
	Attempt int
	Queue   time.Duration
	Work    time.Duration
}

// Tick tells that time has passed.
type Tick struct{}

func (Batch) collectorEvent() {}
func (Tick) collectorEvent()  {}

// Flush closes all slots: nothing more will come.
type Flush struct{}

func (Flush) collectorEvent() {}

// Action is something that a keeper wants done.
type Action interface{ collectorAction() }

// SlotClosed tells that a slot is complete and can be saved. A Fixed may follow.
type SlotClosed struct{ Window Window }

// SlotCorrected tells of a correction to a slot that was told as Closed.
type SlotCorrected struct{ Correction Correction }

func (SlotClosed) collectorAction()    {}
func (SlotCorrected) collectorAction() {}

type attemptKey struct {
	call    uint64
	attempt int
}

type pendingReport struct {
	volume  string
	ended   time.Duration
	unknown time.Duration
	remaining     *time.Duration // the request's whole time at nodes that is not told
	ahead   []InFlightUnits
}

// NewCollector returns a keeper of empty books.
func NewCollector(cfg CollectorConfig) (*Collector, error) {
	if cfg.Late < 1 || cfg.Early < 1 {
		return nil, fmt.Errorf("attribution: want room for at least 1 late and 1 early report")
	}
	b, err := NewAggregator(cfg.Config)
	if err != nil {
		return nil, err
	}
	k := &Collector{aggregator: b, unreported: newBoundedMap[attemptKey, pendingReport](cfg.Late), earlyReports: newBoundedMap[attemptKey, NodeReport](cfg.Early)}
	b.onClose = func(ring int, p *page) {
		slot := cfg.Resolutions[ring].Slot
		at := time.Duration(p.index) * slot
		k.actions = append(k.actions, SlotClosed{p.window(at, at+slot, slot)})
	}
	return k, nil
}

// Aggregator returns the books, for reading between events.
func (k *Collector) Aggregator() *Aggregator { return k.aggregator }

// Counts returns what was seen so far.
func (k *Collector) Counts() Counts { return k.counts }

// Handle takes an event and returns what is to be done. The slice is the caller's
// until the next call.
func (k *Collector) Handle(now time.Duration, ev Event) []Action {
	k.actions = k.actions[:0]
	k.now = max(now, k.now)
	until := k.now
	if _, ok := ev.(Flush); ok {
		until = math.MaxInt64
	}
	k.aggregator.Advance(until)
	if b, ok := ev.(Batch); ok {
		k.counts.Lost += b.Lost
		for i := range b.Entries {
			k.addEntry(&b.Entries[i])
		}
		for _, t := range b.Reports {
			k.applyReport(t)
		}
	}
	return k.actions
}

// addEntry puts a request into the books. Reports that came before it are applied to
// the entry itself; for those that may come later it is remembered.
func (k *Collector) addEntry(e *Entry) {
	k.counts.Entered++
	wait := e.Unreported
	if len(k.earlyReports.index) > 0 {
		wait = k.applyEarlyReports(e)
	}
	if k.slotClosed(e.Ended) {
		k.counts.Overdue++
	}
	k.aggregator.Add(*e)
	if len(wait) == 0 {
		return
	}
	had := e.Parts[NodeUnknown]
	for _, u := range wait {
		k.counts.Unreported++
		k.unreported.put(attemptKey{u.Call, u.Attempt}, pendingReport{e.Volume, e.Ended, u.Unknown, &had, u.Ahead})
	}
}

// applyEarlyReports applies the reports that came before their request and returns the
// attempts that are still untold.
func (k *Collector) applyEarlyReports(e *Entry) (wait []Unreported) {
	for _, u := range e.Unreported {
		t, ok := k.earlyReports.take(attemptKey{u.Call, u.Attempt})
		if !ok {
			wait = append(wait, u)
			continue
		}
		queue, work := t.bounded(u.Unknown)
		e.Move(NodeUnknown, NodeQueue, queue)
		e.Move(NodeUnknown, NodeService, work)
		e.Behind = append(e.Behind, Divide(u.Ahead, queue)...)
	}
	return wait
}

// bounded bounds what a report tells by the time that the attempt took.
func (t NodeReport) bounded(unknown time.Duration) (queue, work time.Duration) {
	queue = min(max(t.Queue, 0), unknown)
	return queue, min(max(t.Work, 0), unknown-queue)
}

// applyReport puts a late report on its request and slot. One that is told twice counts
// once.
func (k *Collector) applyReport(t NodeReport) {
	key := attemptKey{t.Call, t.Attempt}
	a, ok := k.unreported.take(key)
	if !ok {
		if _, full := k.earlyReports.put(key, t); full {
			k.counts.Unplaced++
		}
		return
	}
	queue, work := t.bounded(a.unknown)
	c := Correction{Volume: a.volume, Ended: a.ended, From: NodeUnknown, Had: *a.remaining, Behind: Divide(a.ahead, queue)}
	for _, m := range []ComponentTime{{NodeQueue, queue}, {NodeService, work}} {
		if m.Time > 0 {
			c.To = append(c.To, m)
		}
	}
	*a.remaining -= queue + work
	k.counts.ReportedLate++
	if _, late := k.aggregator.Correct(c); late {
		k.counts.Corrected++
	}
	if k.slotClosed(a.ended) {
		k.actions = append(k.actions, SlotCorrected{c})
	}
}

// slotClosed tells whether the slot of a time was told as Closed.
func (k *Collector) slotClosed(at time.Duration) bool {
	p := k.aggregator.lookup(k.aggregator.distributionLevel(), at)
	return p != nil && p.closed
}

// boundedMap remembers so many things by key; the oldest give way.
type boundedMap[K comparable, V any] struct {
	entries []boundedMapEntry[K, V]
	index    map[K]int
	next  int
}

type boundedMapEntry[K comparable, V any] struct {
	key  K
	val  V
	used bool
}

func newBoundedMap[K comparable, V any](n int) *boundedMap[K, V] {
	return &boundedMap[K, V]{entries: make([]boundedMapEntry[K, V], n), index: map[K]int{}}
}

// put remembers a value. It returns what had to give way.
func (r *boundedMap[K, V]) put(key K, v V) (gone V, gave bool) {
	if i, ok := r.index[key]; ok {
		r.entries[i].val = v
		return gone, false
	}
	s := &r.entries[r.next]
	if gone, gave = s.val, s.used; gave {
		delete(r.index, s.key)
	}
	*s = boundedMapEntry[K, V]{key, v, true}
	r.index[key] = r.next
	r.next = (r.next + 1) % len(r.entries)
	return gone, gave
}

// take returns a value and forgets it.
func (r *boundedMap[K, V]) take(key K) (v V, ok bool) {
	i, ok := r.index[key]
	if !ok {
		return v, false
	}
	v = r.entries[i].val
	r.entries[i] = boundedMapEntry[K, V]{}
	delete(r.index, key)
	return v, true
}
