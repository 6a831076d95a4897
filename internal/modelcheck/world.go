package modelcheck

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/http1"
	"chalkstand/internal/upstreamhttp"
	"fmt"
	"math"
	"strings"
	"time"
)

// World is a gateway's exchange with all around it: clients, one event loop with its
// connections, nodes, discovery and time.
type World struct {
	spec  *Scenario
	cfg   forwarder.Config
	now   time.Duration
	x     *forwarder.Forwarder
	wake  time.Duration             // of the forwarder's timer
	queue [loops][]forwarder.Action // what each event loop has yet to do
	calls []*call
	conns map[forwarder.ConnID]*conn
	told  map[dispatch.NodeID]time.Duration // nodes that the gateway was told not to use, since when
	nodes []listed
	spent Spent
	rules rules
	stale bool          // a gateway that began with an old list has not heard the true one yet
	first time.Duration // when the first request came
	seen  *Coverage
	log   func(format string, args ...any)
}

// Spent counts what has happened of what may happen only so often.
type Spent struct {
	drains, removes, lists, leaves, crashes, resets, garbage, fulls, errors, heads, dialFails, closes, flows, renews int
}

type listed struct {
	place
	state   dispatch.NodeState
	on      bool
	started time.Duration
}

// call is a client's request.
type call struct {
	ask
	id      dispatch.RequestID
	begun   bool
	due     time.Duration // an answer must have been given
	inLane  bool          // the loop knows it
	left    bool
	answers int
	end     string // how it ended, in a word
	headed  bool   // its answer has begun
	flowing bool
	sent    bool // its body has gone out
	source  bool // its body is being sent
	sends   int
	out     *conn // that carries its attempt
	mayRun  bool
	doubt   time.Duration
	rest    time.Duration // no later one of its key before
}

// conn is a connection as the loop has it.
type conn struct {
	id   forwarder.ConnID
	lane forwarder.LoopID
	node dispatch.NodeID
	open bool
	r    upstreamhttp.Reader
	call *call // that it carries, until its answer is taken
	has  bool  // a request is at the node, unanswered
	half bool  // the head of its answer was sent
	dead bool  // doubt: it must carry nothing more
}

// start returns the world at its beginning.
func start(s *Scenario) *World {
	w := &World{spec: s, cfg: s.config(), conns: map[forwarder.ConnID]*conn{}, told: map[dispatch.NodeID]time.Duration{}, now: time.Second}
	for i, a := range s.asks {
		w.calls = append(w.calls, &call{ask: a, id: dispatch.RequestID(i + 1)})
	}
	for _, p := range s.nodes {
		w.nodes = append(w.nodes, listed{place: p, on: p.first})
	}
	w.begin(dispatch.Snapshot)
	if s.prepare != nil {
		s.prepare(w)
	}
	return w
}

// begin starts a gateway and tells it a list.
func (w *World) begin(kind dispatch.EndpointUpdateKind) {
	x, err := forwarder.New(w.cfg)
	if err != nil {
		panic("modelcheck: " + err.Error()) // the scenarios' own settings
	}
	w.x, w.wake = x, math.MaxInt64
	w.rules.reset()
	w.tell(w.list(kind), elsewhere)
	w.followAll()
}

// list is the node list of a kind: complete as it is, or as it was at the start.
func (w *World) list(kind dispatch.EndpointUpdateKind) forwarder.EndpointUpdate {
	e := forwarder.EndpointUpdate{Kind: kind}
	for _, n := range w.nodes {
		if kind == dispatch.Cached {
			if n.first {
				e.Nodes = append(e.Nodes, node(n, dispatch.Ready))
			}
		} else if n.on && n.state != dispatch.Removed {
			e.Nodes = append(e.Nodes, node(n, n.state))
		}
	}
	w.hear(e)
	return e
}

// hear notes what the gateway is told of nodes.
func (w *World) hear(e forwarder.EndpointUpdate) {
	if e.Kind != dispatch.Delta {
		for _, n := range w.nodes {
			if _, ok := w.told[n.id]; !ok {
				w.told[n.id] = w.now
			}
		}
	}
	for _, n := range e.Nodes {
		if n.State == dispatch.Ready {
			delete(w.told, n.ID)
		} else if _, ok := w.told[n.ID]; !ok {
			w.told[n.ID] = w.now
		}
	}
}

func node(n listed, s dispatch.NodeState) forwarder.Node {
	return forwarder.Node{Addr: string(n.id), Node: dispatch.Node{ID: n.id, Shard: n.shard, State: s, Started: n.started}}
}

// loops is how many event loops the gateway has. Requests of most worlds are on the
// first alone.
const loops = 2

// elsewhere is where the timer and the node list come from: no loop.
const elsewhere forwarder.LoopID = -1

// tell hands the forwarder an event. From a loop, the actions for that loop are
// followed before anything else happens there; all others wait until their loop
// comes to them.
func (w *World) tell(ev forwarder.Event, from forwarder.LoopID) {
	before := w.seen.before(w, ev)
	for _, a := range w.x.Handle(w.now, ev) {
		w.decided(a)
		if t, ok := a.(forwarder.SetTimer); ok {
			w.wake = t.At
			continue
		}
		if lane, ok := a.OnLoop(); ok {
			w.queue[lane] = append(w.queue[lane], a)
		}
	}
	w.seen.after(w, before)
	if from != elsewhere {
		w.follow(from)
	}
}

// follow does what the forwarder decided for a loop, as the loop does.
func (w *World) follow(lane forwarder.LoopID) {
	for len(w.queue[lane]) > 0 {
		a := w.queue[lane][0]
		w.queue[lane] = w.queue[lane][1:]
		w.do(a)
	}
	w.queue[lane] = nil
}

