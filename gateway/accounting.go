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

// bookkeeper owns the books of a gateway.
type bookkeeper struct {
	keeper *attribution.Collector
	now    func() time.Duration
	in     chan attribution.Batch // bounded: what does not fit is counted as lost
	ask    chan func(time.Duration, *attribution.Collector)
	each   func(attribution.Entry)
	save   func(attribution.Action)
	lost   atomic.Int64
	ended  chan struct{}
}

func newBookkeeper(s settings.Accounts, now func() time.Duration, each func(attribution.Entry), save func(attribution.Action)) (*bookkeeper, error) {
	cfg := attribution.DefaultCollectorConfig()
	cfg.Volumes, cfg.Pairs, cfg.Distributions, cfg.Late = s.Volumes, s.Pairs, s.Distributions, s.Late
	k, err := attribution.NewCollector(cfg)
	if err != nil {
		return nil, err
	}
	return &bookkeeper{
		keeper: k, now: now, in: make(chan attribution.Batch, s.Batches), each: each, save: save,
		ask: make(chan func(time.Duration, *attribution.Collector)), ended: make(chan struct{}),
	}, nil
}

// run keeps the books until in is closed.
func (b *bookkeeper) run() {
	defer close(b.ended)
	t := time.NewTicker(attribution.DefaultConfig().Settle)
	defer t.Stop()
	for {
		select {
		case batch, ok := <-b.in:
			if !ok {
				b.handle(attribution.Flush{})
				return
			}
			batch.Lost = b.lost.Swap(0)
			b.handle(batch)
		case <-t.C:
			b.handle(attribution.Tick{})
		case f := <-b.ask:
			b.handle(attribution.Tick{})
			f(b.now(), b.keeper)
		}
	}
}

func (b *bookkeeper) handle(ev attribution.Event) {
	if batch, ok := ev.(attribution.Batch); ok && b.each != nil {
		for _, e := range batch.Entries {
			b.each(e)
		}
	}
	acts := b.keeper.Handle(b.now(), ev)
	if b.save != nil {
		for _, a := range acts {
			b.save(a)
		}
	}
}

// enter puts an entry on its way to the books.
func (l *lane) enter(e attribution.Entry) {
	if l.batch.Entries == nil {
		l.batch.Entries = make([]attribution.Entry, 0, batchEntries)
	}
	l.batch.Entries = append(l.batch.Entries, e)
	if len(l.batch.Entries) >= batchEntries {
		l.flushBatch()
	}
}

// late puts a report on its way to the books.
func (l *lane) late(t attribution.NodeReport) {
	if l.batch.Reports = append(l.batch.Reports, t); len(l.batch.Reports) >= batchEntries {
		l.flushBatch()
	}
}

// flushBatch hands over what has come together. It never waits: accounts must not
// hold up requests.
func (l *lane) flushBatch() {
	b := l.g.books
	if b == nil || len(l.batch.Entries)+len(l.batch.Reports) == 0 {
		return
	}
	select {
	case b.in <- l.batch:
	default:
		b.lost.Add(int64(len(l.batch.Entries)))
	}
	l.batch = attribution.Batch{}
}

// ---- The journey of a client's request.

// at is the present on the gateway's own scale of time.
func (t *transaction) at() time.Duration { return t.conn.lane.g.core.now() }

// setOut begins the journey: when the head of the request began to wait for its turn.
func (t *transaction) setOut() {
	c := t.conn
	now := t.started.Sub(c.lane.g.core.start)
	waited := c.c.SliceWait()
	t.journey = attribution.StartClientSpan(now-waited, attribution.RateLimited)
	waited -= c.c.RateLimitWait()
	t.journey.Enter(now-waited, attribution.EventLoop)
	t.journey.Enter(now, attribution.Gateway)
	l := c.lane
	if l.g.books == nil || waited < blamed {
		return
	}
	l.behind = c.c.WaitedBehind(l.behind[:0])
	blames, rest := make([]attribution.Contribution, 0, len(l.behind)+1), waited
	for _, x := range l.behind {
		d := min(x.Time, rest)
		rest -= d
		if x.Flow != c.vol.flow { // behind others only, as at nodes
			blames = append(blames, attribution.Contribution{Volume: x.Flow.Name(), Time: d})
		}
	}
	if rest > 0 { // looking for events, and what is not remembered
		blames = append(blames, attribution.Contribution{Time: rest})
	}
	t.journey.WaitedBehind(blames)
}

// blamed is how long a head must wait for whom it waited behind to be told: who they were costs
// more than the rest of the account.
const blamed = time.Millisecond

// turn goes on with another cause.
func (t *transaction) turn(c attribution.Component) {
	if t.conn.lane.g.books != nil {
		t.journey.Enter(t.at(), c)
	}
}

