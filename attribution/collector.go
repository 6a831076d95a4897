package attribution

import (
	"errors"
	"math"
	"time"
)

// Collector aggregates a gateway's requests and matches late reports with them. It takes events
// with the time and returns actions; it is not safe for concurrent use.
type Collector struct {
	aggregator   *Aggregator
	now          time.Duration
	unreported   *boundedMap[attemptKey, pendingReport] // attempts whose nodes have not reported
	earlyReports *boundedMap[attemptKey, NodeReport]    // reports whose requests are not entered yet
	counts       Counts
	actions      []Action
}

// CollectorConfig bounds a collector.
type CollectorConfig struct {
	Config
	Late  int // attempts of ended requests that are kept for late reports
	Early int // reports that are kept until their request ends
}

// DefaultCollectorConfig returns the defaults.
func DefaultCollectorConfig() CollectorConfig {
	return CollectorConfig{Config: DefaultConfig(), Late: 8192, Early: 1024}
}

// Counts are a collector's counters since its start.
type Counts struct {
	Entered      int64 `json:"entered"`
	Unreported   int64 `json:"untold"`    // attempts whose nodes had not reported by the request's end
	ReportedLate int64 `json:"told_late"` // of these, reported since
	Corrected    int64 `json:"corrected"` // of these, in slots that had been closed
	Unplaced     int64 `json:"unplaced"`  // reports whose request is unknown or forgotten
	Overdue      int64 `json:"overdue"`   // entries of slots that had been closed, and perhaps saved
	Lost         int64 `json:"lost"`      // entries dropped on the way to the collector
}

type attemptKey struct {
	call    uint64
	attempt int
}

// pendingReport is an attempt that a late report can still correct.
type pendingReport struct {
	volume    string
	ended     time.Duration
	unknown   time.Duration
	remaining *time.Duration // the request's whole time in NodeUnknown, shared by its attempts
	ahead     []InFlightUnits
}

// NewCollector returns a collector with an empty aggregator, or an error if the configuration is
// invalid.
func NewCollector(cfg CollectorConfig) (*Collector, error) {
	if cfg.Late < 1 || cfg.Early < 1 {
		return nil, errors.New("attribution: want room for at least 1 late and 1 early report")
	}
	a, err := NewAggregator(cfg.Config)
	if err != nil {
		return nil, err
	}
	c := &Collector{
		aggregator:   a,
		unreported:   newBoundedMap[attemptKey, pendingReport](cfg.Late),
		earlyReports: newBoundedMap[attemptKey, NodeReport](cfg.Early),
	}
	a.onClose = func(level int, s *slot) {
		length := cfg.Resolutions[level].Slot
		at := time.Duration(s.index) * length
		c.actions = append(c.actions, SlotClosed{s.window(at, at+length, length)})
	}
	return c, nil
}

// Aggregator returns the aggregator, which may be read between events.
func (c *Collector) Aggregator() *Aggregator { return c.aggregator }

// Counts returns the counters.
func (c *Collector) Counts() Counts { return c.counts }

// Handle processes an event and returns the resulting actions, which are valid until the next
// call.
func (c *Collector) Handle(now time.Duration, ev Event) []Action {
	c.actions = c.actions[:0]
	c.now = max(now, c.now)
	until := c.now
	if _, ok := ev.(Flush); ok {
		until = math.MaxInt64
	}
	c.aggregator.Advance(until)
	if b, ok := ev.(Batch); ok {
		c.counts.Lost += b.Lost
		for i := range b.Entries {
			c.addEntry(&b.Entries[i])
		}
		for _, r := range b.Reports {
			c.applyReport(r)
		}
	}
	return c.actions
}

// addEntry adds a request to the aggregator. Reports that arrived before it are applied to the
// entry itself; its other attempts without a report are kept for late ones.
func (c *Collector) addEntry(e *Entry) {
	c.counts.Entered++
	pending := e.Unreported
	if len(c.earlyReports.index) > 0 {
		pending = c.applyEarlyReports(e)
	}
	if c.slotClosed(e.Ended) {
		c.counts.Overdue++
	}
	c.aggregator.Add(*e)
	if len(pending) == 0 {
		return
	}
	remaining := e.Parts[NodeUnknown]
	for _, u := range pending {
		c.counts.Unreported++
		c.unreported.put(attemptKey{u.Request, u.Attempt}, pendingReport{
			volume:    e.Volume,
			ended:     e.Ended,
			unknown:   u.Unknown,
			remaining: &remaining,
			ahead:     u.Ahead,
		})
	}
}

// applyEarlyReports applies the reports that arrived before their request and returns the
// attempts that are still without one.
func (c *Collector) applyEarlyReports(e *Entry) (pending []Unreported) {
	for _, u := range e.Unreported {
		r, ok := c.earlyReports.take(attemptKey{u.Request, u.Attempt})
		if !ok {
			pending = append(pending, u)
			continue
		}
		queue, work := r.bounded(u.Unknown)
		e.Move(NodeUnknown, NodeQueue, queue)
		e.Move(NodeUnknown, NodeService, work)
		e.Behind = append(e.Behind, Divide(u.Ahead, queue)...)
	}
	return pending
}

// applyReport corrects a request's slot by a late report. A repeated report counts once.
func (c *Collector) applyReport(r NodeReport) {
	key := attemptKey{r.Request, r.Attempt}
	p, ok := c.unreported.take(key)
	if !ok {
		if _, evicted := c.earlyReports.put(key, r); evicted {
			c.counts.Unplaced++
		}
		return
	}
	queue, work := r.bounded(p.unknown)
	correction := Correction{
		Volume: p.volume,
		Ended:  p.ended,
		From:   NodeUnknown,
		Had:    *p.remaining,
		Behind: Divide(p.ahead, queue),
	}
	for _, to := range []ComponentTime{{NodeQueue, queue}, {NodeService, work}} {
		if to.Time > 0 {
			correction.To = append(correction.To, to)
		}
	}
	*p.remaining -= queue + work
	c.counts.ReportedLate++
	if _, late := c.aggregator.Correct(correction); late {
		c.counts.Corrected++
	}
	if c.slotClosed(p.ended) {
		c.actions = append(c.actions, SlotCorrected{correction})
	}
}

// slotClosed reports whether a SlotClosed was returned for the slot of a time.
func (c *Collector) slotClosed(at time.Duration) bool {
	s := c.aggregator.lookup(c.aggregator.distributionLevel(), at)
	return s != nil && s.closed
}
