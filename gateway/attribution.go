package gateway

import (
	"chalkstand/attribution"
	"chalkstand/forwarder"
	"chalkstand/internal/settings"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Latency accounts: each client request's journey is followed on its loop; what is
// known at its end goes in batches to one goroutine that owns the books, beside the
// lock of the decisions.

// batchEntries is how many entries go over together. Fewer do after a sweep.
const batchEntries = 128

// attributionWorker owns the books of a gateway.
type attributionWorker struct {
	collector *attribution.Collector
	now       func() time.Duration
	batches   chan attribution.Batch // bounded: what does not fit is counted as lost
	queries   chan func(time.Duration, *attribution.Collector)
	onEntry   func(attribution.Entry)
	onAction  func(attribution.Action)
	lost      atomic.Int64
	done      chan struct{}
}

func newAttributionWorker(s settings.Accounts, now func() time.Duration, each func(attribution.Entry), save func(attribution.Action)) (*attributionWorker, error) {
	cfg := attribution.DefaultCollectorConfig()
	cfg.Volumes, cfg.Pairs, cfg.Distributions, cfg.Late = s.Volumes, s.Pairs, s.Distributions, s.Late
	k, err := attribution.NewCollector(cfg)
	if err != nil {
		return nil, err
	}
	return &attributionWorker{
		collector: k, now: now, batches: make(chan attribution.Batch, s.Batches), onEntry: each, onAction: save,
		queries: make(chan func(time.Duration, *attribution.Collector)), done: make(chan struct{}),
	}, nil
}

// run keeps the books until in is closed.
func (b *attributionWorker) run() {
	defer close(b.done)
	t := time.NewTicker(attribution.DefaultConfig().Settle)
	defer t.Stop()
	for {
		select {
		case batch, ok := <-b.batches:
			if !ok {
				b.handle(attribution.Flush{})
				return
			}
			batch.Lost = b.lost.Swap(0)
			b.handle(batch)
		case <-t.C:
			b.handle(attribution.Tick{})
		case f := <-b.queries:
			b.handle(attribution.Tick{})
			f(b.now(), b.collector)
		}
	}
}

func (b *attributionWorker) handle(ev attribution.Event) {
	if batch, ok := ev.(attribution.Batch); ok && b.onEntry != nil {
		for _, e := range batch.Entries {
			b.onEntry(e)
		}
	}
	acts := b.collector.Handle(b.now(), ev)
	if b.onAction != nil {
		for _, a := range acts {
			b.onAction(a)
		}
	}
}

// addEntry puts an entry on its way to the books.
func (l *loopWorker) addEntry(e attribution.Entry) {
	if l.batch.Entries == nil {
		l.batch.Entries = make([]attribution.Entry, 0, batchEntries)
	}
	l.batch.Entries = append(l.batch.Entries, e)
	if len(l.batch.Entries) >= batchEntries {
		l.flushBatch()
	}
}

// addNodeReport puts a report on its way to the books.
func (l *loopWorker) addNodeReport(t attribution.NodeReport) {
	if l.batch.Reports = append(l.batch.Reports, t); len(l.batch.Reports) >= batchEntries {
		l.flushBatch()
	}
}

// flushBatch hands over what has come together. It never waits: accounts must not
// hold up requests.
func (l *loopWorker) flushBatch() {
	b := l.gateway.attribution
	if b == nil || len(l.batch.Entries)+len(l.batch.Reports) == 0 {
		return
	}
	select {
	case b.batches <- l.batch:
	default:
		b.lost.Add(int64(len(l.batch.Entries)))
	}
	l.batch = attribution.Batch{}
}

// ---- The journey of a client's request.

// now is the present on the gateway's own scale of time.
func (t *transaction) now() time.Duration { return t.conn.worker.gateway.core.now() }

// startSpan begins the journey: when the head of the request began to wait for its turn.
func (t *transaction) startSpan() {
	c := t.conn
	now := t.started.Sub(c.worker.gateway.core.start)
	waited := c.conn.SliceWait()
	t.span = attribution.StartClientSpan(now-waited, attribution.RateLimited)
	waited -= c.conn.RateLimitWait()
	t.span.Enter(now-waited, attribution.EventLoop)
	t.span.Enter(now, attribution.Gateway)
	l := c.worker
	if l.gateway.attribution == nil || waited < minContendedWait {
		return
	}
	l.contenders = c.conn.WaitedBehind(l.contenders[:0])
	blames, rest := make([]attribution.Contribution, 0, len(l.contenders)+1), waited
	for _, x := range l.contenders {
		d := min(x.Time, rest)
		rest -= d
		if x.Flow != c.volume.flow { // behind others only, as at nodes
			blames = append(blames, attribution.Contribution{Volume: x.Flow.Name(), Time: d})
		}
	}
	if rest > 0 { // looking for events, and what is not remembered
		blames = append(blames, attribution.Contribution{Time: rest})
	}
	t.span.WaitedBehind(blames)
}

// minContendedWait is how long a head must wait for whom it waited behind to be told: who they were costs
// more than the rest of the account.
const minContendedWait = time.Millisecond

// enterComponent goes on with another cause.
func (t *transaction) enterComponent(c attribution.Component) {
	if t.conn.worker.gateway.attribution != nil {
		t.span.Enter(t.now(), c)
	}
}

// requestAttributed takes the account of a request to a node that has ended.
func (l *loopWorker) requestAttributed(a forwarder.RequestAttributed) {
	c := l.requests[a.ID]
	if c == nil {
		c = l.unattributed[a.ID]
		delete(l.unattributed, a.ID)
	}
	if c == nil || c.transaction == nil {
		return // cannot happen: each call is known until it is accounted for
	}
	t, e := c.transaction, a.Entry
	if t.attributed {
		return
	}
	if t.upload != nil && t.upload.request == c {
		e.Move(attribution.NodeUnknown, attribution.RequestBody, t.upload.clientTime(t.now()))
	}
	if s := t.clientStall.take(t.now()); s > 0 {
		e.Move(attribution.ResponseBody, attribution.SlowClient, s)
	}
	t.span.Include(e)
	if t.openRequests--; t.clientGone && t.openRequests <= 0 {
		t.endSpan()
	}
}

// endSpan closes the account of a transaction that needed nodes.
func (t *transaction) endSpan() {
	l := t.conn.worker
	if l.gateway.attribution == nil || t.attributed || !t.usedNodes {
		return
	}
	t.attributed = true
	name := "/"
	if t.volume != nil {
		name = t.volume.name
	}
	l.addEntry(t.span.End(t.now(), name, t.outcome))
}

// endSpanWhenDelivered closes the account of a transaction whose answer is written, once the
// client has taken what still waits for it here. Of an answer that the client held
// up before, what waits in the kernel counts too: it may be megabytes. What lies in
// the client's own buffers is not seen.
func (t *transaction) endSpanWhenDelivered() {
	c := t.conn
	if c.worker.gateway.attribution == nil || !t.usedNodes {
		return
	}
	if c.conn.Pending() == 0 && (!t.wasStalled || c.conn.Unacknowledged() == 0) {
		t.endSpan()
		return
	}
	t.enterComponent(attribution.SlowClient)
	c.previous = t
	if t.wasStalled {
		c.watchDelivery(t, t.now())
	}
}

// watchDelivery looks again and again whether the client has taken the last answer, at
// intervals that grow with the time that it takes, so that the end is found within
// a sixteenth of it.
func (c *clientConn) watchDelivery(t *transaction, since time.Duration) {
	wait := max((t.now()-since)/16, time.Millisecond)
	l := c.worker
	time.AfterFunc(wait, func() {
		l.loop.Post(func() {
			switch {
			case c.previous != t:
			case c.conn.Open() && c.conn.Pending()+c.conn.Unacknowledged() > 0:
				c.watchDelivery(t, since)
			default:
				c.finishPrevious()
			}
		})
	})
}

// previousWritten is told when all bytes have left for the kernel.
func (c *clientConn) previousWritten() {
	if c.previous != nil && !c.previous.wasStalled {
		c.finishPrevious()
	}
}

// finishPrevious closes the account that waited for the client to take the last answer.
func (c *clientConn) finishPrevious() {
	if t := c.previous; t != nil {
		c.previous = nil
		t.endSpan()
	}
}

// endSpanWhenAttributed closes the account of a transaction whose client has left, once all that it
// began is accounted for.
func (t *transaction) endSpanWhenAttributed() {
	if t.clientGone = true; t.openRequests <= 0 {
		t.endSpan()
	}
}

// stopwatch adds up how long something was held back. The zero value was never.
type stopwatch struct {
	since   time.Duration
	running bool
	sum     time.Duration
}

func (s *stopwatch) start(now time.Duration) {
	if !s.running {
		s.running, s.since = true, now
	}
}

func (s *stopwatch) stop(now time.Duration) {
	if s.running {
		s.running, s.sum = false, s.sum+now-s.since
	}
}

// take returns the sum so far and begins again.
func (s *stopwatch) take(now time.Duration) time.Duration {
	s.stop(now)
	d := s.sum
	s.sum = 0
	return d
}

// ---- Reading the books.

// Attribution calls f with the books of the gateway's latency accounts, which f may
// read until it returns. It returns an error when accounts are not kept or the
// gateway is closed. f must be quick: reports wait meanwhile.
func (g *Gateway) Attribution(f func(now time.Duration, k *attribution.Collector)) error {
	if g.attribution == nil {
		return fmt.Errorf("gateway: no accounts are kept: accounts.on is false in the settings")
	}
	done := make(chan struct{})
	select {
	case g.attribution.queries <- func(now time.Duration, k *attribution.Collector) { f(now, k); close(done) }:
		<-done
		return nil
	case <-g.attribution.done:
		return fmt.Errorf("gateway: closed")
	}
}

// FlushAttribution hands all accounts that are complete over to the books.
func (g *Gateway) FlushAttribution() {
	for _, l := range g.workers {
		done := make(chan struct{})
		l.loop.Post(func() { l.flushBatch(); close(done) })
		select {
		case <-done:
		case <-g.core.done:
			return
		}
	}
}

// Run tells which life of a gateway accounts are of.
func (g *Gateway) Run() attribution.Run {
	return attribution.Run{ID: g.core.nonce, Gateway: g.cfg.Name, Started: g.started}
}

// AttributionHandler serves the accounts as JSON: GET with since (such as 5m, the
// default) and slots=1 for each slot apart instead of their sum.
func (g *Gateway) AttributionHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, slots, err := parseAttributionQuery(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		doc := attribution.Document{Version: attribution.Version, Run: g.Run()}
		reached, most := false, time.Duration(0)
		err = g.Attribution(func(now time.Duration, k *attribution.Collector) {
			doc.Now, doc.Counts, most = now, k.Counts(), k.Aggregator().Reach()
			if slots {
				doc.Windows, reached = k.Aggregator().Pages(now, since)
				return
			}
			var win attribution.Window
			if win, reached = k.Aggregator().Over(now, since); reached {
				doc.Windows = []attribution.Window{win}
			}
		})
		switch {
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		case !reached:
			http.Error(w, fmt.Sprintf("since: at most %v is kept", most), http.StatusBadRequest)
		default:
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(doc)
		}
	})
}

func parseAttributionQuery(r *http.Request) (since time.Duration, slots bool, err error) {
	if r.Method != http.MethodGet {
		return 0, false, fmt.Errorf("want GET")
	}
	q := r.URL.Query()
	for name := range q {
		if name != "since" && name != "slots" {
			return 0, false, fmt.Errorf("%s: there is no such parameter; want since, slots", name)
		}
	}
	since = 5 * time.Minute
	if v := q.Get("since"); v != "" {
		if since, err = time.ParseDuration(v); err != nil || since <= 0 {
			return 0, false, fmt.Errorf("since: want a time above 0, such as 5m, not %q", v)
		}
	}
	if v := q.Get("slots"); v != "" {
		if slots, err = strconv.ParseBool(v); err != nil {
			return 0, false, fmt.Errorf("slots: want 1 or 0, not %q", v)
		}
	}
	return since, slots, nil
}