// accounted takes the account of a request to a node that has ended.
func (l *lane) accounted(a forwarder.RequestAttributed) {
	c := l.calls[a.ID]
	if c == nil {
		c = l.leaving[a.ID]
		delete(l.leaving, a.ID)
	}
	if c == nil || c.t == nil {
		return // cannot happen: each call is known until it is accounted for
	}
	t, e := c.t, a.Entry
	if t.booked {
		return
	}
	if t.up != nil && t.up.call == c {
		e.Move(attribution.NodeUnknown, attribution.RequestBody, t.up.fromClient(t.at()))
	}
	if s := t.stall.take(t.at()); s > 0 {
		e.Move(attribution.ResponseBody, attribution.SlowClient, s)
	}
	t.journey.Include(e)
	if t.open--; t.parting && t.open <= 0 {
		t.book()
	}
}

// book closes the account of a transaction that needed nodes.
func (t *transaction) book() {
	l := t.conn.lane
	if l.g.books == nil || t.booked || !t.asked {
		return
	}
	t.booked = true
	name := "/"
	if t.vol != nil {
		name = t.vol.name
	}
	l.enter(t.journey.End(t.at(), name, t.outcome))
}

// answered closes the account of a transaction whose answer is written, once the
// client has taken what still waits for it here. Of an answer that the client held
// up before, what waits in the kernel counts too: it may be megabytes. What lies in
// the client's own buffers is not seen.
func (t *transaction) answered() {
	c := t.conn
	if c.lane.g.books == nil || !t.asked {
		return
	}
	if c.c.Pending() == 0 && (!t.heldUp || c.c.Unacknowledged() == 0) {
		t.book()
		return
	}
	t.turn(attribution.SlowClient)
	c.tail = t
	if t.heldUp {
		c.watchTail(t, t.at())
	}
}

// watchTail looks again and again whether the client has taken the last answer, at
// intervals that grow with the time that it takes, so that the end is found within
// a sixteenth of it.
func (c *clientConn) watchTail(t *transaction, since time.Duration) {
	wait := max((t.at()-since)/16, time.Millisecond)
	l := c.lane
	time.AfterFunc(wait, func() {
		l.loop.Post(func() {
			switch {
			case c.tail != t:
			case c.c.Open() && c.c.Pending()+c.c.Unacknowledged() > 0:
				c.watchTail(t, since)
			default:
				c.tailGone()
			}
		})
	})
}

// tailTaken is told when all bytes have left for the kernel.
func (c *clientConn) tailTaken() {
	if c.tail != nil && !c.tail.heldUp {
		c.tailGone()
	}
}

// tailGone closes the account that waited for the client to take the last answer.
func (c *clientConn) tailGone() {
	if t := c.tail; t != nil {
		c.tail = nil
		t.book()
	}
}

// part closes the account of a transaction whose client has left, once all that it
// began is accounted for.
func (t *transaction) part() {
	if t.parting = true; t.open <= 0 {
		t.book()
	}
}

// stall adds up how long something was held back. The zero value was never.
type stall struct {
	since time.Duration
	on    bool
	sum   time.Duration
}

func (s *stall) begin(now time.Duration) {
	if !s.on {
		s.on, s.since = true, now
	}
}

func (s *stall) end(now time.Duration) {
	if s.on {
		s.on, s.sum = false, s.sum+now-s.since
	}
}

// take returns the sum so far and begins again.
func (s *stall) take(now time.Duration) time.Duration {
	s.end(now)
	d := s.sum
	s.sum = 0
	return d
}

// ---- Reading the books.

// Attribution calls f with the books of the gateway's latency accounts, which f may
// read until it returns. It returns an error when accounts are not kept or the
// gateway is closed. f must be quick: reports wait meanwhile.
func (g *Gateway) Attribution(f func(now time.Duration, k *attribution.Collector)) error {
	if g.books == nil {
		return fmt.Errorf("gateway: no accounts are kept: accounts.on is false in the settings")
	}
	done := make(chan struct{})
	select {
	case g.books.ask <- func(now time.Duration, k *attribution.Collector) { f(now, k); close(done) }:
		<-done
		return nil
	case <-g.books.ended:
		return fmt.Errorf("gateway: closed")
	}
}

// FlushAttribution hands all accounts that are complete over to the books.
func (g *Gateway) FlushAttribution() {
	for _, l := range g.lanes {
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
	return attribution.Run{ID: g.core.nonce, Gateway: g.cfg.Name, Started: g.born}
}

// AttributionHandler serves the accounts as JSON: GET with since (such as 5m, the
// default) and slots=1 for each slot apart instead of their sum.
func (g *Gateway) AttributionHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, slots, err := accountsQuery(r)
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

func accountsQuery(r *http.Request) (since time.Duration, slots bool, err error) {
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
