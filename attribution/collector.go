package attribution

import (
	"errors"
	"math"
	"time"
)

// Collector aggregates the requests of a gateway and matches late reports with them. It receives
// events with their times and returns actions. It is not safe for concurrent use.
type Collector struct {
	aggregator   *Aggregator
	now          time.Duration
	unreported   *boundedMap[attemptKey, pendingReport] // attempts whose nodes have not reported
	earlyReports *boundedMap[attemptKey, NodeReport]    // reports that arrived before the entry of their request
	counts       Counts
	actions      []Action
}

// CollectorConfig configures the aggregator of a collector and bounds the collector's memory.
type CollectorConfig struct {
	Config
	LateReports  int // maximum number of attempts of ended requests that wait for late reports
	EarlyReports int // maximum number of reports that wait for the end of their request
}

// DefaultCollectorConfig returns the default configuration of a collector.
func DefaultCollectorConfig() CollectorConfig {
	return CollectorConfig{Config: DefaultConfig(), LateReports: 8192, EarlyReports: 1024}
}

// Counts holds the counters of a collector since its start.
type Counts struct {
	Entered      int64 `json:"entered"`
	Unreported   int64 `json:"untold"`    // attempts whose node had not reported when the request ended
	ReportedLate int64 `json:"told_late"` // attempts in Unreported whose node has reported since
	Corrected    int64 `json:"corrected"` // attempts in ReportedLate that corrected a closed slot
	Unmatched    int64 `json:"unplaced"`  // reports dropped because their request is unknown or no longer kept
	Overdue      int64 `json:"overdue"`   // entries added to a slot that was closed and may have been saved
	Lost         int64 `json:"lost"`      // entries that the gateway dropped before they reached the collector
}

type attemptKey struct {
	request uint64
	attempt int
}

// pendingReport holds the data of an attempt whose request has ended and whose node may still report.
type pendingReport struct {
	volume    string
	ended     time.Duration
	unknown   time.Duration
	remaining *time.Duration // the request's remaining time in NodeUnknown, shared by all its attempts
	ahead     []InFlightUnits
}

// NewCollector returns a collector with an empty aggregator. It returns an error if the
// configuration is invalid.
func NewCollector(cfg CollectorConfig) (*Collector, error) {
	if cfg.LateReports < 1 || cfg.EarlyReports < 1 {
		return nil, errors.New("attribution: the limits for late and early reports must be at least 1")
	}
	a, err := NewAggregator(cfg.Config)
	if err != nil {
		return nil, err
	}
	c := &Collector{
		aggregator:   a,
		unreported:   newBoundedMap[attemptKey, pendingReport](cfg.LateReports),
		earlyReports: newBoundedMap[attemptKey, NodeReport](cfg.EarlyReports),
	}
	a.onClose = func(level int, s *slot) {
		length := cfg.Resolutions[level].Slot
		at := time.Duration(s.index) * length
		c.actions = append(c.actions, SlotClosed{s.window(at, at+length, length)})
	}
	return c, nil
}

// Aggregator returns the collector's aggregator. Callers may read it between calls of Handle.
func (c *Collector) Aggregator() *Aggregator { return c.aggregator }

// Counts returns the current values of the counters.
func (c *Collector) Counts() Counts { return c.counts }

// Handle processes an event and returns the resulting actions. The returned slice is valid until
// the next call.
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

// addEntry adds a request to the aggregator. First it applies the reports that arrived before the
// entry. It keeps the remaining attempts without a report, so that late reports can be matched with
// them.
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

// applyEarlyReports applies the reports that arrived before the request's entry. It returns the
// attempts that still have no report.
func (c *Collector) applyEarlyReports(e *Entry) (pending []Unreported) {
	for _, u := range e.Unreported {
		r, ok := c.earlyReports.take(attemptKey{u.Request, u.Attempt})
		if !ok {
			pending = append(pending, u)
			continue
		}
		queue, service := r.bounded(u.Unknown)
		e.Move(NodeUnknown, NodeQueue, queue)
		e.Move(NodeUnknown, NodeService, service)
		e.Behind = append(e.Behind, DivideWait(u.Ahead, queue)...)
	}
	return pending
}

// applyReport corrects the slot of a request according to a late report. A repeated report is
// applied only once.
func (c *Collector) applyReport(r NodeReport) {
	key := attemptKey{r.Request, r.Attempt}
	p, ok := c.unreported.take(key)
	if !ok {
		if _, evicted := c.earlyReports.put(key, r); evicted {
			c.counts.Unmatched++
		}
		return
	}
	queue, service := r.bounded(p.unknown)
	correction := Correction{
		Volume:       p.volume,
		Ended:        p.ended,
		From:         NodeUnknown,
		PreviousTime: *p.remaining,
		Behind:       DivideWait(p.ahead, queue),
	}
	for _, to := range []ComponentTime{{NodeQueue, queue}, {NodeService, service}} {
		if to.Time > 0 {
			correction.To = append(correction.To, to)
		}
	}
	*p.remaining -= queue + service
	c.counts.ReportedLate++
	if _, late := c.aggregator.Correct(correction); late {
		c.counts.Corrected++
	}
	if c.slotClosed(p.ended) {
		c.actions = append(c.actions, SlotCorrected{correction})
	}
}

// slotClosed reports whether the collector has returned a SlotClosed for the slot that contains
// the given time.
func (c *Collector) slotClosed(at time.Duration) bool {
	s := c.aggregator.lookup(c.aggregator.distributionLevel(), at)
	return s != nil && s.closed
}
