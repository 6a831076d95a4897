package storagenode

import (
	"chalkstand/internal/objectapi"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config is what a node is like. Zero values make a node that answers at once.
type Config struct {
	ID           string
	Zone         int
	Shard        int
	Cores        int           // requests worked on at a time; 0: no bound
	Speed        float64       // of a core; 0 counts as 1
	Queue        int           // requests that may wait beside; more are turned away
	PerUnit      time.Duration // work of one unit at speed 1
	InitialSpeed float64       // share of its speed right after its start; 0: born warm
	WarmUp       time.Duration // until it has its full speed
	// Deferred is the share of a write's work that is put off and done in one go
	// every DeferEvery, in the way of all else.
	Deferred   float64
	DeferEvery time.Duration
	// A node just started falls over when it is sent more than Multiple times what
	// it can do at that moment within Span, beyond YoungLimit units. 0: it never does.
	OverloadFactor float64
	OverloadWindow time.Duration
	InitialUnits   float64
	// ReportEvery is how long a load report stays the same; ReportNoise is the
	// share by which it may be off.
	ReportEvery time.Duration
	ReportDelay  time.Duration // until a report is told
	ReportNoise float64
	// Timing tells how a request's time here divides, in Server-Timing: with its
	// answer, or where TimingLate is set, with an answer that leaves so much later.
	// TimingLose is the share that is never told.
	Timing      bool
	TimingDelay  time.Duration
	TimingLossRate  float64
	DedupWindow time.Duration // how long repeats of a keyed write are dropped
	DiscardLog  bool          // keep no log: for nodes that run for long
	Seed        uint64
	// Link is what all its answers together send, bytes a second; 0: no bound. SendBuffer is
	// what the kernel holds of each connection's; 0: as the kernel likes.
	Link       float64
	SendBuffer int
}

// FaultKind is a way to fail.
type FaultKind int

// The faults that a node can be told to show.
const (
	Stall            FaultKind = iota + 1 // take the request, answer nothing until For has passed, or the client leaves
	StallInResponse                       // stall in the middle of the answer
	Reject                                // turn away unseen
	ServerError                           // answer 500 without doing the work
	ResetConnection                       // reset the connection before the work
	LoseResponse                          // do the work and answer nothing
	TruncateResponse                      // break off in the middle of the answer
	Slow                                  // Factor times the work
	Pause                                 // stand still: all wait until For has passed
	Exit                                  // end; of scripts only
)

// Fault is one order to fail.
type Fault struct {
	Kind   FaultKind
	Match  func(*http.Request) bool // nil: all requests
	Count  int                      // of requests; 0: until For has passed
	For    time.Duration            // from the order on; 0: no end
	Hold   time.Duration            // how long a stall lasts; 0: as long as For, or until the client leaves
	Share  float64                  // of the requests that match; 0: all
	Factor float64
}

// LogEntry tells what one request met at a node.
type LogEntry struct {
	Node     string
	Gateway  string
	Request  uint64
	Attempt  int
	Volume   string
	Units    float64
	Op       objectapi.Kind
	Path     string
	Key      string // of a keyed write
	Tag      string // the client's own name for its request (x-amz-meta-tag)
	Arrived  time.Duration
	Ended    time.Duration // 0: not yet
	Left     time.Duration // when its connection ended before that; 0: it did not
	Ran      bool          // the work was done
	Repeat   bool          // dropped as a repeat
	Status   int           // 0: no answer was given
	ParseError string
	QueueTime   time.Duration // waited for a core
	ServiceTime   time.Duration // had it
	requestName     string        // that its gateway gave it
}

// Node is one running stand-in.
type Node struct {
	cfg     Config
	data    *Dataset
	ledger  *Ledger
	epoch   time.Time
	started time.Time
	srv     *http.Server
	ln      net.Listener
	cores   chan struct{}
	ctx     context.Context
	cancel    context.CancelFunc

	mu       sync.Mutex
	rng      *rand.Rand
	faults   []*activeFault
	log      []*LogEntry
	inflight int
	waiting  int
	overloaded   bool
	pausedUntil   time.Time // nothing works before
	recentLoads   []recentLoad    // of a node just started
	deferredWork time.Duration
	report   string // that is told
	reportedAt time.Time
	nextReport     string // that will be told
	nextReportAt   time.Time
	onArrival  func(LogEntry) // told of each arrival
	lateTimings   []serverTiming       // that are to be told late
}

type activeFault struct {
	Fault
	until time.Time
	remaining  int
}

type recentLoad struct {
	at    time.Time
	units float64
}

// Start runs a node on addr ("127.0.0.1:0" for any port). epoch is the zero of
// its log's times. The ledger may be nil.
func Start(addr string, cfg Config, data *Dataset, ledger *Ledger, epoch time.Time) (*Node, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", cfg.ID, err)
	}
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, data: data, ledger: ledger, epoch: epoch, started: time.Now(), ln: ln, ctx: ctx, cancel: stop,
		rng: rand.New(rand.NewPCG(cfg.Seed, 11)),
	}
	if cfg.Cores > 0 {
		n.cores = make(chan struct{}, cfg.Cores)
	}
	n.srv = &http.Server{Handler: n, ReadHeaderTimeout: 30 * time.Second}
	go n.srv.Serve(&linkListener{ln, &sharedLink{rate: cfg.Link}, cfg.SendBuffer})
	if cfg.Deferred > 0 && cfg.DeferEvery > 0 {
		go n.runDeferredWork()
	}
	return n, nil
}

