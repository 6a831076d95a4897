package gateway

import (
	"net/http"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// lingerTimeout is how long the gateway keeps reading and discarding a client's input after the last
// response on a connection. This gives the client time to read the response before the connection
// is closed.
const lingerTimeout = 2 * time.Second

// clientState is the phase of the transaction on a client connection.
type clientState uint8

const (
	stateReading       clientState = iota // the worker reads a request's head, or waits for one
	stateBufferingBody                    // the worker reads a request's body into memory
	stateWaiting                          // the transaction waits for a response, and input stays in the read buffer
	stateUploading                        // the worker streams a request's body to a node
	stateResponding                       // the worker streams a node's response to the client
	stateLingering                        // the connection is closing, and the worker discards its input
)

// clientConn is a connection from a client. It processes one transaction at a time.
type clientConn struct {
	worker       *loopWorker
	conn         *eventloop.Conn
	state        clientState
	lastProgress time.Time // when the state last changed or the connection last moved a byte
	headParser   http1.HeadParser
	current      *transaction  // the transaction in progress; nil in stateReading
	previous     *transaction  // the last transaction, until the client has received its response
	partialHead  bool          // whether a part of a request's head has arrived
	waitingSince time.Duration // time since which the connection waits in its state, or for the rest of a head
	volume       *volume       // the volume to which the connection's work is charged
	backoff      backoffEntry
}

// assignVolume charges the connection's future work to the volume v.
func (c *clientConn) assignVolume(v *volume) {
	c.volume = v
	c.conn.AssignFlow(v.flow)
}

// setState changes the connection's state and restarts the time limit of the state.
func (c *clientConn) setState(s clientState) {
	c.state = s
	c.conn.SetNewWork(s == stateReading || s == stateLingering)
	c.lastProgress = c.worker.now()
	c.waitingSince = c.worker.gateway.core.now()
}

// OnData processes input from the client according to the connection's state, and returns the number
// of bytes consumed. While a transaction waits for its response, OnData consumes nothing, and pauses
// the connection once limits.pipelined bytes are buffered.
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

// OnDrained is called when the kernel has accepted all bytes written to the client. It resumes a
// streamed response that was stopped because the client did not read, or the reading of the next
// request.
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

// OnClose is called when the client's connection has closed. It cancels the node requests of the
// current transaction.
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
	t.reserveBody(0)
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

// readHead parses the head of a request, and starts a transaction once the head is complete. It
// returns the number of bytes consumed.
func (c *clientConn) readHead(b []byte) int {
	if c.conn.BufferedOutput() > 0 { // part of the previous response is still unsent
		c.conn.Pause()
		return 0
	}
	if c.conn.PeerClosed() { // the client has closed its side, so the request is dropped
		return len(b)
	}
	if skip := http1.SkipBlank(b); skip > 0 {
		return skip
	}
	n, err := c.headParser.ParseRequest(b, c.worker.httpLimits(), &c.worker.request)
	if err != nil {
		t := c.newTransaction()
		t.closeConn = true
		apiErr := objectapi.NewError(parseErrorCode(err.Status), "The request is not valid HTTP: "+err.Reason)
		t.respondError(apiErr, err.Status)
		return len(b)
	}
	if n == 0 {
		c.awaitHead()
		return 0
	}
	c.partialHead = false
	t := c.newTransaction()
	r := &c.worker.request
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

// awaitHead records that a part of a head has arrived. The worker releases the largest of these parts if all
// together need too much memory.
func (c *clientConn) awaitHead() {
	if !c.partialHead {
		c.partialHead = true
		c.waitingSince = c.worker.gateway.core.now()
	}
	c.worker.limitBuffers()
}

// parseErrorCode returns the object API's error code for a head that is not valid HTTP. The status
// is the HTTP status that the parser chose for the error.
func parseErrorCode(status int) string {
	switch status {
	case http.StatusNotImplemented:
		return objectapi.CodeNotImplemented
	case http.StatusRequestHeaderFieldsTooLarge, http.StatusRequestURITooLong:
		return "RequestHeaderSectionTooLarge"
	}
	return objectapi.CodeInvalidRequest
}

// closeAfterResponse shuts down the write side once all bytes are written. The worker then reads and
// discards the client's input for lingerTimeout. Closing at once would reset the connection before
// the client has read the response.
func (c *clientConn) closeAfterResponse() {
	c.lastProgress = time.Now()
	c.conn.CloseWrite()
	c.conn.Resume()
}

// checkTimeout enforces the time limits that apply in the connection's state.
func (c *clientConn) checkTimeout(now time.Time) {
	limits := c.worker.gateway.cfg.Limits
	if c.conn.Queued() {
		c.lastProgress = now // the connection waits for the event loop, not for the client
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
		if c.conn.BufferedOutput() > 0 && waited > limits.ClientBody.D() {
			c.conn.Reset()
		}
	case stateLingering:
		if waited > lingerTimeout && c.conn.BufferedOutput() == 0 || waited > limits.ClientBody.D() {
			c.conn.Close()
		}
	}
}

// checkReadTimeout enforces the time limits of a connection in stateReading. The parameter waited is
// the time since the last progress.
func (c *clientConn) checkReadTimeout(waited time.Duration) {
	limits := c.worker.gateway.cfg.Limits
	switch {
	case c.conn.BufferedOutput() > 0 && waited > limits.ClientBody.D():
		c.conn.Reset()
	case c.conn.BufferedInput() > 0 && waited > limits.ClientHead.D():
		t := c.newTransaction()
		t.closeConn = true
		apiErr := objectapi.NewError(objectapi.CodeRequestTimeout, "The head of the request did not come in time.")
		t.respondError(apiErr, http.StatusRequestTimeout)
	case c.conn.BufferedInput() == 0 && waited > limits.ClientIdle.D():
		c.conn.Close()
	}
}
