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
	scenario      *Scenario
	cfg           forwarder.Config
	now           time.Duration
	fwd           *forwarder.Forwarder
	wakeAt        time.Duration                 // of the forwarder's timer
	loopQueues    [loopCount][]forwarder.Action // what each event loop has yet to do
	requests      []*request
	conns         map[forwarder.ConnID]*conn
	unusableSince map[dispatch.NodeID]time.Duration // nodes that the gateway was told not to use, since when
	nodes         []node
	counts        moveCounts
	checker       checker
	stale         bool          // a gateway that began with an old list has not heard the true one yet
	firstArrival  time.Duration // when the first request came
	coverage      *Coverage
	log           func(format string, args ...any)
}

// moveCounts counts what has happened of what may happen only so often.
type moveCounts struct {
	drains, removes, lists, leaves, crashes, resets, garbage, fulls, errors, heads, dialFails, closes, flows, renews int
}

type node struct {
	nodeSpec
	state   dispatch.NodeState
	listed  bool
	started time.Duration
}

// request is a client's request.
type request struct {
	requestSpec
	id               dispatch.RequestID
	started          bool
	deadline         time.Duration // an answer must have been given
	onLoop           bool          // the loop knows it
	canceled         bool
	responses        int
	outcome          string // how it ended, in a word
	headersForwarded bool   // its answer has begun
	bodyStreaming    bool
	bodySent         bool // its body has gone out
	sendingBody      bool // its body is being sent
	attempts         int
	conn             *conn // that carries its attempt
	ambiguous        bool
	ambiguousSince   time.Duration
	quiescentAt      time.Duration // no later one of its key before
}

// conn is a connection as the loop has it.
type conn struct {
	id       forwarder.ConnID
	loop     forwarder.LoopID
	node     dispatch.NodeID
	open     bool
	reader   upstreamhttp.Reader
	request  *request // that it carries, until its answer is taken
	atNode   bool     // a request is at the node, unanswered
	partial  bool     // the head of its answer was sent
	unusable bool     // doubt: it must carry nothing more
}

// newWorld returns the world at its beginning.
func newWorld(s *Scenario) *World {
	w := &World{scenario: s, cfg: s.config(), conns: map[forwarder.ConnID]*conn{}, unusableSince: map[dispatch.NodeID]time.Duration{}, now: time.Second}
	for i, a := range s.requests {
		w.requests = append(w.requests, &request{requestSpec: a, id: dispatch.RequestID(i + 1)})
	}
	for _, p := range s.nodes {
		w.nodes = append(w.nodes, node{nodeSpec: p, listed: p.initial})
	}
	w.startGateway(dispatch.Snapshot)
	if s.prepare != nil {
		s.prepare(w)
	}
	return w
}

// startGateway starts a gateway and tells it a list.
func (w *World) startGateway(kind dispatch.EndpointUpdateKind) {
	x, err := forwarder.New(w.cfg)
	if err != nil {
		panic("modelcheck: " + err.Error()) // the scenarios' own settings
	}
	w.fwd, w.wakeAt = x, math.MaxInt64
	w.checker.reset()
	w.handle(w.endpointList(kind), noLoop)
	w.runLoops()
}

// endpointList is the node list of a kind: complete as it is, or as it was at the start.
func (w *World) endpointList(kind dispatch.EndpointUpdateKind) forwarder.EndpointUpdate {
	e := forwarder.EndpointUpdate{Kind: kind}
	for _, n := range w.nodes {
		if kind == dispatch.Cached {
			if n.initial {
				e.Nodes = append(e.Nodes, endpoint(n, dispatch.Ready))
			}
		} else if n.listed && n.state != dispatch.Removed {
			e.Nodes = append(e.Nodes, endpoint(n, n.state))
		}
	}
	w.noteEndpoints(e)
	return e
}

