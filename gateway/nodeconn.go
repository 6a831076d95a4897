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

// nodeRequest is one request to a node, from the forwarder's Begin to its final answer.
type nodeRequest struct {
	transaction   *transaction // that needs it
	id            dispatch.RequestID
	worker        *loopWorker
	completed     bool
	method        string
	head          []byte       // request line and headers, without the line that names the attempt
	body          []byte       // held whole, for a further attempt
	source        bodySource   // of a body that streams through instead
	maxBuffered   int          // an answer's body up to this is held whole
	sink          responseSink // takes a larger one; nil: it counts as broken
	volumeRate    float64      // of its volume's plan, units a second
	readsObject   bool         // an object, whose size makes its price
	sizeUnknown   bool         // its size was not known when it was priced
	streamedBytes int64        // bytes of its answer that its sink has taken
	onResult      func(nodeResult)
}

// bodySource is where a streamed request body comes from.
type bodySource interface {
	// startBody begins to send on k, whose head is written.
	startBody(k *nodeConn)
	// bodyDrained tells that all that was sent has left.
	bodyDrained()
}

// responseSink is where a streamed answer goes.
type responseSink interface {
	// responseHeaders takes the head; from here the answer cannot be another.
	responseHeaders(k *nodeConn, r *http1.Response)
	// responseData takes bytes of the body and tells whether more may come at once. If not,
	// the sink calls k.resume later.
	responseData(b []byte) bool
}

type resultKind int

const (
	resultBuffered resultKind = iota // the node's whole answer, held
	resultStreamed                   // the whole answer has gone to the sink
	resultRejected
	resultFailed
	resultAborted // the answer that went to the sink ended early
)

// nodeResult is the final answer of a call. resp and body are valid only during the
// call of done.
type nodeResult struct {
	kind       resultKind
	resp       *http1.Response
	body       []byte
	retryAfter time.Duration
	timedOut   bool
}

// nodeConn is a connection to a node, and the reader of its answers.
type nodeConn struct {
	id       forwarder.ConnID
	worker   *loopWorker
	conn     *eventloop.Conn
	request  *nodeRequest
	reader   upstreamhttp.Reader
	result   nodeResult
	source   bodySource // still sending
	lastData time.Time  // when bytes of a streamed answer last came

	gate           *nodeGate                   // of its node
	grant          *fairshare.Grant[*nodeConn] // to draw on it
	grantUsed      int                         // bytes, under the lease
	grantRequested bool                        // for one
}

// send writes a request. The call's source, if any, goes on from here.
func (k *nodeConn) send(c *nodeRequest, a forwarder.SendRequest) {
	k.request, k.result = c, nodeResult{}
	k.conn.AssignFlow(k.worker.chargedVolume(c.transaction).flow)
	if !k.reader.RequestSent(c.method, c.maxBuffered) { // cannot happen: it carries nothing else
		k.abort()
		return
	}
	b := append(k.worker.scratch[:0], c.head...)
	b = append(b, "x-chalkstand-request: "...)
	b = append(b, k.worker.gateway.cfg.Name...)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(a.ID), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(a.Attempt), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, c.body...)
	k.worker.scratch = b[:0]
	k.worker.gateway.metrics.attempts.Inc()
	k.conn.Write(b)
	if c.source != nil {
		k.source = c.source
		c.source.startBody(k)
	}
}

// takeResult gives the answer held here to its call's owner and clears the way for
// the next request.
func (k *nodeConn) takeResult() nodeResult {
	k.releaseGrant()
	r := k.result
	k.request, k.source, k.result = nil, nil, nodeResult{}
	k.reader.ResponseTaken()
	return r
}

// close closes the connection. Its source, if it still sends, is left without a
// place to send to, and hears nothing more.
func (k *nodeConn) close() {
	k.releaseGrant()
	k.request, k.source = nil, nil
	k.reader.Break()
	if k.conn != nil {
		k.conn.Close()
	}
}

// resumeReading goes on reading an answer that its sink had stopped.
func (k *nodeConn) resumeReading() {
	switch {
	case k.conn == nil:
	case k.reader.State() == upstreamhttp.Streaming:
		k.acquireGrant()
	default:
		k.conn.Resume()
	}
}

// OnDrained lets the source of a body go on.
func (k *nodeConn) OnDrained(*eventloop.Conn) {
	if k.source != nil {
		k.source.bodyDrained()
	}
}

