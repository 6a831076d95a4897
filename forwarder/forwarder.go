package forwarder

import (
	"chalkstand/attribution"
	"chalkstand/dispatch"
	"chalkstand/internal/timerqueue"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Forwarder is the state machine of one gateway's requests. It is not safe for
// concurrent use.
type Forwarder struct {
	// Trace, when set, is shown each input of the dispatcher with what it answered.
	Trace func(now time.Duration, ev dispatch.Event, acts []dispatch.Action)

	cfg           Config
	d             *dispatch.Dispatcher
	now           time.Duration
	calls         map[dispatch.RequestID]*call
	conns         map[ConnID]*conn
	nodes         map[dispatch.NodeID]*node
	order         []*node // by id
	lastID        ConnID
	timers        timerqueue.Queue[timer]
	seq           uint64
	wakeAt        time.Duration // what SetTimer asked for
	dispatchTimer struct {      // the dispatcher's own timer
		at    time.Duration
		token string
		set   bool
	}
	inbox []dispatch.Event // for the dispatcher, in order
	acts  []Action
}

// stage is where a call stands.
type stage int

const (
	asked    stage = iota // with the dispatcher: held, or between attempts
	opening               // an attempt waits for its connection
	out                   // an attempt was sent
	passing               // the head of its answer was passed on
	released              // out, while the dispatcher has let go of it (a slow client)
	done
)

type call struct {
	req      dispatch.Request
	class    *dispatch.Class
	lane     LoopID
	stage    stage
	conn     *conn
	attempt  int           // of the present or last one
	deadline time.Duration // of the client, less the margin
	sentAt   time.Duration
	bodySent bool
	late     bool // the last attempt ended by time
	timer    *timerqueue.Timer[timer]
	units    float64       // that the dispatcher charges for it
	settled  bool          // the dispatcher has given the final word
	doubt    bool          // an attempt may have run
	doubtAt  time.Duration // when the first such was decided
	once     bool          // its body cannot be sent twice
	streams  *node         // among whose streams it counts
	headAt   time.Duration // when its answer's head was passed on, while the dispatcher waits for its end
	headWord ResponseInfo

	span     attribution.Span
	begun    time.Duration // of the present attempt
	behind   []attribution.Contribution
	occupies *node                       // among whose requests out it counts
	ahead    []attribution.InFlightUnits // who was out there when it was sent
	told     bool                        // its node told how its time there divides
	entry    attribution.Entry           // its account, once it has ended
	untold   [1]attribution.Unreported
}

type connState int

const (
	dialing connState = iota
	idle
	busy
)

type conn struct {
	id    ConnID
	node  *node
	lane  LoopID
	state connState
	call  *call // that it carries or opens for
	born  time.Duration
	since time.Duration // idle since
	watch bool          // a timer looks after it
}

type node struct {
	Node
	conns   int
	streams int
	out     *attribution.Occupancy
	idle    []*conn // the last used at the end
}

// New checks the settings and returns a forwarder that knows no node yet.
func New(cfg Config) (*Forwarder, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	d, err := dispatch.New(cfg.Dispatch, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	return &Forwarder{
		cfg: cfg, d: d, calls: map[dispatch.RequestID]*call{}, conns: map[ConnID]*conn{},
		nodes: map[dispatch.NodeID]*node{}, wakeAt: math.MaxInt64,
	}, nil
}

// Calls returns how many requests are held or out.
func (x *Forwarder) Calls() int { return len(x.calls) }

// Conns returns how many connections to nodes there are.
func (x *Forwarder) Conns() int { return len(x.conns) }

// Handle takes one event and returns what is to be done, in order. The slice is
// the caller's until the next call.
func (x *Forwarder) Handle(now time.Duration, ev Event) []Action {
	x.acts = x.acts[:0]
	x.now = max(now, x.now)
	switch e := ev.(type) {
	case StartRequest:
		x.onBegin(e)
	case ClientCanceled:
		if c := x.calls[e.ID]; c != nil && c.stage == passing {
			x.measure(c, e.Units)
		}
		x.onGone(e.ID)
	case AbortRequest:
		x.onGone(e.ID)
	case BodyStreaming:
		x.onFlowing(e.ID)
	case BodySent:
		x.onBodySent(e.ID)
	case EndpointUpdate:
		x.onNodes(e)
	case DialCompleted:
		x.onDialed(e)
	case ResponseHeaders:
		x.onHeaded(e)
	case ResponseCompleted:
		x.onAnswered(e)
	case ConnectionLost:
		x.onLost(e)
	case TimerFired:
		x.wakeAt = math.MaxInt64
	}
	x.settle()
	x.expire()
	x.arm()
	return x.acts
}

func (x *Forwarder) act(a Action) { x.acts = append(x.acts, a) }

// settle lets the dispatcher hear all that happened, and does what it says, which
// may make more happen.
func (x *Forwarder) settle() {
	for len(x.inbox) > 0 {
		ev := x.inbox[0]
		x.inbox = x.inbox[1:]
		acts := x.d.Handle(x.now, ev)
		if x.Trace != nil {
			x.Trace(x.now, ev, acts)
		}
		for _, a := range acts {
			x.follow(a)
		}
	}
	x.inbox = nil
}

func (x *Forwarder) tell(ev dispatch.Event) { x.inbox = append(x.inbox, ev) }

// follow does what the dispatcher said.
func (x *Forwarder) follow(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.SendAttempt:
		x.attempt(a)
	case dispatch.Reject:
		if c := x.calls[a.ID]; c != nil {
			x.wasHeld(c, a.QueueTime)
			x.answer(c, Reject{ID: a.ID, Loop: c.lane, RetryAfter: a.RetryAfter})
		}
	case dispatch.Fail:
		if c := x.calls[a.ID]; c != nil {
			x.wasHeld(c, a.QueueTime)
			x.answer(c, Fail{ID: a.ID, Loop: c.lane, TimedOut: c.late})
		}
	case dispatch.CancelAttempt:
		// A body that can't be sent twice would be lost with its attempt, and waits on.
		if c := x.calls[a.ID]; c != nil && c.attempt == a.Attempt && !c.once {
			x.giveUp(c, dispatch.Canceled)
		}
	case dispatch.SetTimer:
		x.dispatchTimer.at, x.dispatchTimer.token, x.dispatchTimer.set = a.At, a.Token, true
	case dispatch.Watch:
		if a.On {
			x.act(PollDiscovery{})
		}
	}
}

// answer gives a call its final answer and forgets it. It is the only place from
// which an answer of the gateway's own leaves.
func (x *Forwarder) answer(c *call, a Action) {
	if c.stage == done {
		return
	}
	x.detach(c)
	x.conclude(c, a)
}

// conclude forgets a call with its final answer; nil: its client has left.
func (x *Forwarder) conclude(c *call, a Action) {
	c.stage = done
	x.stop(c)
	x.leaves(c)
	x.account(c, outcome(a))
	if a != nil {
		x.act(a)
	}
	if c.streams != nil {
		c.streams.streams--
		c.streams = nil
	}
	delete(x.calls, c.req.ID)
}

// detach takes the connection from a call. One that may still bring an answer is
// closed: its late answer must not meet another request.
func (x *Forwarder) detach(c *call) {
	k := c.conn
	if k == nil {
		return
	}
	c.conn, k.call = nil, nil
	if k.state == busy {
		x.close(k)
	}
}

func (x *Forwarder) close(k *conn) {
	if x.conns[k.id] != k {
		return
	}
	x.act(CloseConn{Conn: k.id, Loop: k.lane})
	x.unlist(k)
}

// unlist forgets a connection.
func (x *Forwarder) unlist(k *conn) {
	if x.conns[k.id] != k {
		return
	}
	delete(x.conns, k.id)
	k.node.conns--
	if i := slices.Index(k.node.idle, k); i >= 0 {
		k.node.idle = slices.Delete(k.node.idle, i, i+1)
	}
}

// ---- Calls.

func (x *Forwarder) onBegin(e StartRequest) {
	if x.calls[e.Request.ID] != nil {
		return // told twice
	}
	if len(x.calls) >= x.cfg.MaxRequests || e.Request.Class < 0 || e.Request.Class >= len(x.cfg.Dispatch.Classes) {
		if x.cfg.Attribution {
			x.act(RequestAttributed{
				ID: e.Request.ID, Loop: e.Loop,
				Entry: &attribution.Entry{Volume: string(e.Request.Volume), Started: x.now, Ended: x.now, Outcome: attribution.Rejected},
			})
		}
		x.act(Reject{ID: e.Request.ID, Loop: e.Loop, RetryAfter: x.cfg.Dispatch.MaxRetryAfter})
		return
	}
	class := &x.cfg.Dispatch.Classes[e.Request.Class]
	c := &call{
		req: e.Request, class: class, lane: e.Loop, attempt: -1, once: e.NotReplayable, units: e.Request.Units,
		deadline: x.now + e.Request.Timeout - x.cfg.ResponseMargin,
	}
	c.span = attribution.StartSpan(x.now, attribution.QueuedUnknown)
	x.calls[c.req.ID] = c
	x.tell(e.Request)
}

// attempt starts an attempt that the dispatcher decided. The guard of drains: the dispatcher sends
// nothing to a node that it was told drains, and what it decided just before is
// stopped again where the connection is ready (ready, below).
func (x *Forwarder) attempt(a dispatch.SendAttempt) {
	c := x.calls[a.ID]
	if c == nil { // cannot happen: who is gone was told; the dispatcher must not wait for its end
		x.tell(dispatch.AttemptCompleted{ID: a.ID, Node: a.Node, Result: dispatch.NotSent})
		return
	}
	if c.stage != asked {
		return // cannot happen: never two attempts out for one request
	}
	x.wasHeld(c, a.QueueTime)
	c.attempt++
	c.begun, c.told = x.now, false
	c.span.Enter(x.now, attribution.Dialing)
	c.stage, c.bodySent, c.late = opening, false, false
	c.sentAt = x.now
	until := c.deadline
	if a.Deadline > 0 {
		until = min(until, a.Deadline)
	}
	x.callTimer(c, until)
	n := x.nodes[a.Node]
	if n == nil || n.State != dispatch.Ready {
		x.end(c, dispatch.NotSent, ResponseInfo{})
		return
	}
	x.connect(c, n)
}

// connect finds or opens a connection for a call's attempt.
func (x *Forwarder) connect(c *call, n *node) {
	if k := x.take(n, c.lane); k != nil {
		x.carry(k, c)
		return
	}
	k := x.open(n, c.lane)
	if k == nil { // our own shortage: not sent, and no fault of the node
		x.end(c, dispatch.NotSent, ResponseInfo{})
		return
	}
	c.conn, k.call = k, c
}

// end tells the dispatcher how an attempt ended without an answer for the client. A body
// that cannot be sent twice bars a further attempt, of which the dispatcher knows nothing:
// the answer is given here, a refusal only where the node took nothing in.
func (x *Forwarder) end(c *call, s dispatch.AttemptResult, w ResponseInfo) {
	c.late = s == dispatch.TimedOut
	if c.once && c.stage == out {
		x.give(c, s, w, true)
		if s == dispatch.Rejected {
			x.answer(c, Reject{ID: c.req.ID, Loop: c.lane, RetryAfter: x.cfg.Dispatch.MaxRetryAfter})
		} else {
			x.answer(c, Fail{ID: c.req.ID, Loop: c.lane, TimedOut: c.late})
		}
		return
	}
	c.stage = asked
	x.lost(c)
	x.give(c, s, w, false)
}

// give tells the dispatcher of an attempt's end, once.
func (x *Forwarder) give(c *call, s dispatch.AttemptResult, w ResponseInfo, concluded bool) {
	if c.settled {
		return
	}
	c.settled = concluded
	if proven := s == dispatch.Rejected || s == dispatch.ConnectFailed || s == dispatch.NotSent; !proven && !c.doubt {
		c.doubt, c.doubtAt = true, c.sentAt
	}
	id := dispatch.NodeID("")
	if c.conn != nil {
		id = c.conn.node.ID
	}
	x.tell(dispatch.AttemptCompleted{
		ID: c.req.ID, Attempt: c.attempt, Node: id, Result: s, Responded: concluded,
		Latency: x.now - c.sentAt, QuotaUsage: w.QuotaUsage, PeerUnits: w.PeerUnits, LoadReport: w.LoadReport,
	})
}

// onGone ends a call that nobody waits for. An attempt that is out ends with it;
// its connection is closed, so that it carries nothing else.
func (x *Forwarder) onGone(id dispatch.RequestID) {
	c := x.calls[id]
	if c == nil {
		return
	}
	switch c.stage {
	case asked:
		x.tell(dispatch.ClientCanceled{ID: id})
	case opening: // never sent
		x.tell(dispatch.ClientCanceled{ID: id})
		x.give(c, dispatch.NotSent, ResponseInfo{}, true)
	case out:
		x.tell(dispatch.ClientCanceled{ID: id})
		x.give(c, dispatch.Canceled, ResponseInfo{}, true)
	case passing:
		x.served(c)
	}
	x.detach(c)
	x.conclude(c, nil)
}

// onFlowing lets the dispatcher go on without a call whose body flows through: how long
// that takes is the client's and the link's doing, and must not count as the
// node's delay, by which others are refused. A key in turn stays taken. It may do
// harm where a slow client hides a slow node; that node then shows in its other
// answers. Beyond the bound on streams a call keeps its place in the dispatcher's depth,
// so that a node full of streams counts as busy.
func (x *Forwarder) onFlowing(id dispatch.RequestID) {
	c := x.calls[id]
	if c == nil || c.stage != out || c.bodySent || c.class.Ordered && c.req.Key != "" || !x.stream(c) {
		return
	}
	x.give(c, dispatch.Canceled, ResponseInfo{}, true)
	x.leaves(c) // its place in the depth is free
	c.stage = released
	x.stop(c)
}

// stream takes a place for a call among its node's streams.
func (x *Forwarder) stream(c *call) bool {
	n := c.conn.node
	if c.streams == nil && n.streams < x.cfg.MaxStreamsPerNode {
		n.streams++
		c.streams = n
	}
	return c.streams != nil
}

// onBodySent starts the node's own time for a call that the dispatcher has let go.
func (x *Forwarder) onBodySent(id dispatch.RequestID) {
	if c := x.calls[id]; c != nil {
		c.bodySent = true
		if c.stage == released {
			x.callTimer(c, x.now+c.class.Deadline)
		}
	}
}

// ---- Connections to nodes.

// take finds a connection that is ready on the lane, the last used first: the
// others grow old and are closed. One whose answer has just come rests: what a broken
// node sends after its answer, a second copy or noise, must not be taken for the answer
// of the next request. It costs a connection more where requests follow closely.
func (x *Forwarder) take(n *node, lane LoopID) *conn {
	for i := len(n.idle) - 1; i >= 0; i-- {
		k := n.idle[i]
		if k.lane != lane || x.now-k.since < x.cfg.ReuseDelay {
			continue
		}
		if x.now-k.born >= x.cfg.MaxConnAge || x.now-k.since >= x.cfg.IdleTimeout {
			x.close(k)
			continue
		}
		n.idle = slices.Delete(n.idle, i, i+1)
		return k
	}
	return nil
}

// open starts a connection, in the place of an unused one of another lane where
// the bound is reached. nil: all are in use.
func (x *Forwarder) open(n *node, lane LoopID) *conn {
	if n.conns >= x.cfg.MaxConnsPerNode {
		if len(n.idle) == 0 {
			return nil
		}
		x.close(n.idle[0])
	}
	if x.cfg.MaxConns > 0 && len(x.conns) >= x.cfg.MaxConns && !x.closeIdle() {
		return nil
	}
	x.lastID++
	k := &conn{id: x.lastID, node: n, lane: lane, born: x.now}
	x.conns[k.id] = k
	n.conns++
	x.act(Dial{Conn: k.id, Loop: lane, Node: n.ID, Addr: n.Addr, Timeout: x.cfg.DialTimeout})
	return k
}

// closeIdle closes the connection that has been idle for the longest, of whatever node.
func (x *Forwarder) closeIdle() bool {
	var oldest *conn
	for _, n := range x.order {
		if len(n.idle) > 0 && (oldest == nil || n.idle[0].since < oldest.since) {
			oldest = n.idle[0]
		}
	}
	if oldest != nil {
		x.close(oldest)
	}
	return oldest != nil
}

// carry sends a call on a connection. It is the only place from which a request
// leaves for a node.
func (x *Forwarder) carry(k *conn, c *call) {
	k.state, k.call, c.conn, c.stage = busy, c, k, out
	x.sent(c, k.node)
	x.act(SendRequest{Conn: k.id, Loop: k.lane, ID: c.req.ID, Node: k.node.ID, Attempt: c.attempt, Deadline: c.timer.At()})
}

func (x *Forwarder) onDialed(e DialCompleted) {
	k := x.conns[e.Conn]
	if k == nil || k.state != dialing {
		if e.OK {
			x.act(CloseConn{Conn: e.Conn}) // given up meanwhile
		}
		return
	}
	c := k.call
	if !e.OK {
		k.call = nil
		x.unlist(k)
		if c != nil {
			x.end(c, dispatch.ConnectFailed, ResponseInfo{})
			c.conn = nil
		}
		return
	}
	switch n := k.node; {
	case c == nil:
		x.rest(k)
	case n.State != dispatch.Ready:
		// The guard of drains, for what was decided before the drain was told: it has
		// not been sent, and the dispatcher places it anew.
		k.call, c.conn = nil, nil
		x.close(k)
		x.end(c, dispatch.NotSent, ResponseInfo{})
	case x.tooLate(c):
		k.call, c.conn = nil, nil
		x.rest(k)
		x.end(c, dispatch.NotSent, ResponseInfo{})
	default:
		x.carry(k, c)
	}
}

// tooLate guards the effects of a further attempt whose connection took so long that
// nodes may no longer drop it as a repeat. It has not been sent, and the dispatcher answers.
func (x *Forwarder) tooLate(c *call) bool {
	return c.doubt && c.class.Idempotency == dispatch.Deduplicated && x.now-c.doubtAt >= c.class.DedupWindow
}

// rest puts a connection back for another request, where it may carry one.
func (x *Forwarder) rest(k *conn) {
	if k.node.State != dispatch.Ready || x.now-k.born >= x.cfg.MaxConnAge || x.conns[k.id] == nil {
		x.close(k)
		return
	}
	k.state, k.call, k.since = idle, nil, x.now
	k.node.idle = append(k.node.idle, k)
	if !k.watch {
		k.watch = true
		x.timers.Add(x.now+x.cfg.IdleTimeout, timer{conn: k})
	}
}

// onHeaded notes that the client's answer has begun: it is the final one, whatever
// becomes of the rest.
func (x *Forwarder) onHeaded(e ResponseHeaders) {
	k := x.conns[e.Conn]
	if k == nil || k.call == nil || k.call.stage != out && k.call.stage != released {
		return
	}
	c := k.call
	c.stage, c.headAt, c.headWord = passing, x.now, e.Info
	x.measure(c, e.Info.Units)
	c.span.Enter(x.now, attribution.ResponseBody)
	x.timed(c, e.Info)
	x.stop(c)
	if x.stream(c) {
		x.served(c)
	}
}

// measure tells the dispatcher of units that are not those that the request came with.
func (x *Forwarder) measure(c *call, units float64) {
	if !(units > 0) || units == c.units || c.conn == nil {
		return
	}
	x.tell(dispatch.CostCorrection{Volume: c.req.Volume, Node: c.conn.node.ID, Units: units - c.units})
	c.units = units
}

// served tells the dispatcher of an answer that streams: it took until its head. What
// comes after is paced by the client.
func (x *Forwarder) served(c *call) {
	x.leaves(c)
	if !c.settled {
		c.settled = true
		x.tell(dispatch.AttemptCompleted{
			ID: c.req.ID, Attempt: c.attempt, Result: dispatch.OK, Responded: true, Latency: c.headAt - c.sentAt,
			QuotaUsage: c.headWord.QuotaUsage, PeerUnits: c.headWord.PeerUnits, LoadReport: c.headWord.LoadReport,
		})
	}
}

func (x *Forwarder) onAnswered(e ResponseCompleted) {
	k := x.conns[e.Conn]
	if k == nil || k.state != busy {
		return
	}
	c := k.call
	if c == nil { // cannot happen: a connection without its call is closed
		x.close(k)
		return
	}
	switch {
	case c.stage == passing:
		x.served(c)
		x.conclude(c, ForwardResponse{ID: c.req.ID, Loop: c.lane, Conn: k.id})
	case c.stage == released && e.Info.Result != dispatch.OK:
		x.act(DiscardResponse{ID: c.req.ID, Loop: c.lane, Conn: k.id})
		x.conclude(c, Fail{ID: c.req.ID, Loop: c.lane})
	case e.Info.Result == dispatch.OK:
		x.measure(c, e.Info.Units)
		c.span.Enter(x.now, attribution.Gateway)
		x.timed(c, e.Info)
		x.give(c, dispatch.OK, e.Info, true)
		x.conclude(c, ForwardResponse{ID: c.req.ID, Loop: c.lane, Conn: k.id})
	default:
		x.act(DiscardResponse{ID: c.req.ID, Loop: c.lane, Conn: k.id})
		x.end(c, e.Info.Result, e.Info)
	}
	c.conn, k.call = nil, nil
	if x.conns[k.id] != k {
		return // closed with a call that cannot be sent again
	}
	if e.Reuse {
		x.rest(k)
	} else {
		x.close(k)
	}
}

func (x *Forwarder) onLost(e ConnectionLost) {
	k := x.conns[e.Conn]
	if k == nil {
		return
	}
	x.unlist(k)
	c := k.call
	if c == nil {
		return
	}
	k.call, c.conn = nil, nil
	switch c.stage {
	case opening:
		x.end(c, dispatch.ConnectFailed, ResponseInfo{})
	case out:
		n := k.node
		switch {
		case e.Stale && n.State == dispatch.Ready && x.now < c.timer.At() && !x.tooLate(c):
			// An idle connection that the node had closed, or that holds what is no answer: the
			// attempt has not begun, and goes on with another. Each takes one idle connection
			// out, so this ends.
			x.leaves(c)
			c.stage = opening
			x.connect(c, n)
		case e.Stale:
			x.end(c, dispatch.NotSent, ResponseInfo{})
		case e.Unsent:
			x.end(c, dispatch.ConnectFailed, ResponseInfo{})
		default:
			x.end(c, dispatch.ConnectionReset, ResponseInfo{})
		}
	case passing:
		x.served(c)
		x.conclude(c, AbortResponse{ID: c.req.ID, Loop: c.lane})
	case released:
		x.conclude(c, Fail{ID: c.req.ID, Loop: c.lane})
	}
}

// ---- The node list.

func (x *Forwarder) onNodes(e EndpointUpdate) {
	list := dispatch.EndpointUpdate{Kind: e.Kind}
	if e.Kind == dispatch.Snapshot || e.Kind == dispatch.Cached {
		for _, n := range x.order {
			n.State = dispatch.Removed
		}
	}
	for _, l := range e.Nodes {
		n := x.nodes[l.ID]
		if n == nil {
			n = &node{}
			x.nodes[l.ID] = n
			x.order = append(x.order, n)
		}
		if l.Addr == "" {
			l.Addr = n.Addr
		}
		if n.Addr != l.Addr || n.Started != l.Started { // another process: its connections are not this one's
			x.clear(n)
		}
		n.Node = l
		list.Nodes = append(list.Nodes, l.Node)
	}
	slices.SortFunc(x.order, func(a, b *node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	x.order = slices.DeleteFunc(x.order, func(n *node) bool {
		if n.State != dispatch.Ready {
			x.clear(n)
		}
		gone := n.State == dispatch.Removed && n.conns == 0
		if gone {
			delete(x.nodes, n.ID)
		}
		return gone
	})
	x.tell(list)
}

// clear closes a node's unused connections.
func (x *Forwarder) clear(n *node) {
	for len(n.idle) > 0 {
		x.close(n.idle[len(n.idle)-1])
	}
}

// ---- Time.

// timer is what falls due: the present attempt of a call, or a look at an idle connection.
type timer struct {
	call *call
	conn *conn
}

// callTimer sets when the present attempt is given up.
func (x *Forwarder) callTimer(c *call, when time.Duration) {
	x.stop(c)
	c.timer = x.timers.Add(when, timer{call: c})
}

// stop takes a call's timer away.
func (x *Forwarder) stop(c *call) {
	x.timers.Remove(c.timer)
	c.timer = nil
}

// expire handles what is due.
func (x *Forwarder) expire() {
	for {
		if x.dispatchTimer.set && x.dispatchTimer.at <= x.now {
			x.dispatchTimer.set = false
			x.tell(dispatch.TimerFired{Token: x.dispatchTimer.token})
			x.settle()
			continue
		}
		t, due := x.timers.PopDue(x.now)
		switch {
		case !due:
			return
		case t.call != nil:
			t.call.timer = nil
			x.expireCall(t.call)
		default:
			x.expireConn(t.conn)
		}
		x.settle()
	}
}

// expireConn closes a connection that has not been used for long, or looks again
// when it may have been.
func (x *Forwarder) expireConn(k *conn) {
	k.watch = false
	switch {
	case x.conns[k.id] != k || k.state != idle:
	case x.now-k.since >= x.cfg.IdleTimeout:
		x.close(k)
	default:
		k.watch = true
		x.timers.Add(k.since+x.cfg.IdleTimeout, timer{conn: k})
	}
}

func (x *Forwarder) expireCall(c *call) {
	switch c.stage {
	case opening: // never sent: the connection may come yet, for another
		k := c.conn
		x.end(c, dispatch.ConnectFailed, ResponseInfo{})
		c.conn, k.call = nil, nil
	case out:
		x.giveUp(c, dispatch.TimedOut)
	case released:
		x.answer(c, Fail{ID: c.req.ID, Loop: c.lane, TimedOut: true})
	}
}

// giveUp ends an attempt that is out. Its connection may still bring an answer, and is
// closed with it.
func (x *Forwarder) giveUp(c *call, s dispatch.AttemptResult) {
	if c.stage != out {
		return
	}
	k := c.conn
	x.stop(c)
	x.end(c, s, ResponseInfo{})
	if c.conn == k {
		x.detach(c)
	}
}

// arm asks for the next Fired, where it is earlier than what was asked for.
func (x *Forwarder) arm() {
	next := time.Duration(math.MaxInt64)
	if at, pending := x.timers.Next(); pending {
		next = at
	}
	if x.dispatchTimer.set {
		next = min(next, x.dispatchTimer.at)
	}
	if next < x.wakeAt {
		x.wakeAt = next
		x.act(SetTimer{At: next})
	}
}
