package gateway

import (
	"chalkstand/attribution"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/payload"
	"strconv"
	"time"
)

type clientState uint8

const (
	stateReading       clientState = iota // waits for a request, or for the rest of a head
	stateBufferingBody                    // a body that is held whole comes in
	stateWaiting                          // waits for an answer; what comes in is kept
	stateUploading                        // a body streams through
	stateResponding                       // an answer streams through
	stateLingering                        // closes; what comes in is thrown away
)

// lingerTimeout is how long a client may go on sending after an early answer, so that
// it can read it before its connection ends.
const lingerTimeout = 2 * time.Second

// clientConn is a client's connection. It has one request in hand at a time.
type clientConn struct {
	worker       *loopWorker
	conn         *eventloop.Conn
	state        clientState
	lastProgress time.Time // of the state, or of the last byte that moved in it
	headParser   http1.Head
	request      http1.Request
	current      *transaction // nil while reading
	previous     *transaction // answered, while the client has not taken all of it
	volume       *volume      // whose turns it takes
	backoff      backoffEntry
}

// assignVolume has the connection's turns count for a volume from here on.
func (c *clientConn) assignVolume(v *volume) {
	c.volume = v
	c.conn.AssignFlow(v.flow)
}

// transaction is one client request until its answer has left.
type transaction struct {
	conn            *clientConn
	op              objectapi.Operation
	volume          *volume
	id              string
	resource        string
	httpMinor       int
	method          string
	closeConn       bool // the connection ends with the answer
	headOnly        bool // no body in the answer
	continuePending bool // 100 Continue is owed before the body comes
	key             *accessKey
	body            *payload.Body // nil: none comes
	buffered        []byte
	bodyComplete    bool // the body has come in
	headersSent     bool // the answer's head has left
	responded       bool // the final answer has been given
	chunkedResponse bool // the answer is in chunks
	nodeRequests    []*nodeRequest
	upload          *upload
	streamingFrom   *nodeConn // the answer streams from here
	started         time.Time
	status          int
	onBody          func(t *transaction) // goes on once the body is held

	span         attribution.ClientSpan
	clientStall  stopwatch // of the answer, by the client
	wasStalled   bool      // it was, at least once
	outcome      attribution.Outcome
	openRequests int  // calls begun and not yet accounted for
	usedNodes    bool // a node was needed
	clientGone   bool // the client has left
	attributed   bool // its account is closed
}

func (c *clientConn) setState(s clientState) {
	c.state = s
	c.conn.SetStarting(s == stateReading || s == stateLingering)
	c.lastProgress = c.worker.now()
}

// now is coarse: that of the last sweep.
func (l *loopWorker) now() time.Time { return l.coarseNow }

// OnData takes what a client sends.
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

// OnDrained goes on with what waited for the client to read.
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

// OnClose tells all whose answer nobody waits for any more.
func (c *clientConn) OnClose(_ *eventloop.Conn, err error) {
	delete(c.worker.clients, c)
	c.worker.backoff.remove(c)
	c.worker.gateway.clientConns.Add(-1)
	c.finishPrevious()
	if t := c.current; t != nil {
		c.current = nil
		if !t.responded {
			c.worker.gateway.metrics.canceled.Inc()
			t.responded = true
			t.outcome = attribution.Canceled
			c.worker.gateway.inFlight.Add(-1)
			t.cancelNodeRequests()
			t.endSpanWhenAttributed()
		}
	}
}

// cancelNodeRequests ends the calls of a transaction.
func (t *transaction) cancelNodeRequests() {
	for _, k := range t.nodeRequests {
		t.conn.worker.cancelRequest(k)
	}
	t.nodeRequests = nil
}

func (c *clientConn) readHead(b []byte) int {
	if c.conn.Pending() > 0 { // the last answer first
		c.conn.Pause()
		return 0
	}
	if c.conn.PeerClosed() { // nobody waits for an answer any more: nothing is begun
		return len(b)
	}
	if skip := http1.SkipBlank(b); skip > 0 {
		return skip
	}
	n, err := c.headParser.ParseRequest(b, c.worker.httpLimits(), &c.request)
	if err != nil {
		t := c.newTransaction()
		t.closeConn = true
		t.respondError(objectapi.Errorf(parseErrorCode(err.Status), "The request is not valid HTTP: "+err.Reason), err.Status)
		return len(b)
	}
	if n == 0 {
		return 0
	}
	t := c.newTransaction()
	r := &c.request
	t.httpMinor, t.method, t.closeConn, t.continuePending = r.Minor, string(r.Method), r.Close || c.worker.gateway.draining.Load(), r.Expect100
	t.headOnly = t.method == "HEAD"
	if after, refuse := c.volume.overload.ShouldReject(c.worker.gateway.core.now(), c.conn.SliceWait()-c.conn.RateLimitWait()); refuse {
		t.rejectOverload(r, after)
		return n
	}
	t.handle(r)
	return n
}

// parseErrorCode is the object API's code for a head that is not valid HTTP.
func parseErrorCode(status int) string {
	switch status {
	case 501:
		return "NotImplemented"
	case 431, 414:
		return "RequestHeaderSectionTooLarge"
	}
	return "InvalidRequest"
}

