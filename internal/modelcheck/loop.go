package modelcheck

import (
	"fmt"
	"strings"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/http1"
	"chalkstand/internal/upstreamhttp"
)

// The functions in this file simulate the gateway's event loops. They use the world's
// connections in place of sockets.

// noLoop is the origin of the events that come from no event loop, which are those of the
// timer and of discovery.
const noLoop forwarder.LoopID = -1

// maxBuffered is the largest response body, in bytes, that an event loop buffers. An event loop
// streams larger bodies.
const maxBuffered = 8

// requestMethod is the HTTP method of all requests. Responses to it have bodies.
const requestMethod = "GET"

const (
	statusServerError = 500
	statusUnavailable = 503
)

// responseText holds the bytes that a node sends for each kind of response.
var responseText = map[MoveKind]string{
	RespondOK:       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	RespondAndClose: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	RespondError:    "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno",
	RespondReject:   "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno",
	RespondStart:    "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nabcdefgh",
	RespondRest:     "ijklmnop",
	RespondInvalid:  "what?\r\n\r\n",
	RespondTwice:    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
}

// handle passes an event to the forwarder and queues the resulting actions. The event loop that
// caused the event performs its own actions at once. The actions for the other event loop wait
// until that loop runs.
func (w *World) handle(ev forwarder.Event, from forwarder.LoopID) {
	observed := w.coverage.beforeEvent(w, ev)
	for _, a := range w.fwd.Handle(w.now, ev) {
		w.checkDecision(a)
		if t, ok := a.(forwarder.SetTimer); ok {
			w.wakeAt = t.At
			continue
		}
		if loop, ok := a.OnLoop(); ok {
			w.loopQueues[loop] = append(w.loopQueues[loop], a)
		}
	}
	w.coverage.afterEvent(w, observed)
	if from != noLoop {
		w.runLoop(from)
	}
}

// runLoop performs the pending actions of an event loop.
func (w *World) runLoop(loop forwarder.LoopID) {
	for len(w.loopQueues[loop]) > 0 {
		a := w.loopQueues[loop][0]
		w.loopQueues[loop] = w.loopQueues[loop][1:]
		w.perform(a)
	}
	w.loopQueues[loop] = nil
}

// runLoops performs the pending actions of all event loops.
func (w *World) runLoops() {
	for loop := range forwarder.LoopID(loopCount) {
		w.runLoop(loop)
	}
}

// loopsPending reports whether any event loop has pending actions.
func (w *World) loopsPending() bool { return len(w.loopQueues[0])+len(w.loopQueues[1]) > 0 }

// perform performs an action as the gateway's event loops would.
func (w *World) perform(a forwarder.Action) {
	if w.log != nil {
		w.log("    %s", strings.TrimPrefix(fmt.Sprintf("%T %+v", a, a), "forwarder."))
	}
	switch a := a.(type) {
	case forwarder.Dial:
		w.dial(a)
	case forwarder.SendRequest:
		w.send(a)
	case forwarder.CloseConn:
		if c := w.conns[a.Conn]; c != nil {
			w.closeConn(c)
		}
	case forwarder.ForwardResponse:
		r, c := w.requestByID(a.ID), w.conns[a.Conn]
		w.checkForwarded(a, r, c)
		if c != nil {
			w.takeResponse(c)
		}
		w.finish(r, a)
	case forwarder.DiscardResponse:
		if c := w.conns[a.Conn]; c != nil {
			w.takeResponse(c)
		}
	case forwarder.Reject:
		w.finish(w.requestByID(a.ID), a)
	case forwarder.Fail:
		w.finish(w.requestByID(a.ID), a)
	case forwarder.AbortResponse:
		w.finish(w.requestByID(a.ID), a)
	}
}

// dial starts a connection to a node.
func (w *World) dial(a forwarder.Dial) {
	w.checkDial(a)
	w.conns[a.Conn] = &conn{
		id:     a.Conn,
		loop:   a.Loop,
		node:   a.Node,
		reader: upstreamhttp.Reader{Limits: http1.DefaultLimits},
	}
}