// noteEndpoints notes what the gateway is told of nodes.
func (w *World) noteEndpoints(e forwarder.EndpointUpdate) {
	if e.Kind != dispatch.Delta {
		for _, n := range w.nodes {
			if _, ok := w.unusableSince[n.id]; !ok {
				w.unusableSince[n.id] = w.now
			}
		}
	}
	for _, n := range e.Nodes {
		if n.State == dispatch.Ready {
			delete(w.unusableSince, n.ID)
		} else if _, ok := w.unusableSince[n.ID]; !ok {
			w.unusableSince[n.ID] = w.now
		}
	}
}

func endpoint(n node, s dispatch.NodeState) forwarder.Node {
	return forwarder.Node{Addr: string(n.id), Node: dispatch.Node{ID: n.id, Shard: n.shard, State: s, Started: n.started}}
}

// loopCount is how many event loops the gateway has. Requests of most worlds are on the
// first alone.
const loopCount = 2

// noLoop is where the timer and the node list come from: no loop.
const noLoop forwarder.LoopID = -1

// handle hands the forwarder an event. From a loop, the actions for that loop are
// followed before anything else happens there; all others wait until their loop
// comes to them.
func (w *World) handle(ev forwarder.Event, from forwarder.LoopID) {
	before := w.coverage.before(w, ev)
	for _, a := range w.fwd.Handle(w.now, ev) {
		w.checkDecision(a)
		if t, ok := a.(forwarder.SetTimer); ok {
			w.wakeAt = t.At
			continue
		}
		if lane, ok := a.OnLoop(); ok {
			w.loopQueues[lane] = append(w.loopQueues[lane], a)
		}
	}
	w.coverage.after(w, before)
	if from != noLoop {
		w.runLoop(from)
	}
}

// runLoop does what the forwarder decided for a loop, as the loop does.
func (w *World) runLoop(lane forwarder.LoopID) {
	for len(w.loopQueues[lane]) > 0 {
		a := w.loopQueues[lane][0]
		w.loopQueues[lane] = w.loopQueues[lane][1:]
		w.perform(a)
	}
	w.loopQueues[lane] = nil
}

func (w *World) runLoops() {
	for lane := range forwarder.LoopID(loopCount) {
		w.runLoop(lane)
	}
}

// loopsPending tells whether a loop has something to do.
func (w *World) loopsPending() bool { return len(w.loopQueues[0])+len(w.loopQueues[1]) > 0 }

// perform is the loop's part: the same as gateway/lane.go does with sockets.
func (w *World) perform(a forwarder.Action) {
	if w.log != nil {
		w.log("    %s", strings.TrimPrefix(fmt.Sprintf("%T %+v", a, a), "forwarder."))
	}
	switch a := a.(type) {
	case forwarder.Dial:
		w.checkDial(a)
		w.conns[a.Conn] = &conn{id: a.Conn, loop: a.Loop, node: a.Node, reader: upstreamhttp.Reader{Limits: http1.DefaultLimits}}
	case forwarder.SendRequest:
		if k, c := w.conns[a.Conn], w.requestByID(a.ID); k != nil && c != nil && c.onLoop {
			w.send(k, c, a)
		}
	case forwarder.CloseConn:
		if k := w.conns[a.Conn]; k != nil {
			w.closeConn(k)
		}
	case forwarder.ForwardResponse:
		c, k := w.requestByID(a.ID), w.conns[a.Conn]
		w.checkForwarded(a, c, k)
		if k != nil {
			w.takeResponse(k)
		}
		w.finish(c, a)
	case forwarder.DiscardResponse:
		if k := w.conns[a.Conn]; k != nil {
			w.takeResponse(k)
		}
	case forwarder.Reject:
		w.finish(w.requestByID(a.ID), a)
	case forwarder.Fail:
		w.finish(w.requestByID(a.ID), a)
	case forwarder.AbortResponse:
		w.finish(w.requestByID(a.ID), a)
	}
}

func (w *World) requestByID(id dispatch.RequestID) *request {
	for _, c := range w.requests {
		if c.id == id {
			return c
		}
	}
	return nil
}