// Addr returns where the node listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// ID returns the node's name.
func (n *Node) ID() string { return n.cfg.ID }

// Started returns when it was started, since the epoch.
func (n *Node) Started() time.Duration { return n.started.Sub(n.epoch) }

// Overloaded tells whether it was pushed over while it was cold.
func (n *Node) Overloaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.overloaded
}

// Stop ends the node at once: it listens no more and its connections break.
func (n *Node) Stop() {
	n.cancel()
	n.srv.Close()
}

// Inject tells the node to fail.
func (n *Node) Inject(f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	o := &activeFault{Fault: f, remaining: f.Count}
	if f.For > 0 {
		o.until = time.Now().Add(f.For)
	}
	if f.Kind == Pause {
		n.pausedUntil = o.until
		return
	}
	n.faults = append(n.faults, o)
}

// ClearFaults takes all faults back.
func (n *Node) ClearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = nil
	n.pausedUntil = time.Time{}
}

// Log returns a copy of what reached the node.
func (n *Node) Log() []LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]LogEntry, len(n.log))
	for i, e := range n.log {
		out[i] = *e
	}
	return out
}

// OnArrival has f called with the entry of each request as it arrives.
func (n *Node) OnArrival(f func(LogEntry)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onArrival = f
}

// matchFault picks the order that a request falls under.
func (n *Node) matchFault(r *http.Request) *activeFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, o := range n.faults {
		if !o.until.IsZero() && now.After(o.until) || o.Count > 0 && o.remaining == 0 || o.Match != nil && !o.Match(r) {
			continue
		}
		if o.Share > 0 && n.rng.Float64() >= o.Share {
			continue
		}
		o.remaining--
		return o
	}
	return nil
}

// ServeHTTP answers one request.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := n.recordArrival(r)
	watch := context.AfterFunc(r.Context(), func() {
		at := time.Since(n.epoch)
		n.update(e, func(x *LogEntry) { x.Left = at })
	})
	defer func() {
		watch()
		n.mu.Lock()
		n.inflight--
		e.Ended = time.Since(n.epoch)
		n.mu.Unlock()
	}()
	f := n.matchFault(r)
	kind := FaultKind(0)
	if f != nil {
		kind = f.Kind
	}
	switch kind {
	case Reject:
		n.reject(w, e)
		return
	case ResetConnection:
		resetConnection(w)
		return
	case Stall:
		n.hold(r, f)
		resetConnection(w)
		return
	case ServerError:
		n.update(e, func(x *LogEntry) { x.Status = 500 })
		n.writeResponse(w, r, e, errorResponse(objectapi.Errorf("InternalError", "We encountered an internal error."), r.URL.Path), 0, f)
		return
	}
	op, perr := parseOperation(r)
	if perr != nil {
		n.update(e, func(x *LogEntry) { x.ParseError, x.Status = perr.Error(), perr.Status() })
		n.writeResponse(w, r, e, errorResponse(perr, r.URL.Path), 0, f)
		return
	}
	n.update(e, func(x *LogEntry) { x.Op = op.Kind })
	if !n.work(r, op, e, f) {
		if n.canceled(r) {
			resetConnection(w)
			return
		}
		n.reject(w, e)
		return
	}
	rep := n.execute(op, r, e)
	if kind == LoseResponse {
		n.hold(r, f)
		resetConnection(w)
		return
	}
	n.update(e, func(x *LogEntry) { x.Status = rep.status })
	n.writeResponse(w, r, e, rep, kind, f)
}

func (n *Node) update(e *LogEntry, f func(*LogEntry)) {
	n.mu.Lock()
	f(e)
	n.mu.Unlock()
}

