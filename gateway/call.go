package gateway

import (
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/http1"
	"chalkstand/internal/upstreamhttp"
	"strconv"
	"time"
)

// call is one request to a node, from the forwarder's Begin to its final answer.
type call struct {
	t       *transaction // that needs it
	id      dispatch.RequestID
	lane    *lane
	over    bool
	method  string
	head    []byte  // request line and headers, without the line that names the attempt
	body    []byte  // held whole, for a further attempt
	source  source  // of a body that streams through instead
	collect int     // an answer's body up to this is held whole
	sink    sink    // takes a larger one; nil: it counts as broken
	rate    float64 // of its volume's plan, units a second
	reads   bool    // an object, whose size makes its price
	guess   bool    // its size was not known when it was priced
	passed  int64   // bytes of its answer that its sink has taken
	done    func(result)
}

// source is where a streamed request body comes from.
type source interface {
	// start begins to send on k, whose head is written.
	start(k *nodeConn)
	// drained tells that all that was sent has left.
	drained()
}

// sink is where a streamed answer goes.
type sink interface {
	// begin takes the head; from here the answer cannot be another.
	begin(k *nodeConn, r *http1.Response)
	// data takes bytes of the body and tells whether more may come at once. If not,
	// the sink calls k.resume later.
	data(b []byte) bool
}

type resultKind int

const (
	answered resultKind = iota // the node's whole answer, held
	streamed                   // the whole answer has gone to the sink
	refused
	failed
	cut // the answer that went to the sink ended early
)

// result is the final answer of a call. resp and body are valid only during the
// call of done.
type result struct {
	kind  resultKind
	resp  *http1.Response
	body  []byte
	after time.Duration
	late  bool
}

// nodeConn is a connection to a node, and the reader of its answers.
type nodeConn struct {
	id    forwarder.ConnID
	lane  *lane
	c     *eventloop.Conn
	call  *call
	r     upstreamhttp.Reader
	res   result
	src   source    // still sending
	moved time.Time // when bytes of a streamed answer last came

	gate   *gate                       // of its node
	lease  *fairshare.Grant[*nodeConn] // to draw on it
	drawn  int                         // bytes, under the lease
	asking bool                        // for one
}

// send writes a request. The call's source, if any, goes on from here.
func (k *nodeConn) send(c *call, a forwarder.SendRequest) {
	k.call, k.res = c, result{}
	k.c.AssignFlow(k.lane.payer(c.t).flow)
	if !k.r.RequestSent(c.method, c.collect) { // cannot happen: it carries nothing else
		k.lose()
		return
	}
	b := append(k.lane.scratch[:0], c.head...)
	b = append(b, "x-chalkstand-request: "...)
	b = append(b, k.lane.g.cfg.Name...)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(a.ID), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(a.Attempt), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, c.body...)
	k.lane.scratch = b[:0]
	k.lane.g.metrics.attempts.Inc()
	k.c.Write(b)
	if c.source != nil {
		k.src = c.source
		c.source.start(k)
	}
}

// handOver gives the answer held here to its call's owner and clears the way for
// the next request.
func (k *nodeConn) handOver() result {
	k.giveBack()
	r := k.res
	k.call, k.src, k.res = nil, nil, result{}
	k.r.ResponseTaken()
	return r
}

// shut closes the connection. Its source, if it still sends, is left without a
// place to send to, and hears nothing more.
func (k *nodeConn) shut() {
	k.giveBack()
	k.call, k.src = nil, nil
	k.r.Break()
	if k.c != nil {
		k.c.Close()
	}
}

// resume goes on reading an answer that its sink had stopped.
func (k *nodeConn) resume() {
	switch {
	case k.c == nil:
	case k.r.State() == upstreamhttp.Streaming:
		k.draw()
	default:
		k.c.Resume()
	}
}

// OnDrained lets the source of a body go on.
func (k *nodeConn) OnDrained(*eventloop.Conn) {
	if k.src != nil {
		k.src.drained()
	}
}