// send puts a request on a connection.
func (w *World) send(k *conn, c *request, a forwarder.SendRequest) {
	w.checkSend(k, c, a)
	if !k.reader.RequestSent("GET", maxBuffered) {
		w.violate("connection", "request %d is sent on connection %d, which is %v", c.id, k.id, k.reader.State())
	}
	k.request, k.atNode, k.partial = c, true, false
	c.conn, c.sendingBody = k, c.notReplayable
}

// takeResponse takes an answer from its connection.
func (w *World) takeResponse(k *conn) {
	k.reader.ResponseTaken()
	w.freeConn(k)
}

// freeConn ends what a connection carries.
func (w *World) freeConn(k *conn) {
	if c := k.request; c != nil {
		c.sendingBody = false
		if c.conn == k {
			c.conn = nil
		}
	}
	k.request = nil
}

// closeConn closes a connection from this side. What is at the node may run on.
func (w *World) closeConn(k *conn) {
	w.noteInterrupted(k)
	k.reader.Break()
	w.freeConn(k)
	delete(w.conns, k.id)
}

// loseConn ends a connection from the other side, or for its bytes.
func (w *World) loseConn(k *conn) {
	w.noteInterrupted(k)
	k.reader.Break()
	w.freeConn(k)
	delete(w.conns, k.id)
	w.handle(forwarder.ConnectionLost{Conn: k.id}, k.loop)
}

// The bodies that nodes answer with: a small one is collected, a large one passed on.
const (
	maxBuffered = 8
	largeBody   = 16
)

// bytes of answers, by the names that moves have.
var responseText = map[Kind]string{
	RespondOK:       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	RespondAndClose: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	RespondError:    "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno",
	RespondReject:   "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno",
	RespondStart:    "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nabcdefgh",
	RespondRest:     "ijklmnop",
	RespondInvalid:  "what?\r\n\r\n",
	RespondTwice:    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
}

// receive reads bytes that a node sent, as gateway/call.go does.
func (w *World) receive(k *conn, b []byte) {
	for {
		s := k.reader.Next(b)
		b = b[s.Used:]
		switch s.Kind {
		case upstreamhttp.NeedMore:
			return
		case upstreamhttp.ProtocolError:
			k.unusable = true
			if w.conns[k.id] == k {
				w.loseConn(k)
			}
			return
		case upstreamhttp.Headers:
			if responseInfo(k).Result != dispatch.OK {
				if k.reader.Buffer().Kind == upstreamhttp.ProtocolError {
					w.loseConn(k)
					return
				}
				continue
			}
			k.reader.Stream()
			w.handle(forwarder.ResponseHeaders{Conn: k.id, Info: responseInfo(k)}, k.loop)
			if k.request == nil {
				return
			}
			w.noteHeaders(k)
		case upstreamhttp.BodyData:
			if k.request == nil {
				return
			}
		case upstreamhttp.BufferedResponse, upstreamhttp.ResponseEnd:
			w.handle(forwarder.ResponseCompleted{Conn: k.id, Info: responseInfo(k), Reuse: k.reader.Reusable() && !k.sendingBody()}, k.loop)
			if w.conns[k.id] != k {
				return
			}
			if k.request != nil && len(b) > 0 {
				w.violate("connection", "bytes that came before request %d was sent are read as its answer", k.request.id)
				return
			}
		}
	}
}

// sendingBody tells whether a body is still going out.
func (k *conn) sendingBody() bool {
	return k.request != nil && k.request.sendingBody && !k.request.bodySent
}

func responseInfo(k *conn) forwarder.ResponseInfo {
	switch s := k.reader.Response.Status; {
	case s == 503:
		return forwarder.ResponseInfo{Result: dispatch.Rejected}
	case s >= 500:
		return forwarder.ResponseInfo{Result: dispatch.ServerError}
	}
	return forwarder.ResponseInfo{Result: dispatch.OK}
}

// responseDue tells whether an answer is due by a time: none has begun, and no body flows, which
// takes as long as it likes.
func (c *request) responseDue() bool {
	return c.started && !c.finished() && !c.headersForwarded && !(c.bodyStreaming && !c.bodySent)
}

func (c *request) finished() bool { return c.responses > 0 || c.canceled }
