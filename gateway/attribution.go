package gateway

import (
	"errors"
	"sync/atomic"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/settings"
)

// batchSize is how many entries or reports are handed to the attribution worker at a time. A sweep
// hands over fewer.
const batchSize = 128

// Errors of Attribution.
var (
	ErrAttributionOff = errors.New("gateway: no accounts are kept: accounts.on is false in the settings")
	ErrClosed         = errors.New("gateway: closed")
)

// attributionWorker owns the collector of latency attribution, on a goroutine of its own, so that
// it takes no time of the event loops or of the core's lock.
type attributionWorker struct {
	collector *attribution.Collector
	now       func() time.Duration
	batches   chan attribution.Batch // bounded; batches that do not fit are dropped
	dropped   atomic.Int64           // entries
	queries   chan func(time.Duration, *attribution.Collector)
	onEntry   func(attribution.Entry)
	onAction  func(attribution.Action)
	done      chan struct{} // closed when run has returned
}

// newAttributionWorker returns a worker that calls onEntry for each entry, and onAction for each action of the
// collector; both may be nil.
func newAttributionWorker(
	s settings.Accounts,
	now func() time.Duration,
	onEntry func(attribution.Entry),
	onAction func(attribution.Action),
) (*attributionWorker, error) {
	cfg := attribution.DefaultCollectorConfig()
	cfg.Volumes = s.Volumes
	cfg.Pairs = s.Pairs
	cfg.Distributions = s.Distributions
	cfg.Late = s.Late
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

// run handles batches and queries until batches is closed.
func (a *attributionWorker) run() {
	defer close(a.done)
	t := time.NewTicker(attribution.DefaultConfig().Settle)
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

// addEntry batches the attribution of a client request.
func (w *loopWorker) addEntry(e attribution.Entry) {
	if w.batch.Entries == nil {
		w.batch.Entries = make([]attribution.Entry, 0, batchSize)
	}
	w.batch.Entries = append(w.batch.Entries, e)
	if len(w.batch.Entries) >= batchSize {
		w.flushBatch()
	}
}

// addNodeReport batches a node's late report.
func (w *loopWorker) addNodeReport(r attribution.NodeReport) {
	w.batch.Reports = append(w.batch.Reports, r)
	if len(w.batch.Reports) >= batchSize {
		w.flushBatch()
	}
}

// flushBatch hands the batch to the attribution worker. It never blocks: a batch that does not fit its
// queue is dropped and counted.
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

// Attribution calls f with the collector of latency attribution, which f may read until it returns. f
// must be quick: batches wait meanwhile. The error is ErrAttributionOff or ErrClosed.
func (g *Gateway) Attribution(f func(now time.Duration, collector *attribution.Collector)) error {
	if g.attribution == nil {
		return ErrAttributionOff
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

// FlushAttribution hands the entries of all complete requests to the attribution worker.
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

// Run identifies this run of the gateway in attribution records.
func (g *Gateway) Run() attribution.Run {
	return attribution.Run{ID: g.core.nonce, Gateway: g.cfg.Name, Started: g.started}
}