// OnClose tells the forwarder, unless it asked for it.
func (k *nodeConn) OnClose(_ *eventloop.Conn, err error) {
	if k.worker.conns[k.id] != k {
		return
	}
	if err == eventloop.ErrPeerClosed && k.reader.PeerClosed().Kind == upstreamhttp.ResponseEnd {
		k.completeResponse(nodeResult{kind: resultStreamed, resp: &k.reader.Response}) // a body that ends with its connection
		if k.worker.conns[k.id] != k {
			return
		}
	}
	k.releaseGrant()
	delete(k.worker.conns, k.id)
	k.worker.handle(forwarder.ConnectionLost{Conn: k.id})
}

// abort gives up a connection whose bytes are no answer.
func (k *nodeConn) abort() {
	delete(k.worker.conns, k.id)
	c := k.conn
	k.releaseGrant()
	k.request, k.source = nil, nil
	k.reader.Break()
	if c != nil {
		c.Close()
	}
	k.worker.handle(forwarder.ConnectionLost{Conn: k.id})
}

// OnData reads an answer.
func (k *nodeConn) OnData(_ *eventloop.Conn, b []byte) int {
	used := 0
	for {
		s := k.reader.Next(b[used:])
		used += s.Used
		switch s.Kind {
		case upstreamhttp.NeedMore:
			return used
		case upstreamhttp.ProtocolError:
			k.abort()
			return 0
		case upstreamhttp.Headers:
			if !k.handleHeaders() {
				return used
			}
		case upstreamhttp.BodyData:
			k.lastData = k.worker.now()
			more := k.request.sink.responseData(s.Body)
			if k.request == nil { // the sink's client has left
				return used
			}
			k.request.streamedBytes += int64(len(s.Body))
			if k.grantUsed += len(s.Body); s.Last {
				continue
			}
			if !more {
				k.conn.Pause()
				k.releaseGrant()
				return used
			}
			if k.grantUsed >= k.worker.gateway.cfg.Share.Draw && !k.renewGrant() {
				return used
			}
		case upstreamhttp.BufferedResponse:
			k.completeResponse(nodeResult{kind: resultBuffered, resp: &k.reader.Response, body: s.Body})
			return used
		case upstreamhttp.ResponseEnd:
			k.completeResponse(nodeResult{kind: resultStreamed, resp: &k.reader.Response})
			return used
		}
	}
}

// handleHeaders decides on an answer that is not collected at once: its body is passed on
// where there is a sink for it and it is the answer, else collected. It tells
// whether reading goes on.
func (k *nodeConn) handleHeaders() bool {
	word := k.responseInfo()
	if k.request.sink == nil || word.Result != dispatch.OK {
		if k.reader.Buffer().Kind == upstreamhttp.ProtocolError {
			k.abort()
			return false
		}
		return true
	}
	k.reader.Stream()
	k.lastData = k.worker.now()
	sink := k.request.sink
	k.worker.handle(forwarder.ResponseHeaders{Conn: k.id, Info: word})
	if k.request == nil {
		return false
	}
	sink.responseHeaders(k, &k.reader.Response)
	if k.request == nil || k.conn == nil {
		return false
	}
	k.conn.Pause()
	k.acquireGrant()
	return k.grant != nil
}

// checkTimeout breaks off an answer that has stopped coming. Its client has its head, so
// no other attempt can take its place; it must see that the answer is cut. It does
// harm to a node that pauses for longer than the limit.
func (k *nodeConn) checkTimeout(now time.Time) {
	if k.conn != nil && k.conn.AwaitsSlice() {
		k.lastData = now // it is this gateway that makes it wait
	}
	if k.reader.State() == upstreamhttp.Streaming && (!k.conn.Paused() || k.conn.WantsRead()) && now.Sub(k.lastData) > k.worker.gateway.cfg.Limits.ClientBody.D() {
		k.abort()
	}
}

// completeResponse tells the forwarder that the whole answer is there. Its word, which may
// come at once, hands the result over or throws it away.
func (k *nodeConn) completeResponse(r nodeResult) {
	k.result = r
	reuse := k.reader.Reusable() && k.source == nil && k.conn.Pending() == 0
	k.worker.readLateTimings(k.reader.Response.Headers)
	k.worker.handle(forwarder.ResponseCompleted{Conn: k.id, Info: k.responseInfo(), Reuse: reuse})
}

// bodySent tells that the source has sent all.
func (k *nodeConn) bodySent() {
	k.source = nil
	if k.request != nil {
		k.worker.handle(forwarder.BodySent{ID: k.request.id})
	}
}

func (l *loopWorker) httpLimits() http1.Limits {
	m := l.gateway.cfg.Limits
	return http1.Limits{Line: m.Line, Headers: m.Headers, Head: m.Head}
}
