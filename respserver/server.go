// Package respserver is the front of the platform's protocol: clients ask in RESP, and
// storage nodes are asked in RESP. One event loop owns the sockets, the forwarder and the
// decisions; nothing on the path of a request crosses goroutines. It moves bytes and
// says what happened; what is sent, held, refused or repeated, and how nodes are judged,
// is said by the dispatcher through exchange.
package respserver

import (
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/forwarder"
	"chalkstand/internal/discovery"
	"chalkstand/internal/endpoints"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/objectcommand"
	"chalkstand/internal/resp"
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// Server is one running dispatcher. All its fields belong to its loop.
type Server struct {
	cfg   Config
	log   *zap.Logger
	terms *objectcommand.Schema
	loop  *eventloop.Loop
	x     *forwarder.Forwarder
	start time.Time
	epoch time.Duration // of the start, by the Unix clock

	inbox []forwarder.Event
	busy  bool
	wake  time.Duration // what the forwarder asked for

	nodes   map[forwarder.ConnID]*nodeConn
	dials   []*nodeConn // being opened, the oldest first
	clients []*client
	tasks   map[dispatch.RequestID]*task
	ids     map[string]*task // open requests by their clients' ids
	lastID  dispatch.RequestID
	held    int // bytes of commands and answers kept
	most    int // of them

	words   [][]byte
	answer  resp.Reply
	scratch []byte

	flows   struct{ fresh, clients, nodes *eventloop.Flow }
	sweepAt time.Duration

	discovery netip.AddrPort
	version   int64
	watch     *watch // the present one
	old       *watch // at the address before, until the present one has told something

	stopping bool
	stopAt   time.Duration // since
	closedAt time.Duration // the listener was, in a planned end
	over     bool          // it has begun to end its loop
}

// task is an open request.
type task struct {
	id    dispatch.RequestID
	cl    *client
	entry *entry
	cmd   objectcommand.Command // its words are in buf
	buf   []byte
}

// heldPart of the memory limit may be bytes of commands and answers.
const heldPart = 0.15

// New opens a dispatcher's listener and loop. Run runs it.
func New(cfg Config, log *zap.Logger) (*Server, error) {
	x, err := forwarder.New(cfg.exchange())
	if err != nil {
		return nil, err
	}
	f := &Server{
		cfg: cfg, log: log, terms: objectcommand.NewSchema(cfg.Settings), x: x, start: time.Now(), wake: math.MaxInt64,
		nodes: map[forwarder.ConnID]*nodeConn{}, tasks: map[dispatch.RequestID]*task{}, ids: map[string]*task{},
		most: int(cfg.MemoryMB * heldPart * (1 << 20)), discovery: cfg.Discovery, version: cfg.Known.Version,
	}
	f.epoch = time.Duration(f.start.UnixNano())
	o := eventloop.DefaultOptions
	o.Now = func() time.Duration { return time.Since(f.start) }
	if f.loop, err = eventloop.NewLoopWith(0, o); err != nil {
		return nil, err
	}
	f.flows.fresh = f.loop.Flow("new", fairshare.FlowConfig{Weight: 2}, nil)
	f.flows.clients = f.loop.Flow("clients", fairshare.FlowConfig{Weight: 4}, nil)
	f.flows.nodes = f.loop.Flow("nodes", fairshare.FlowConfig{Weight: 16}, nil)
	ln, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	fd, err := eventloop.Detach(ln.(*net.TCPListener))
	if err != nil {
		return nil, err
	}
	if err := f.loop.Listen(fd, f.flows.fresh, f.accept); err != nil {
		return nil, err
	}
	f.loop.SetTimer(f.nextAlarm, f.ring)
	return f, nil
}

// Run serves until Stop has let it end.
func (f *Server) Run() error {
	f.tell(forwarder.EndpointUpdate{Kind: dispatch.Cached, Nodes: f.cfg.Known.Nodes})
	return f.loop.Run()
}

// now is the time by the Unix clock at the start, and steady from there.
func (f *Server) now() time.Duration { return f.epoch + time.Since(f.start) }

// tell hands an event to the forwarder and does what it says, in order.
func (f *Server) tell(ev forwarder.Event) {
	f.inbox = append(f.inbox, ev)
	if f.busy {
		return
	}
	f.busy = true
	for i := 0; i < len(f.inbox); i++ {
		for _, a := range f.x.Handle(f.now(), f.inbox[i]) {
			f.do(a)
		}
	}
	clear(f.inbox)
	f.inbox, f.busy = f.inbox[:0], false
}

func (f *Server) do(a forwarder.Action) {
	switch a := a.(type) {
	case forwarder.Dial:
		f.dial(a)
	case forwarder.SendRequest:
		if k, t := f.nodes[a.Conn], f.tasks[a.ID]; k != nil && t != nil {
			k.send(t, a)
		}
	case forwarder.CloseConn:
		if k := f.nodes[a.Conn]; k != nil {
			delete(f.nodes, a.Conn)
			k.c.Close()
		}
	case forwarder.ForwardResponse:
		if t, k := f.tasks[a.ID], f.nodes[a.Conn]; t != nil && k != nil {
			f.scratch = resp.AppendBulk(f.scratch[:0], k.value)
			f.finish(t, f.scratch)
		}
	case forwarder.Reject:
		if t := f.tasks[a.ID]; t != nil {
			f.finish(t, f.busyAnswer(a.RetryAfter))
		}
	case forwarder.Fail:
		if t := f.tasks[a.ID]; t != nil {
			text := "ERR failed"
			if a.TimedOut {
				text = "ERR failed: no answer in time"
			}
			f.scratch = resp.AppendLine(f.scratch[:0], resp.ErrorReply, text)
			f.finish(t, f.scratch)
		}
	case forwarder.SetTimer:
		f.wake = a.At
	case forwarder.PollDiscovery:
		f.ask()
	}
}

// busyAnswer is a refusal with the time to come back, in whole milliseconds.
func (f *Server) busyAnswer(after time.Duration) []byte {
	b := append(f.scratch[:0], "-BUSY "...)
	b = strconv.AppendInt(b, int64((after+time.Millisecond-1)/time.Millisecond), 10)
	f.scratch = append(b, '\r', '\n')
	return f.scratch
}

// forget ends a request here.
func (f *Server) forget(t *task) {
	delete(f.tasks, t.id)
	delete(f.ids, string(t.cmd.ID))
	f.held -= len(t.buf)
}

// finish gives a request its final answer.
func (f *Server) finish(t *task, reply []byte) {
	f.forget(t)
	t.cl.answered(t.entry, reply)
}

// ---- Time.

// sweepEvery is how often connections are looked at.
const sweepEvery = 20 * time.Millisecond

// nextAlarm is by the loop's clock.
func (f *Server) nextAlarm() (time.Duration, bool) {
	at := min(f.wake, f.sweepAt)
	if len(f.dials) > 0 {
		at = min(at, f.dials[0].due)
	}
	return max(at-f.epoch, 0), true
}

func (f *Server) ring(time.Duration) {
	now := f.now()
	for len(f.dials) > 0 && (f.dials[0].due <= now || f.dials[0].opened || f.nodes[f.dials[0].id] != f.dials[0]) {
		k := f.dials[0]
		f.dials[0] = nil
		f.dials = f.dials[1:]
		if f.nodes[k.id] == k && !k.opened {
			delete(f.nodes, k.id)
			k.c.Close()
			f.tell(forwarder.DialCompleted{Conn: k.id})
		}
	}
	if now >= f.wake {
		f.wake = math.MaxInt64
		f.tell(forwarder.TimerFired{})
	}
	if now >= f.sweepAt {
		f.sweepAt = now + sweepEvery
		f.sweep(now)
	}
}

// ---- Discovery.

type watch struct {
	cancel context.CancelFunc
	told   bool
}

// Bounds of a watch. A change counts as told 6 s after discovery had it and could be reached, and 6 s
// after a watch fell silent that would have told it. Discovery answers within 2 s or not at all, and
// an empty line is due every 2 s; the dispatcher pauses for 0.75 s at most before the first call after a watch
// that had told something, and for 3 s at most before any.
const (
	discoveryAnswer  = 2500 * time.Millisecond
	discoverySilence = 2700 * time.Millisecond
)

// ask opens a watch, where there is none.
func (f *Server) ask() {
	if f.watch != nil || f.stopping {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{cancel: cancel}
	f.watch = w
	discovery.Watch(ctx, f.discovery.String(), f.version, discovery.Options{Names: f.cfg.names(), ResponseTimeout: discoveryAnswer, SilenceTimeout: discoverySilence},
		func(d endpoints.Document) { f.loop.Post(func() { f.listed(w, d) }) },
		func(err error) { f.loop.Post(func() { f.watchEnded(w, err) }) })
}

// listed takes a document. One of an older version than what is known tells of the past,
// unless it is the whole list at an address that has told nothing before.
func (f *Server) listed(w *watch, d endpoints.Document) {
	if w != f.watch && w != f.old {
		return
	}
	first := !w.told
	w.told = true
	if w == f.watch && f.old != nil {
		f.old.cancel()
		f.old = nil
	}
	if d.Version < f.version && !(first && d.Snapshot) {
		f.log.Info("discovery told of the past", zap.Int64("version", d.Version), zap.Int64("known", f.version))
		return
	}
	f.version = d.Version
	kind := dispatch.Delta
	if d.Snapshot {
		kind = dispatch.Snapshot
	}
	f.tell(forwarder.EndpointUpdate{Kind: kind, Nodes: d.Nodes})
}

func (f *Server) watchEnded(w *watch, err error) {
	w.cancel()
	switch w {
	case f.old:
		f.old = nil
	case f.watch:
		f.watch = nil
		f.log.Info("watch of discovery ended", zap.Error(err))
		f.tell(forwarder.EndpointUpdate{Kind: dispatch.PollFailed})
	}
}

// Reload takes over what a new configuration may change while it runs: where discovery is. The
// watch there is opened while the old one still stands.
func (f *Server) Reload(cfg Config) {
	f.loop.Post(func() {
		if cfg.Discovery == f.discovery || f.stopping {
			return
		}
		f.log.Info("discovery has moved", zap.Stringer("to", cfg.Discovery))
		f.discovery = cfg.Discovery
		if f.watch != nil { // of two that stand, the one that has told something goes on
			if f.old == nil || f.watch.told {
				f.old, f.watch = f.watch, f.old
			}
			if f.watch != nil {
				f.watch.cancel()
				f.watch = nil
			}
		}
		f.ask()
	})
}

// ---- The end.

// Times of a planned end. The platform kills a dispatcher no sooner than the longest deadline,
// counted as killCap where it is longer, and killAfter more after it told it to end; what it finds
// unanswered then is lost, but for what was there in the first goOn or so.
const (
	goOn      = 500 * time.Millisecond // clients still come for up to 0.4 s
	killCap   = 3 * time.Second
	killAfter = 700 * time.Millisecond
	answerBy  = 200 * time.Millisecond // before that, all that is open is answered
	endBy     = 50 * time.Millisecond  // before that, it ends in any case
)

// Stop lets a dispatcher end: it goes on serving while clients still come, then begins nothing
// more, answers what it has taken, closes each connection after its last answer, and ends.
func (f *Server) Stop() {
	f.loop.Post(func() {
		if !f.stopping {
			f.stopping, f.stopAt = true, f.now()
		}
	})
}

// killAt is when the platform may kill a dispatcher that was told to end.
func (f *Server) killAt() time.Duration {
	longest := time.Duration(0)
	for _, c := range f.cfg.Settings.Choice.Classes {
		longest = max(longest, c.Deadline)
	}
	return f.stopAt + min(longest, killCap) + killAfter
}

// ends goes on with a planned end.
func (f *Server) ends(now time.Duration) {
	if now < f.stopAt+goOn || f.over {
		return
	}
	if f.closedAt == 0 {
		f.closedAt = now
		f.loop.StopListening()
	}
	if now < f.closedAt+sweepEvery {
		return // what was accepted at the last moment is read first
	}
	killAt := f.killAt()
	late := now > killAt-answerBy
	if late {
		f.abandonAll()
	}
	for _, cl := range slices.Clone(f.clients) {
		// What was read of a client that reads slowly is taken before.
		if !cl.final && (late || !cl.c.Paused()) {
			cl.finish()
		}
	}
	if len(f.clients) == 0 || now > killAt-endBy {
		f.over = true
		f.log.Info("ended", zap.Int("open", len(f.tasks)), zap.Int("connections", len(f.clients)))
		go f.loop.Stop()
	}
}

// abandonAll answers all that is still open shortly before the end.
func (f *Server) abandonAll() {
	for _, cl := range slices.Clone(f.clients) {
		for _, e := range slices.Clone(cl.queue) {
			if t := e.task; t != nil && !e.done {
				f.finish(t, resp.AppendLine(nil, resp.ErrorReply, "ERR failed: the dispatcher ends"))
				f.tell(forwarder.AbortRequest{ID: t.id})
			}
		}
	}
}

// Addr is where a dispatcher listens.
func (f *Server) Addr() string { return f.cfg.Listen.String() }