func (w *World) followAll() {
	for lane := range forwarder.LoopID(loops) {
		w.follow(lane)
	}
}

// waiting tells whether a loop has something to do.
func (w *World) waiting() bool { return len(w.queue[0])+len(w.queue[1]) > 0 }

// do is the loop's part: the same as gateway/lane.go does with sockets.
func (w *World) do(a forwarder.Action) {
	if w.log != nil {
		w.log("    %s", strings.TrimPrefix(fmt.Sprintf("%T %+v", a, a), "forwarder."))
	}
	switch a := a.(type) {
	case forwarder.Dial:
		w.dialing(a)
		w.conns[a.Conn] = &conn{id: a.Conn, lane: a.Loop, node: a.Node, r: upstreamhttp.Reader{Limits: http1.DefaultLimits}}
	case forwarder.SendRequest:
		if k, c := w.conns[a.Conn], w.byID(a.ID); k != nil && c != nil && c.inLane {
			w.send(k, c, a)
		}
	case forwarder.CloseConn:
		if k := w.conns[a.Conn]; k != nil {
			w.shut(k)
		}
	case forwarder.ForwardResponse:
		c, k := w.byID(a.ID), w.conns[a.Conn]
		w.delivered(a, c, k)
		if k != nil {
			w.handOver(k)
		}
		w.answer(c, a)
	case forwarder.DiscardResponse:
		if k := w.conns[a.Conn]; k != nil {
			w.handOver(k)
		}
	case forwarder.Reject:
		w.answer(w.byID(a.ID), a)
	case forwarder.Fail:
		w.answer(w.byID(a.ID), a)
	case forwarder.AbortResponse:
		w.answer(w.byID(a.ID), a)
	}
}

func (w *World) byID(id dispatch.RequestID) *call {
	for _, c := range w.calls {
		if c.id == id {
			return c
		}
	}
	return nil
}

// send puts a request on a connection.
func (w *World) send(k *conn, c *call, a forwarder.SendRequest) {
	w.sending(k, c, a)
	if !k.r.RequestSent("GET", small) {
		w.broke("connection", "request %d is sent on connection %d, which is %v", c.id, k.id, k.r.State())
	}
	k.call, k.has, k.half = c, true, false
	c.out, c.source = k, c.once
}

// handOver takes an answer from its connection.
func (w *World) handOver(k *conn) {
	k.r.ResponseTaken()
	w.free(k)
}

// free ends what a connection carries.
func (w *World) free(k *conn) {
	if c := k.call; c != nil {
		c.source = false
		if c.out == k {
			c.out = nil
		}
	}
	k.call = nil
}

// shut closes a connection from this side. What is at the node may run on.
func (w *World) shut(k *conn) {
	w.doubted(k)
	k.r.Break()
	w.free(k)
	delete(w.conns, k.id)
}

// lost ends a connection from the other side, or for its bytes.
func (w *World) lost(k *conn) {
	w.doubted(k)
	k.r.Break()
	w.free(k)
	delete(w.conns, k.id)
	w.tell(forwarder.ConnectionLost{Conn: k.id}, k.lane)
}

// The bodies that nodes answer with: a small one is collected, a large one passed on.
const (
	small     = 8
	largeBody = 16
)

// bytes of answers, by the names that moves have.
var answerText = map[Kind]string{
	Served:  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	Closing: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	Errored: "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno",
	Full:    "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno",
	Headed:  "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nabcdefgh",
	Rest:    "ijklmnop",
	Garbage: "what?\r\n\r\n",
	Twice:   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
}

// receive reads bytes that a node sent, as gateway/call.go does.
func (w *World) receive(k *conn, b []byte) {
	for {
		s := k.r.Next(b)
		b = b[s.Used:]
		switch s.Kind {
		case upstreamhttp.NeedMore:
			return
		case upstreamhttp.ProtocolError:
			k.dead = true
			if w.conns[k.id] == k {
				w.lost(k)
			}
			return
		case upstreamhttp.Headers:
			if word(k).Result != dispatch.OK {
				if k.r.Buffer().Kind == upstreamhttp.ProtocolError {
					w.lost(k)
					return
				}
				continue
			}
			k.r.Stream()
			w.tell(forwarder.ResponseHeaders{Conn: k.id, Info: word(k)}, k.lane)
			if k.call == nil {
				return
			}
			w.headed(k)
		case upstreamhttp.BodyData:
			if k.call == nil {
				return
			}
		case upstreamhttp.BufferedResponse, upstreamhttp.ResponseEnd:
			w.tell(forwarder.ResponseCompleted{Conn: k.id, Info: word(k), Reuse: k.r.Reusable() && !k.sending()}, k.lane)
			if w.conns[k.id] != k {
				return
			}
			if k.call != nil && len(b) > 0 {
				w.broke("connection", "bytes that came before request %d was sent are read as its answer", k.call.id)
				return
			}
		}
	}
}

// sending tells whether a body is still going out.
func (k *conn) sending() bool { return k.call != nil && k.call.source && !k.call.sent }

func word(k *conn) forwarder.ResponseInfo {
	switch s := k.r.Response.Status; {
	case s == 503:
		return forwarder.ResponseInfo{Result: dispatch.Rejected}
	case s >= 500:
		return forwarder.ResponseInfo{Result: dispatch.ServerError}
	}
	return forwarder.ResponseInfo{Result: dispatch.OK}
}

// owed tells whether an answer is due by a time: none has begun, and no body flows, which
// takes as long as it likes.
func (c *call) owed() bool {
	return c.begun && !c.over() && !c.headed && !(c.flowing && !c.sent)
}

func (c *call) over() bool { return c.answers > 0 || c.left }