// recordArrival logs a request and counts what it adds to a cold node's load.
func (n *Node) recordArrival(r *http.Request) *LogEntry {
	h := r.Header
	e := &LogEntry{Node: n.cfg.ID, Volume: h.Get("x-chalkstand-volume"), Path: r.RequestURI, Key: h.Get("x-chalkstand-key"), Tag: h.Get("x-amz-meta-tag")}
	e.Units, _ = strconv.ParseFloat(h.Get("x-chalkstand-units"), 64)
	if p := strings.Split(h.Get("x-chalkstand-request"), "/"); len(p) == 3 {
		e.Gateway, e.requestName = p[0], h.Get("x-chalkstand-request")
		e.Request, _ = strconv.ParseUint(p[1], 10, 64)
		e.Attempt, _ = strconv.Atoi(p[2])
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	e.Arrived = now.Sub(n.epoch)
	n.inflight++
	if !n.cfg.DiscardLog {
		n.log = append(n.log, e)
	}
	n.checkOverload(now, e.Units)
	if n.onArrival != nil {
		n.onArrival(*e)
	}
	return e
}

// checkOverload lets a node that has just started fall over when too much reaches it.
func (n *Node) checkOverload(now time.Time, units float64) {
	c := n.cfg
	age := now.Sub(n.started)
	if c.OverloadFactor <= 0 || c.PerUnit <= 0 || age > c.WarmUp+c.OverloadWindow {
		return
	}
	n.recentLoads = append(n.recentLoads, recentLoad{now, units})
	sum := 0.0
	for len(n.recentLoads) > 0 && now.Sub(n.recentLoads[0].at) > c.OverloadWindow {
		n.recentLoads = n.recentLoads[1:]
	}
	for _, l := range n.recentLoads {
		sum += l.units
	}
	can := n.speed(now) * float64(max(c.Cores, 1)) * c.OverloadWindow.Seconds() / c.PerUnit.Seconds()
	if sum > max(c.OverloadFactor*can, c.InitialUnits) && !n.overloaded {
		n.overloaded = true
		go n.Stop()
	}
}

// speed is that of a core by the node's age.
func (n *Node) speed(now time.Time) float64 {
	c := n.cfg
	if c.InitialSpeed <= 0 || c.WarmUp <= 0 {
		return c.Speed
	}
	grown := min(1, now.Sub(n.started).Seconds()/c.WarmUp.Seconds())
	return c.Speed * (c.InitialSpeed + (1-c.InitialSpeed)*grown)
}

// work waits for a core and keeps it for as long as the request takes. False: the
// queue is full, or nobody waits any more.
func (n *Node) work(r *http.Request, op objectapi.Operation, e *LogEntry, f *activeFault) bool {
	if n.cfg.PerUnit <= 0 && n.cores == nil {
		return true
	}
	n.mu.Lock()
	if n.cores != nil && n.waiting >= n.cfg.Cores+n.cfg.Queue {
		n.mu.Unlock()
		return false
	}
	n.waiting++
	units := max(e.Units, 1)
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.waiting--
		n.mu.Unlock()
	}()
	came := time.Now()
	if n.cores != nil {
		select {
		case n.cores <- struct{}{}:
		case <-n.ctx.Done():
			return false
		}
		defer func() { <-n.cores }()
	}
	n.mu.Lock()
	now := time.Now()
	still := n.pausedUntil.Sub(now)
	took := time.Duration(units * float64(n.cfg.PerUnit) / n.speed(now))
	if op.Kind.Writes() && n.cfg.Deferred > 0 {
		put := time.Duration(n.cfg.Deferred * float64(took))
		n.deferredWork += put
		took -= put
	}
	n.mu.Unlock()
	if f != nil && f.Kind == Slow {
		took = time.Duration(float64(took) * f.Factor)
	}
	ok := n.sleep(max(still, 0) + took)
	end := time.Now()
	n.update(e, func(x *LogEntry) { x.QueueTime, x.ServiceTime = now.Sub(came), end.Sub(now) })
	return ok
}

func (n *Node) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// runDeferredWork does the work that was put off, with all cores.
func (n *Node) runDeferredWork() {
	for n.sleep(n.cfg.DeferEvery) {
		n.mu.Lock()
		d := n.deferredWork / time.Duration(max(n.cfg.Cores, 1))
		n.deferredWork = 0
		n.pausedUntil = time.Now().Add(d)
		n.mu.Unlock()
	}
}

func (n *Node) canceled(r *http.Request) bool { return r.Context().Err() != nil || n.ctx.Err() != nil }

// hold keeps a request without an answer.
func (n *Node) hold(r *http.Request, f *activeFault) {
	d := f.Hold
	if d <= 0 {
		d = f.For
	}
	if d <= 0 {
		d = time.Hour
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.ctx.Done():
	case <-r.Context().Done():
	}
}

// resetConnection resets the connection.
func resetConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

func (n *Node) reject(w http.ResponseWriter, e *LogEntry) {
	n.update(e, func(x *LogEntry) { x.Status = 503 })
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(503)
	w.Write(objectapi.Errorf("SlowDown", "Please reduce your request rate.").Document("", "0"))
}

