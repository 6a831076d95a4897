package gateway

import (
	"errors"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/upstreamhttp"
)

// nodeConn is a connection to a storage node. It carries one request at a time.
type nodeConn struct {
	id      forwarder.ConnID
	worker  *loopWorker
	conn    *eventloop.Conn // nil until the dial has succeeded
	request *nodeRequest    // nil while the connection carries no request
	reader  upstreamhttp.Reader
	result  nodeResult // the complete response, until the forwarder forwards or discards it
	source  bodySource // the source of a streamed request body; nil once the body has been sent

	sentAt   time.Duration // when the last request was sent
	lastData time.Time     // when the last part of a streamed response arrived

	gate           *nodeGate
	grant          *fairshare.Grant[*nodeConn] // permits reading a streamed response; nil if none is held
	grantUsed      int                         // bytes read under the grant so far
	grantRequested bool                        // the connection is queued at the gate
}

// dial starts to open the connection to a node that the forwarder requested.
func (w *loopWorker) dial(a forwarder.Dial) {
	n := &nodeConn{
		id:     a.Conn,
		worker: w,
		gate:   w.gateOf(a.Node),
		reader: upstreamhttp.Reader{Limits: w.httpLimits()},
	}
	w.conns[a.Conn] = n
	w.loop.Dial(a.Addr, a.Timeout, func(fd int, err error) { n.dialCompleted(fd, err) })
}

// dialCompleted registers the connected socket with the loop, and reports the result of the dial to
// the forwarder.
func (n *nodeConn) dialCompleted(fd int, err error) {
	w := n.worker
	if w.conns[n.id] != n { // the forwarder closed the connection during the dial
		if err == nil {
			_ = unix.Close(fd)
		}
		return
	}
	if err == nil {
		n.conn, err = w.loop.Add(fd, n)
	}
	if err == nil {
		n.conn.AssignFlow(w.gatewayVolume.flow)
		n.conn.SetReceiveBuffer(w.gateway.cfg.FairSharing.ReceiveBuffer)
	} else {
		delete(w.conns, n.id)
	}
	w.handle(forwarder.DialCompleted{Conn: n.id, OK: err == nil})
}

// send writes the head and the buffered body of a request to the node. If the body is streamed, send
// starts its source.
func (n *nodeConn) send(r *nodeRequest, a forwarder.SendRequest) {
	if !n.worker.confirmClient(r, a) {
		return
	}
	n.request = r
	n.sentAt = n.worker.gateway.core.now()
	n.result = nodeResult{}
	n.conn.AssignFlow(n.worker.chargedVolume(r.transaction).flow)
	if !n.reader.RequestSent(r.method, r.maxBuffered) { // cannot happen: the forwarder picks an idle connection
		n.abort()
		return
	}
	b := n.worker.scratch[:0]
	b = append(b, r.head...)
	b = append(b, "x-chalkstand-request: "...)
	b = append(b, n.worker.gateway.cfg.Name...)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(a.ID), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(a.Attempt), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, r.body...)
	n.worker.scratch = b[:0]
	n.worker.gateway.metrics.attempts.Inc()
	n.conn.Write(b)
	if r.source != nil {
		n.source = r.source
		r.source.startBody(n)
	}
}

// maxUnreadInput is the longest time for which a client's pipelined input may stay unread while an attempt
// begins for it. The close of a client's connection becomes known only behind its unread input.
const maxUnreadInput = 50 * time.Millisecond

// confirmClient reports whether an attempt of a request may begin, because its client is there. If the client
// has left, confirmClient closes its connection. If the client may have left behind unread input, it ends the
// request, unless the unread input is the body of that request.
func (w *loopWorker) confirmClient(r *nodeRequest, a forwarder.SendRequest) bool {
	client := r.transaction.conn
	switch client.conn.PeerPresence(maxUnreadInput) {
	case eventloop.Absent:
		w.gateway.metrics.canceledBeforeAttempt.Inc()
		client.conn.Close()
		if w.requests[a.ID] == r { // the close has not canceled it, because its transaction has ended
			w.endUnconfirmed(r, a)
		}
		return false
	case eventloop.Unknown:
		if r.source != nil {
			return true // the node executes no request whose body is incomplete
		}
		w.gateway.metrics.unreadInput.Inc()
		w.endUnconfirmed(r, a)
		return false
	}
	return true
}

// endUnconfirmed ends a request in place of an attempt. It rejects the request if no node has received it, and
// fails it otherwise.
func (w *loopWorker) endUnconfirmed(r *nodeRequest, a forwarder.SendRequest) {
	result := nodeResult{kind: resultRejected, retryAfter: memoryRetryAfter}
	if a.Attempt > 0 {
		result = nodeResult{kind: resultFailed}
	}
	w.completeRequest(r.id, result)
	w.handle(forwarder.AbortRequest{ID: r.id})
}

// bodySent reports to the forwarder that the whole request body is written. The source of the body
// calls it.
func (n *nodeConn) bodySent() {
	n.source = nil
	if n.request != nil {
		n.worker.handle(forwarder.BodySent{ID: n.request.id})
	}
}

// OnDrained is called when the kernel has accepted all bytes written to the node. It tells the
// source of a streamed body to continue.
func (n *nodeConn) OnDrained(*eventloop.Conn) {
	if n.source != nil {
		n.source.bodyDrained()
	}
}

