package gateway

import (
	"errors"
	"sync/atomic"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/settings"
)

// batchSize is the number of entries or reports at which a loop worker passes its batch to the
// attribution worker. A sweep passes smaller batches.
const batchSize = 128

// These errors are returned by Gateway.Attribution.
var (
	ErrAttributionDisabled = errors.New("gateway: no accounts are kept: accounts.on is false in the settings")
	ErrClosed              = errors.New("gateway: closed")
)

// attributionWorker owns the collector of latency attribution and runs it on a separate goroutine. The
// collector thus takes no time on the event loops and does not hold the core's lock.
type attributionWorker struct {
	collector *attribution.Collector
	now       func() time.Duration
	batches   chan attribution.Batch // a bounded queue; batches that do not fit are dropped
	dropped   atomic.Int64           // number of entries in dropped batches
	queries   chan func(time.Duration, *attribution.Collector)
	onEntry   func(attribution.Entry)
	onAction  func(attribution.Action)
	done      chan struct{} // run closes it when run returns
}

// newAttributionWorker returns a worker that calls onEntry for each entry, and onAction for each action
// of the collector. Either function may be nil.
func newAttributionWorker(
	s settings.Attribution,
	now func() time.Duration,
	onEntry func(attribution.Entry),
	onAction func(attribution.Action),
) (*attributionWorker, error) {
	cfg := attribution.DefaultCollectorConfig()
	cfg.Volumes = s.Volumes
	cfg.Pairs = s.Pairs
	cfg.Distributions = s.Distributions
	cfg.LateReports = s.LateReports
	collector, err := attribution.NewCollector(cfg)
	if err != nil {
		return nil, err
	}
	return &attributionWorker{
		collector: collector,
		now:       now,
		batches:   make(chan attribution.Batch, s.Batches),
		queries:   make(chan func(time.Duration, *attribution.Collector)),
		onEntry:   onEntry,
		onAction:  onAction,
		done:      make(chan struct{}),
	}, nil
}

// run handles batches and queries until the channel batches is closed.
func (a *attributionWorker) run() {
	defer close(a.done)
	t := time.NewTicker(attribution.DefaultConfig().CloseDelay)
	defer t.Stop()
	for {
		select {
		case batch, ok := <-a.batches:
			if !ok {
				a.handle(attribution.Flush{})
				return
			}
			batch.Lost = a.dropped.Swap(0)
			a.handle(batch)
		case <-t.C:
			a.handle(attribution.Tick{})
		case query := <-a.queries:
			a.handle(attribution.Tick{})
			query(a.now(), a.collector)
		}
	}
}

// handle passes an event to the collector, and calls onEntry and onAction for the entries of a batch
// and the collector's actions.
func (a *attributionWorker) handle(ev attribution.Event) {
	if batch, ok := ev.(attribution.Batch); ok && a.onEntry != nil {
		for _, e := range batch.Entries {
			a.onEntry(e)
		}
	}
	actions := a.collector.Handle(a.now(), ev)
	if a.onAction != nil {
		for _, action := range actions {
			a.onAction(action)
		}
	}
}

// addEntry adds the attribution of a client request to the worker's batch.
func (w *loopWorker) addEntry(e attribution.Entry) {
	if w.batch.Entries == nil {
		w.batch.Entries = make([]attribution.Entry, 0, batchSize)
	}
	w.batch.Entries = append(w.batch.Entries, e)
	if len(w.batch.Entries) >= batchSize {
		w.flushBatch()
	}
}

// addNodeReport adds a report that a node sent after its response to the worker's batch.
func (w *loopWorker) addNodeReport(r attribution.NodeReport) {
	w.batch.Reports = append(w.batch.Reports, r)
	if len(w.batch.Reports) >= batchSize {
		w.flushBatch()
	}
}

// flushBatch passes the batch to the attribution worker. It never blocks. If the attribution worker's
// queue is full, it drops the batch and counts the dropped entries.
func (w *loopWorker) flushBatch() {
	a := w.gateway.attribution
	if a == nil || len(w.batch.Entries)+len(w.batch.Reports) == 0 {
		return
	}
	select {
	case a.batches <- w.batch:
	default:
		a.dropped.Add(int64(len(w.batch.Entries)))
	}
	w.batch = attribution.Batch{}
}

// Attribution calls f with the collector of latency attribution. The function f may read the collector
// until f returns. It must be quick, because batches wait while it runs. The error is
// ErrAttributionDisabled or ErrClosed.
func (g *Gateway) Attribution(f func(now time.Duration, collector *attribution.Collector)) error {
	if g.attribution == nil {
		return ErrAttributionDisabled
	}
	done := make(chan struct{})
	query := func(now time.Duration, collector *attribution.Collector) {
		f(now, collector)
		close(done)
	}
	select {
	case g.attribution.queries <- query:
		<-done
		return nil
	case <-g.attribution.done:
		return ErrClosed
	}
}

// FlushAttribution passes the entries of all complete requests to the attribution worker.
func (g *Gateway) FlushAttribution() {
	for _, w := range g.workers {
		done := make(chan struct{})
		w.loop.Post(func() {
			w.flushBatch()
			close(done)
		})
		select {
		case <-done:
		case <-g.core.done:
			return
		}
	}
}

// RunInfo returns the identity of this run of the gateway, which attribution records carry.
func (g *Gateway) RunInfo() attribution.Run {
	return attribution.Run{ID: g.core.nonce, Gateway: g.cfg.Name, Started: g.started}
}