func (c *clientConn) newTransaction() *transaction {
	l := c.worker
	c.finishPrevious() // a client that asks again has its answer
	t := &transaction{conn: c, started: time.Now(), id: requestID(l.gateway.nextID.Add(1))}
	c.current = t
	t.startSpan()
	l.gateway.inFlight.Add(1)
	c.setState(stateWaiting)
	return t
}

func requestID(n uint64) string {
	const digits = "0123456789ABCDEF"
	var b [16]byte
	for i := range b {
		b[15-i] = digits[n&15]
		n >>= 4
	}
	return string(b[:])
}

// bufferBody collects a body that is held whole.
func (c *clientConn) bufferBody(b []byte) int {
	t := c.current
	used, done, err := t.body.Feed(b, func(p []byte) { t.buffered = append(t.buffered, p...) })
	switch {
	case err != nil:
		t.rejectInvalidBody(err)
		return used
	case len(t.buffered) > c.worker.gateway.cfg.Limits.Document:
		t.closeConn = true
		t.rejectBody(objectapi.Errorf("EntityTooLarge", "The document is larger than is taken here."))
		return used
	case done:
		t.bodyComplete = true
		c.setState(stateWaiting)
		t.enterComponent(attribution.Gateway)
		t.onBody(t)
	}
	return used
}

// rejectInvalidBody answers for a body that is not what its head says.
func (t *transaction) rejectInvalidBody(err error) {
	t.closeConn = true
	switch e := err.(type) {
	case *objectapi.Error:
		t.rejectBody(e)
	case *http1.Error:
		t.rejectBody(objectapi.Errorf("InvalidRequest", "The body is not valid HTTP: "+e.Reason))
	}
}

func (t *transaction) rejectBody(e *objectapi.Error) {
	t.cancelNodeRequests()
	t.respondErrorCode(e)
}