// OnData parses a part of the node's response, and returns the number of bytes consumed.
func (n *nodeConn) OnData(_ *eventloop.Conn, b []byte) int {
	used := 0
	for {
		step := n.reader.Next(b[used:])
		used += step.Consumed
		switch step.Kind {
		case upstreamhttp.NeedMore:
			return used
		case upstreamhttp.ProtocolError:
			n.abort()
			return 0
		case upstreamhttp.Headers:
			if !n.handleHeaders() {
				return used
			}
		case upstreamhttp.BodyData:
			if !n.handleBody(step.Body, step.Last) {
				return used
			}
		case upstreamhttp.BufferedResponse:
			n.completeResponse(nodeResult{kind: resultBuffered, resp: &n.reader.Response, body: step.Body})
			return used
		case upstreamhttp.ResponseEnd:
			n.completeResponse(nodeResult{kind: resultStreamed, resp: &n.reader.Response})
			return used
		}
	}
}

// handleHeaders chooses between streaming and buffering for a response whose length is unknown or
// exceeds the buffer limit. A successful response is streamed to the request's sink, if the request
// has one. Any other response is buffered if it is chunked. If it is not, handleHeaders aborts the
// connection. It reports whether OnData may continue to read.
func (n *nodeConn) handleHeaders() bool {
	info := n.responseInfo()
	sink := n.request.sink
	if sink == nil || info.Result != dispatch.OK {
		if n.reader.BufferBody().Kind == upstreamhttp.ProtocolError {
			n.abort()
			return false
		}
		return true
	}
	n.reader.StreamBody()
	n.lastData = n.worker.now()
	n.worker.handle(forwarder.ResponseHeaders{Conn: n.id, Info: info})
	if n.request == nil {
		return false
	}
	sink.responseHeaders(n, &n.reader.Response)
	if n.request == nil || n.conn == nil {
		return false
	}
	n.conn.Pause()
	n.acquireGrant()
	return n.grant != nil
}

// handleBody passes a part of a streamed body to the sink, and reports whether OnData may continue
// to read.
func (n *nodeConn) handleBody(b []byte, last bool) bool {
	n.lastData = n.worker.now()
	more := n.request.sink.responseData(b)
	if n.request == nil { // the client has disconnected, and the request was canceled
		return false
	}
	n.request.streamedBytes += int64(len(b))
	n.grantUsed += len(b)
	if last {
		return true
	}
	if !more {
		n.conn.Pause()
		n.releaseGrant()
		return false
	}
	return n.grantUsed < n.worker.gateway.cfg.FairSharing.GrantBytes || n.renewGrant()
}

// completeResponse reports a complete response to the forwarder. The forwarder decides whether the
// response is forwarded to the client or discarded.
func (n *nodeConn) completeResponse(r nodeResult) {
	n.result = r
	reuse := n.reader.Reusable() && n.source == nil && n.conn.BufferedOutput() == 0
	n.worker.readLateTimings(n.reader.Response.Headers)
	n.worker.handle(forwarder.ResponseCompleted{Conn: n.id, Info: n.responseInfo(), Reuse: reuse})
}

// takeResult returns the complete response, and makes the connection ready for the next request.
func (n *nodeConn) takeResult() nodeResult {
	n.releaseGrant()
	r := n.result
	n.request = nil
	n.source = nil
	n.result = nodeResult{}
	n.reader.ResponseTaken()
	return r
}

// resumeReading continues to read a response after the sink has stopped it.
func (n *nodeConn) resumeReading() {
	switch {
	case n.conn == nil:
	case n.reader.State() == upstreamhttp.Streaming:
		n.acquireGrant()
	default:
		n.conn.Resume()
	}
}

// checkTimeout aborts a streamed response if the node sends nothing for longer than
// limits.client_body. The client has already received the response's head, so no other attempt can
// replace the response.
func (n *nodeConn) checkTimeout(now time.Time) {
	if n.conn != nil && n.conn.Queued() {
		n.lastData = now // the connection waits for the event loop, not for the node
	}
	if n.reader.State() != upstreamhttp.Streaming || n.conn.Paused() && !n.conn.WantsRead() {
		return
	}
	if now.Sub(n.lastData) > n.worker.gateway.cfg.Limits.ClientBody.D() {
		n.abort()
	}
}

// OnClose is called when the connection has closed. It reports a lost connection to the forwarder,
// unless the forwarder closed the connection itself.
func (n *nodeConn) OnClose(_ *eventloop.Conn, err error) {
	if n.worker.conns[n.id] != n {
		return
	}
	if errors.Is(err, eventloop.ErrPeerClosed) && n.reader.PeerClosed().Kind == upstreamhttp.ResponseEnd {
		// The response has no length, so the end of the connection is the end of its body.
		n.completeResponse(nodeResult{kind: resultStreamed, resp: &n.reader.Response})
		if n.worker.conns[n.id] != n {
			return
		}
	}
	n.releaseGrant()
	delete(n.worker.conns, n.id)
	n.worker.handle(forwarder.ConnectionLost{Conn: n.id})
}

// close closes the connection at the forwarder's request. It detaches the source of a body that is
// still being sent, so the connection does not call the source again.
func (n *nodeConn) close() {
	n.releaseGrant()
	n.request = nil
	n.source = nil
	n.reader.MarkBroken()
	if n.conn != nil {
		n.conn.Close()
	}
}

// abort closes the connection, and reports the connection to the forwarder as lost.
func (n *nodeConn) abort() {
	delete(n.worker.conns, n.id)
	conn := n.conn
	n.releaseGrant()
	n.request = nil
	n.source = nil
	n.reader.MarkBroken()
	if conn != nil {
		conn.Close()
	}
	n.worker.handle(forwarder.ConnectionLost{Conn: n.id})
}
