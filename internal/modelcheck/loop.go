package modelcheck

import (
	"fmt"
	"strings"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/http1"
	"chalkstand/internal/upstreamhttp"
)

// The event loops' part: what the gateway's loops do with sockets, done here with the
// world's connections.

// noLoop is the origin of events that come from no loop: the timer and discovery.
const noLoop forwarder.LoopID = -1

// maxBuffered is the largest body, in bytes, that a loop buffers. A larger one is streamed.
const maxBuffered = 8

// requestMethod is the method of all requests; responses to it have bodies.
const requestMethod = "GET"

// HTTP status codes.
const (
	statusServerError = 500
	statusUnavailable = 503
)

// responseText has the bytes that nodes send.
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

// handle passes an event to the forwarder. A loop performs the actions for itself before
// anything else happens there; the actions for other loops wait until these run.
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

// runLoop performs the pending actions of a loop.
func (w *World) runLoop(loop forwarder.LoopID) {
	for len(w.loopQueues[loop]) > 0 {
		a := w.loopQueues[loop][0]
		w.loopQueues[loop] = w.loopQueues[loop][1:]
		w.perform(a)
	}
	w.loopQueues[loop] = nil
}

func (w *World) runLoops() {
	for loop := range forwarder.LoopID(loopCount) {
		w.runLoop(loop)
	}
}

// loopsPending reports whether a loop has pending actions.
func (w *World) loopsPending() bool { return len(w.loopQueues[0])+len(w.loopQueues[1]) > 0 }

// perform performs an action as the gateway's event loops do.
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

func (w *World) dial(a forwarder.Dial) {
	w.checkDial(a)
	w.conns[a.Conn] = &conn{
		id:     a.Conn,
		loop:   a.Loop,
		node:   a.Node,
		reader: upstreamhttp.Reader{Limits: http1.DefaultLimits},
	}
}

// send sends a request that the loop still serves on a connection.
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

// takeResponse takes a complete response from its connection.
func (w *World) takeResponse(c *conn) {
	c.reader.ResponseTaken()
	w.unlinkRequest(c)
}

// freeConn separates a connection from its request.
func (w *World) unlinkRequest(c *conn) {
	if r := c.request; r != nil {
		r.sendingBody = false
		if r.conn == c {
			r.conn = nil
		}
	}
	c.request = nil
}

// closeConn closes a connection from the gateway's side. A request may go on at the node.
func (w *World) closeConn(c *conn) {
	w.recordInterruption(c)
	c.reader.Break()
	w.unlinkRequest(c)
	delete(w.conns, c.id)
}

// loseConn ends a connection that the node closed, or whose input is not valid.
func (w *World) loseConn(c *conn) {
	w.closeConn(c)
	w.handle(forwarder.ConnectionLost{Conn: c.id}, c.loop)
}

// receive reads bytes that a node sent.
func (w *World) receive(c *conn, b []byte) {
	for more := true; more; {
		step := c.reader.Next(b)
		b = b[step.Consumed:]
		more = w.receiveStep(c, step, len(b))
	}
}

// receiveStep handles one step of a connection's reader, with so many bytes left after it.
// It returns false where the loop stops reading.
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

// receiveHeaders streams a successful response and buffers another one.
func (w *World) receiveHeaders(c *conn) bool {
	info := responseInfo(c)
	if info.Result != dispatch.OK {
		if c.reader.Buffer().Kind == upstreamhttp.ProtocolError {
			w.loseConn(c)
			return false
		}
		return true
	}
	c.reader.Stream()
	w.handle(forwarder.ResponseHeaders{Conn: c.id, Info: info}, c.loop)
	if c.request == nil {
		return false
	}
	w.recordHeadersForwarded(c)
	return true
}

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

// responseInfo returns what a response's status says.
func responseInfo(c *conn) forwarder.ResponseInfo {
	switch status := c.reader.Response.Status; {
	case status == statusUnavailable:
		return forwarder.ResponseInfo{Result: dispatch.Rejected}
	case status >= statusServerError:
		return forwarder.ResponseInfo{Result: dispatch.ServerError}
	}
	return forwarder.ResponseInfo{Result: dispatch.OK}
}