// sendContinue sends 100 Continue where the client waits for it.
func (t *transaction) sendContinue() {
	if t.continuePending {
		t.continuePending = false
		t.conn.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// appendHead starts an answer.
func (t *transaction) appendHead(status int) []byte {
	l := t.conn.worker
	if t.body != nil && !t.bodyComplete { // bytes of the body would be taken for a request
		t.closeConn = true
	}
	b := http1.AppendStatus(l.scratch[:0], status)
	b = http1.AppendHeader(b, "Server", "chalkstand")
	b = http1.AppendHeader(b, "Date", l.httpDate())
	b = http1.AppendHeader(b, "x-amz-request-id", t.id)
	if t.closeConn {
		b = http1.AppendHeader(b, "Connection", "close")
	} else if t.httpMinor == 0 {
		b = http1.AppendHeader(b, "Connection", "keep-alive")
	}
	t.status = status
	return b
}

// respond gives the final answer, whole. extra are header lines with their endings.
func (t *transaction) respond(status int, extra, body []byte) {
	if t.responded || t.headersSent {
		return // cannot happen: one final answer
	}
	b := t.appendHead(status)
	b = append(b, extra...)
	if status != 204 && status != 304 {
		b = http1.AppendLength(b, int64(len(body)))
	}
	b = append(b, "\r\n"...)
	if !t.headOnly {
		b = append(b, body...)
	}
	t.conn.worker.scratch = b[:0]
	t.headersSent = true
	t.conn.conn.Write(b)
	t.finish()
}

// respondXML gives an XML document as the answer.
func (t *transaction) respondXML(status int, v any) {
	t.respond(status, []byte("Content-Type: application/xml\r\n"), objectapi.Marshal(v))
}

// respondError gives an error of the object API as the answer.
func (t *transaction) respondError(e *objectapi.Error, status int) {
	t.respond(status, []byte("Content-Type: application/xml\r\n"), e.Document(t.resource, t.id))
}

// respondErrorCode gives an error with the status of its code.
func (t *transaction) respondErrorCode(e *objectapi.Error) { t.respondError(e, e.Status()) }

// respondSlowDown gives a refusal: trying again after the time is harmless.
func (t *transaction) respondSlowDown(after time.Duration) {
	secs := int64((after + time.Second - 1) / time.Second)
	h := http1.AppendHeader([]byte("Content-Type: application/xml\r\n"), "Retry-After", strconv.FormatInt(max(secs, 1), 10))
	h = http1.AppendHeader(h, "x-chalkstand-retry-after-ms", strconv.FormatInt(after.Milliseconds(), 10))
	e := objectapi.Errorf("SlowDown", "Please reduce your request rate.")
	t.outcome = attribution.Rejected
	t.respond(503, h, e.Document(t.resource, t.id))
}

// respondFailure gives an answer that promises nothing.
func (t *transaction) respondFailure(late bool) {
	t.outcome = attribution.Failed
	if late {
		t.respondError(objectapi.Errorf("GatewayTimeout", "The storage node did not answer in time; whether the request was done is not known."), 504)
		return
	}
	t.respondError(objectapi.Errorf("InternalError", "We encountered an internal error; whether the request was done is not known."), 500)
}

// markResponded counts a transaction that has its final answer.
func (t *transaction) markResponded() {
	t.responded = true
	g := t.conn.worker.gateway
	g.inFlight.Add(-1)
	g.metrics.requestCompleted(t)
	g.logAccess(t)
}

// finish ends a transaction whose answer is written, and goes on to the next.
func (t *transaction) finish() {
	if t.responded {
		return
	}
	t.markResponded()
	t.endSpanWhenDelivered()
	c, l := t.conn, t.conn.worker
	t.nodeRequests, t.streamingFrom, t.upload = nil, nil, nil
	c.current = nil
	if t.closeConn || l.gateway.draining.Load() {
		c.setState(stateLingering)
		c.closeAfterResponse()
		return
	}
	c.setState(stateReading)
	c.conn.Resume()
	c.conn.Redeliver()
}

// closeAfterResponse closes once all is written. Where the client may still be sending, its
// bytes are read and thrown away for a while: closing at once would reset the
// connection under an answer that it has not read.
func (c *clientConn) closeAfterResponse() {
	c.lastProgress = time.Now()
	c.conn.CloseWrite()
	c.conn.Resume()
}

// checkTimeout looks for limits that have passed.
func (c *clientConn) checkTimeout(now time.Time) {
	l := c.worker.gateway.cfg.Limits
	if c.conn.AwaitsSlice() {
		c.lastProgress = now // it has something to move, and waits for its turn
	}
	waited := now.Sub(c.lastProgress)
	switch c.state {
	case stateReading:
		switch {
		case c.conn.Pending() > 0 && waited > l.ClientBody.D():
			c.conn.Reset()
		case c.conn.Buffered() > 0 && waited > l.ClientHead.D():
			t := c.newTransaction()
			t.closeConn = true
			t.respondError(objectapi.Errorf("RequestTimeout", "The head of the request did not come in time."), 408)
		case c.conn.Buffered() == 0 && waited > l.ClientIdle.D():
			c.conn.Close()
		}
	case stateBufferingBody:
		if waited > l.ClientBody.D() {
			c.current.closeConn = true
			c.current.rejectBody(objectapi.Errorf("RequestTimeout", "The body of the request did not come in time."))
		}
	case stateUploading:
		c.current.upload.checkTimeout(waited)
	case stateResponding:
		if c.conn.Pending() > 0 && waited > l.ClientBody.D() {
			c.conn.Reset()
		}
	case stateLingering:
		if waited > lingerTimeout && c.conn.Pending() == 0 || waited > l.ClientBody.D() {
			c.conn.Close()
		}
	}
}

// ---- Answers that stream through.

// responseHeaders passes on the head of a node's answer.
func (t *transaction) responseHeaders(k *nodeConn, r *http1.Response) {
	b := t.appendHead(r.Status)
	b = appendNodeHeaders(b, r.Headers)
	switch {
	case !r.Chunked && !r.UntilClose:
		b = http1.AppendLength(b, r.Length)
	case t.httpMinor == 1:
		t.chunkedResponse = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default: // HTTP/1.0: only the connection's end can end it
		t.closeConn = true
	}
	b = append(b, "\r\n"...)
	t.conn.worker.scratch = b[:0]
	t.headersSent, t.streamingFrom = true, k
	t.conn.setState(stateResponding)
	t.conn.conn.Write(b)
}

// responseData passes on a piece of the body. It holds the node back while the client
// does not read.
func (t *transaction) responseData(p []byte) bool {
	c := t.conn.conn
	if t.chunkedResponse {
		b := http1.AppendChunk(t.conn.worker.scratch[:0], p)
		t.conn.worker.scratch = b[:0]
		c.Write(b)
	} else {
		c.Write(p)
	}
	if c.Pending() == 0 {
		t.conn.lastProgress = t.conn.worker.now()
	}
	if c.Pending() == 0 {
		return true
	}
	t.wasStalled = true
	t.clientStall.start(t.now())
	return false
}

// streamEnded ends an answer that streamed through; cut tells that it is not whole,
// which the client must see.
func (t *transaction) streamEnded(cut bool) {
	if t.responded {
		return
	}
	if cut {
		t.status, t.outcome = 0, attribution.Aborted
		t.markResponded()
		t.endSpan()
		t.conn.conn.Reset()
		return
	}
	if t.chunkedResponse {
		t.conn.conn.Write([]byte(http1.LastChunk))
	}
	t.finish()
}

// appendNodeHeaders passes on what a node says of its answer, without what belongs
// to its connection or to the gateway.
func appendNodeHeaders(b []byte, hs http1.Headers) []byte {
	for _, h := range hs {
		if isGatewayHeader(h.Name) {
			continue
		}
		b = append(b, h.Name...)
		b = append(b, ": "...)
		b = append(b, h.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

func isGatewayHeader(name []byte) bool {
	for _, n := range [...]string{
		"content-length", "transfer-encoding", "connection", "keep-alive", "trailer", "date", "server",
		loadHeader, timingHeader, "x-amz-request-id", "retry-after",
	} {
		if http1.EqualFold(name, n) {
			return true
		}
	}
	return false
}