// execute runs the operation, or gives a repeat the answer of the first.
func (n *Node) execute(op objectapi.Operation, r *http.Request, e *LogEntry) response {
	key := r.Header.Get("x-chalkstand-key")
	if key == "" || n.cfg.DedupWindow <= 0 || !op.Kind.Writes() {
		n.recordExecution(r, e)
		return n.data.run(op, r)
	}
	d, now := n.data, time.Now()
	d.mu.Lock()
	p := d.dedup[key]
	if p != nil && (p.until.IsZero() || now.Before(p.until)) {
		d.mu.Unlock()
		io.Copy(io.Discard, r.Body)
		n.update(e, func(x *LogEntry) { x.Repeat = true })
		select {
		case <-p.done:
		case <-n.ctx.Done():
		}
		return p.reply
	}
	p = &dedupEntry{done: make(chan struct{})}
	d.dedup[key] = p
	d.mu.Unlock()
	n.recordExecution(r, e)
	p.reply = d.run(op, r)
	d.mu.Lock()
	p.until = time.Now().Add(n.cfg.DedupWindow)
	d.dedupOrder = append(d.dedupOrder, key)
	for len(d.dedupOrder) > 0 && now.After(d.dedup[d.dedupOrder[0]].until) {
		delete(d.dedup, d.dedupOrder[0])
		d.dedupOrder = d.dedupOrder[1:]
	}
	d.mu.Unlock()
	close(p.done)
	return p.reply
}

func (n *Node) recordExecution(r *http.Request, e *LogEntry) {
	n.update(e, func(x *LogEntry) { x.Ran = true })
	if n.ledger != nil {
		h := r.Header
		u, _ := strconv.ParseFloat(h.Get("x-chalkstand-units"), 64)
		n.ledger.Add(h.Get("x-chalkstand-volume"), n.cfg.ID, gatewayOf(h), u)
	}
}

func gatewayOf(h http.Header) string {
	g, _, _ := strings.Cut(h.Get("x-chalkstand-request"), "/")
	return g
}

// writeResponse sends an answer, whole or with the fault that was ordered.
func (n *Node) writeResponse(w http.ResponseWriter, r *http.Request, e *LogEntry, rep response, kind FaultKind, f *activeFault) {
	h := w.Header()
	for k, v := range rep.header {
		h.Set(k, v)
	}
	h.Set("endpoint-load-metrics", n.loadReport(r.Header))
	if t := n.timings(e); t != "" {
		h.Set("Server-Timing", t)
	}
	length := int64(len(rep.body))
	if rep.blob != nil {
		length = rep.length
	}
	if rep.status != 204 && rep.status != 304 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(rep.status)
	if r.Method == "HEAD" || length == 0 {
		return
	}
	var body io.Reader = strings.NewReader(bytesString(rep.body))
	if rep.blob != nil {
		rd, err := rep.blob.open(rep.from, rep.length)
		if err != nil {
			resetConnection(w)
			return
		}
		defer rd.Close()
		body = rd
	}
	if kind != TruncateResponse && kind != StallInResponse {
		io.Copy(w, body)
		return
	}
	io.CopyN(w, body, length/2)
	http.NewResponseController(w).Flush()
	if kind == TruncateResponse {
		resetConnection(w)
		return
	}
	n.hold(r, f)
	if !n.canceled(r) {
		io.Copy(w, body)
	}
}

// loadReport is the node's account of its load and of the volume's use, in the
// text form of the Open Request Cost Aggregation report.
func (n *Node) loadReport(h http.Header) string {
	n.mu.Lock()
	now := time.Now()
	if n.report == "" || now.Sub(n.reportedAt) >= n.cfg.ReportEvery {
		noise := 1 + n.cfg.ReportNoise*(2*n.rng.Float64()-1)
		busy := 0.0
		if n.cfg.Cores > 0 {
			busy = min(1, float64(n.waiting)/float64(n.cfg.Cores))
		}
		n.nextReport, n.nextReportAt = fmt.Sprintf("TEXT cpu_utilization=%.3f, named_metrics.inflight=%.2f", busy*noise, float64(n.inflight)*noise), now
		n.reportedAt = now
	}
	if n.report == "" || now.Sub(n.nextReportAt) >= n.cfg.ReportDelay {
		n.report = n.nextReport
	}
	rep := n.report
	n.mu.Unlock()
	if n.ledger != nil {
		rate, elsewhere := n.ledger.Report(h.Get("x-chalkstand-volume"), n.cfg.ID, gatewayOf(h))
		rep += fmt.Sprintf(", named_metrics.volume_rate=%.3f, named_metrics.volume_elsewhere=%.3f", rate, elsewhere)
	}
	return rep
}

// FreezeReport lets the load report stay as it is for a while.
func (n *Node) FreezeReport(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reportedAt = time.Now().Add(d)
}

// Idle tells whether the node has no request in hand.
func (n *Node) Idle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inflight == 0
}