// OnClose tells the forwarder, unless it asked for it.
func (k *nodeConn) OnClose(_ *eventloop.Conn, err error) {
	if k.lane.conns[k.id] != k {
		return
	}
	if err == eventloop.ErrPeerClosed && k.r.PeerClosed().Kind == upstreamhttp.ResponseEnd {
		k.complete(result{kind: streamed, resp: &k.r.Response}) // a body that ends with its connection
		if k.lane.conns[k.id] != k {
			return
		}
	}
	k.giveBack()
	delete(k.lane.conns, k.id)
	k.lane.tell(forwarder.ConnectionLost{Conn: k.id})
}

// lose gives up a connection whose bytes are no answer.
func (k *nodeConn) lose() {
	delete(k.lane.conns, k.id)
	c := k.c
	k.giveBack()
	k.call, k.src = nil, nil
	k.r.Break()
	if c != nil {
		c.Close()
	}
	k.lane.tell(forwarder.ConnectionLost{Conn: k.id})
}

// OnData reads an answer.
func (k *nodeConn) OnData(_ *eventloop.Conn, b []byte) int {
	used := 0
	for {
		s := k.r.Next(b[used:])
		used += s.Used
		switch s.Kind {
		case upstreamhttp.NeedMore:
			return used
		case upstreamhttp.ProtocolError:
			k.lose()
			return 0
		case upstreamhttp.Headers:
			if !k.head() {
				return used
			}
		case upstreamhttp.BodyData:
			k.moved = k.lane.now()
			more := k.call.sink.data(s.Body)
			if k.call == nil { // the sink's client has left
				return used
			}
			k.call.passed += int64(len(s.Body))
			if k.drawn += len(s.Body); s.Last {
				continue
			}
			if !more {
				k.c.Pause()
				k.giveBack()
				return used
			}
			if k.drawn >= k.lane.g.cfg.Share.Draw && !k.giveWay() {
				return used
			}
		case upstreamhttp.BufferedResponse:
			k.complete(result{kind: answered, resp: &k.r.Response, body: s.Body})
			return used
		case upstreamhttp.ResponseEnd:
			k.complete(result{kind: streamed, resp: &k.r.Response})
			return used
		}
	}
}

// head decides on an answer that is not collected at once: its body is passed on
// where there is a sink for it and it is the answer, else collected. It tells
// whether reading goes on.
func (k *nodeConn) head() bool {
	word := k.word()
	if k.call.sink == nil || word.Result != dispatch.OK {
		if k.r.Buffer().Kind == upstreamhttp.ProtocolError {
			k.lose()
			return false
		}
		return true
	}
	k.r.Stream()
	k.moved = k.lane.now()
	sink := k.call.sink
	k.lane.tell(forwarder.ResponseHeaders{Conn: k.id, Info: word})
	if k.call == nil {
		return false
	}
	sink.begin(k, &k.r.Response)
	if k.call == nil || k.c == nil {
		return false
	}
	k.c.Pause()
	k.draw()
	return k.lease != nil
}

// check breaks off an answer that has stopped coming. Its client has its head, so
// no other attempt can take its place; it must see that the answer is cut. It does
// harm to a node that pauses for longer than the limit.
func (k *nodeConn) check(now time.Time) {
	if k.c != nil && k.c.AwaitsSlice() {
		k.moved = now // it is this gateway that makes it wait
	}
	if k.r.State() == upstreamhttp.Streaming && (!k.c.Paused() || k.c.WantsRead()) && now.Sub(k.moved) > k.lane.g.cfg.Limits.ClientBody.D() {
		k.lose()
	}
}

// complete tells the forwarder that the whole answer is there. Its word, which may
// come at once, hands the result over or throws it away.
func (k *nodeConn) complete(r result) {
	k.res = r
	reuse := k.r.Reusable() && k.src == nil && k.c.Pending() == 0
	k.lane.lateTimings(k.r.Response.Headers)
	k.lane.tell(forwarder.ResponseCompleted{Conn: k.id, Info: k.word(), Reuse: reuse})
}

// sent tells that the source has sent all.
func (k *nodeConn) sent() {
	k.src = nil
	if k.call != nil {
		k.lane.tell(forwarder.BodySent{ID: k.call.id})
	}
}

func (l *lane) nodeLimits() http1.Limits {
	m := l.g.cfg.Limits
	return http1.Limits{Line: m.Line, Headers: m.Headers, Head: m.Head}
}