// send sends a request on a connection. It does nothing if the event loop no longer serves the
// request or the connection is closed.
func (w *World) send(a forwarder.SendRequest) {
	c, r := w.conns[a.Conn], w.requestByID(a.ID)
	if c == nil || r == nil || !r.onLoop {
		return
	}
	w.checkSend(c, r, a)
	if !c.reader.RequestSent(requestMethod, maxBuffered) {
		w.reportViolation(ruleConnection, "request %d is sent on connection %d, whose reader is %v", r.id, c.id, c.reader.State())
	}
	c.request = r
	c.atNode = true
	c.partial = false
	r.conn = c
	r.sendingBody = r.notReplayable
}

// takeResponse removes a complete response from its connection, so that the connection can
// carry the next request.
func (w *World) takeResponse(c *conn) {
	c.reader.ResponseTaken()
	w.unlinkRequest(c)
}

// unlinkRequest separates a connection from the request that it carries, if any.
func (w *World) unlinkRequest(c *conn) {
	if r := c.request; r != nil {
		r.sendingBody = false
		if r.conn == c {
			r.conn = nil
		}
	}
	c.request = nil
}

// closeConn closes a connection from the gateway's side. The node may still execute the
// connection's request.
func (w *World) closeConn(c *conn) {
	w.recordInterruption(c)
	c.reader.MarkBroken()
	w.unlinkRequest(c)
	delete(w.conns, c.id)
}

// loseConn ends a connection that the node has closed or on which it has sent invalid bytes,
// and reports the loss to the forwarder.
func (w *World) loseConn(c *conn) {
	w.closeConn(c)
	w.handle(forwarder.ConnectionLost{Conn: c.id}, c.loop)
}

// receive passes the bytes that a node has sent through the connection's reader.
func (w *World) receive(c *conn, b []byte) {
	for more := true; more; {
		step := c.reader.Next(b)
		b = b[step.Consumed:]
		more = w.receiveStep(c, step, len(b))
	}
}

// receiveStep handles one step of a connection's reader. remaining is the number of bytes that
// the reader has not consumed yet. It returns false if the event loop must stop reading.
func (w *World) receiveStep(c *conn, step upstreamhttp.Step, remaining int) bool {
	switch step.Kind {
	case upstreamhttp.NeedMore:
		return false
	case upstreamhttp.ProtocolError:
		c.unusable = true
		if w.conns[c.id] == c {
			w.loseConn(c)
		}
		return false
	case upstreamhttp.Headers:
		return w.receiveHeaders(c)
	case upstreamhttp.BodyData:
		return c.request != nil
	case upstreamhttp.BufferedResponse, upstreamhttp.ResponseEnd:
		return w.receiveEnd(c, remaining)
	}
	return true
}

// receiveHeaders handles the headers of a response that the reader does not buffer by itself.
// It streams a successful response and buffers any other. It returns false if the event loop
// must stop reading.
func (w *World) receiveHeaders(c *conn) bool {
	info := responseInfo(c)
	if info.Result != dispatch.OK {
		if c.reader.BufferBody().Kind == upstreamhttp.ProtocolError {
			w.loseConn(c)
			return false
		}
		return true
	}
	c.reader.StreamBody()
	w.handle(forwarder.ResponseHeaders{Conn: c.id, Info: info}, c.loop)
	if c.request == nil {
		return false
	}
	w.recordHeadersForwarded(c)
	return true
}

// receiveEnd reports a complete response to the forwarder. It returns false if the event loop
// must stop reading.
func (w *World) receiveEnd(c *conn, remaining int) bool {
	w.handle(forwarder.ResponseCompleted{
		Conn:  c.id,
		Info:  responseInfo(c),
		Reuse: c.reader.Reusable() && !c.sendingBody(),
	}, c.loop)
	if w.conns[c.id] != c {
		return false
	}
	if c.request != nil && remaining > 0 {
		w.reportViolation(ruleConnection, "bytes that came before request %d was sent are read as its response", c.request.id)
		return false
	}
	return true
}

// responseInfo derives the result of an attempt from the status of its response.
func responseInfo(c *conn) forwarder.ResponseInfo {
	switch status := c.reader.Response.Status; {
	case status == statusUnavailable:
		return forwarder.ResponseInfo{Result: dispatch.Rejected}
	case status >= statusServerError:
		return forwarder.ResponseInfo{Result: dispatch.ServerError}
	}
	return forwarder.ResponseInfo{Result: dispatch.OK}
}
