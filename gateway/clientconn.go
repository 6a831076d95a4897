package gateway

import (
	"net/http"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// lingerTimeout is for how long a client's input is read and discarded after an early response, so that
// the client can read the response before its connection is closed.
const lingerTimeout = 2 * time.Second

type clientState uint8

const (
	stateReading       clientState = iota // a head is read
	stateBufferingBody                    // a body is read into memory
	stateWaiting                          // a response is awaited; input stays buffered
	stateUploading                        // a body is streamed to a node
	stateResponding                       // a response is streamed to the client
	stateLingering                        // the connection is closing; input is discarded
)

// clientConn is a client's connection. It processes one transaction at a time.
type clientConn struct {
	worker       *loopWorker
	conn         *eventloop.Conn
	state        clientState
	lastProgress time.Time // of the state, or of the last byte that was moved in it
	headParser   http1.Head
	request      http1.Request
	current      *transaction // nil in stateReading
	previous     *transaction // written, while the client has not received all of it
	volume       *volume      // that the connection's work is charged to
	backoff      backoffEntry
}

// assignVolume charges the connection's work to a volume from here on.
func (c *clientConn) assignVolume(v *volume) {
	c.volume = v
	c.conn.AssignFlow(v.flow)
}

func (c *clientConn) setState(s clientState) {
	c.state = s
	c.conn.SetStarting(s == stateReading || s == stateLingering)
	c.lastProgress = c.worker.now()
}

// OnData processes input, and returns the number of bytes consumed.
func (c *clientConn) OnData(_ *eventloop.Conn, b []byte) int {
	c.lastProgress = c.worker.now()
	switch c.state {
	case stateReading:
		return c.readHead(b)
	case stateBufferingBody:
		return c.bufferBody(b)
	case stateUploading:
		return c.current.upload.feed(b)
	case stateLingering:
		return len(b)
	}
	if len(b) >= c.worker.gateway.cfg.Limits.Pipelined {
		c.conn.Pause()
	}
	return 0
}

// OnDrained is called when all that was written has been sent. It continues what was waiting for the
// client to read.
func (c *clientConn) OnDrained(*eventloop.Conn) {
	c.lastProgress = c.worker.now()
	c.previousWritten()
	if c.current != nil {
		c.current.clientStall.stop(c.current.now())
	}
	switch {
	case c.state == stateResponding && c.current != nil && c.current.streamingFrom != nil:
		c.current.streamingFrom.resumeReading()
	case c.state == stateReading && !c.inBackoff():
		c.conn.Resume()
		c.conn.Redeliver()
	}
}

// OnClose cancels the node requests of a client that has left.
func (c *clientConn) OnClose(_ *eventloop.Conn, _ error) {
	delete(c.worker.clients, c)
	c.worker.backoff.remove(c)
	c.worker.gateway.clientConns.Add(-1)
	c.endPreviousSpan()
	t := c.current
	if t == nil {
		return
	}
	c.current = nil
	if t.responded {
		return
	}
	c.worker.gateway.metrics.canceled.Inc()
	t.responded = true
	t.outcome = attribution.Canceled
	c.worker.gateway.inFlight.Add(-1)
	t.cancelNodeRequests()
	t.endSpanWhenAttributed()
}

// readHead reads a request's head, and starts its transaction.
func (c *clientConn) readHead(b []byte) int {
	if c.conn.Pending() > 0 { // the previous response is sent first
		c.conn.Pause()
		return 0
	}
	if c.conn.PeerClosed() { // no response can be received: the request is not started
		return len(b)
	}
	if skip := http1.SkipBlank(b); skip > 0 {
		return skip
	}
	n, err := c.headParser.ParseRequest(b, c.worker.httpLimits(), &c.request)
	if err != nil {
		t := c.newTransaction()
		t.closeConn = true
		apiErr := objectapi.NewError(parseErrorCode(err.Status), "The request is not valid HTTP: "+err.Reason)
		t.respondError(apiErr, err.Status)
		return len(b)
	}
	if n == 0 {
		return 0
	}
	t := c.newTransaction()
	r := &c.request
	t.httpMinor = r.Minor
	t.method = string(r.Method)
	t.closeConn = r.Close || c.worker.gateway.draining.Load()
	t.continuePending = r.Expect100
	t.headOnly = t.method == http.MethodHead
	queueTime := c.conn.SliceWait() - c.conn.RateLimitWait()
	if retryAfter, reject := c.volume.overload.ShouldReject(c.worker.gateway.core.now(), queueTime); reject {
		t.rejectOverload(r, retryAfter)
		return n
	}
	t.handle(r)
	return n
}

// parseErrorCode returns the object API's error code for a head that is not valid HTTP.
func parseErrorCode(status int) string {
	switch status {
	case http.StatusNotImplemented:
		return objectapi.CodeNotImplemented
	case http.StatusRequestHeaderFieldsTooLarge, http.StatusRequestURITooLong:
		return "RequestHeaderSectionTooLarge"
	}
	return objectapi.CodeInvalidRequest
}

// closeAfterResponse closes the connection once all is written. The client's input is read and discarded
// for a while: closing at once would reset the connection before the client has read the response.
func (c *clientConn) closeAfterResponse() {
	c.lastProgress = time.Now()
	c.conn.CloseWrite()
	c.conn.Resume()
}

// checkTimeout enforces the time limits of the connection's state.
func (c *clientConn) checkTimeout(now time.Time) {
	limits := c.worker.gateway.cfg.Limits
	if c.conn.Queued() {
		c.lastProgress = now // it is waiting for this gateway
	}
	waited := now.Sub(c.lastProgress)
	switch c.state {
	case stateReading:
		c.checkReadTimeout(waited)
	case stateBufferingBody:
		if waited > limits.ClientBody.D() {
			c.current.closeConn = true
			c.current.rejectBody(objectapi.NewError(objectapi.CodeRequestTimeout, "The body of the request did not come in time."))
		}
	case stateUploading:
		c.current.upload.checkTimeout(waited)
	case stateResponding:
		if c.conn.Pending() > 0 && waited > limits.ClientBody.D() {
			c.conn.Reset()
		}
	case stateLingering:
		if waited > lingerTimeout && c.conn.Pending() == 0 || waited > limits.ClientBody.D() {
			c.conn.Close()
		}
	}
}

// checkReadTimeout enforces the time limits of a connection without a transaction.
func (c *clientConn) checkReadTimeout(waited time.Duration) {
	limits := c.worker.gateway.cfg.Limits
	switch {
	case c.conn.Pending() > 0 && waited > limits.ClientBody.D():
		c.conn.Reset()
	case c.conn.Buffered() > 0 && waited > limits.ClientHead.D():
		t := c.newTransaction()
		t.closeConn = true
		apiErr := objectapi.NewError(objectapi.CodeRequestTimeout, "The head of the request did not come in time.")
		t.respondError(apiErr, http.StatusRequestTimeout)
	case c.conn.Buffered() == 0 && waited > limits.ClientIdle.D():
		c.conn.Close()
	}
}
