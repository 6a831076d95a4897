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
	reading   clientState = iota // waits for a request, or for the rest of a head
	gathering                    // a body that is held whole comes in
	asking                       // waits for an answer; what comes in is kept
	uploading                    // a body streams through
	replying                     // an answer streams through
	lingering                    // closes; what comes in is thrown away
)

// lingerFor is how long a client may go on sending after an early answer, so that
// it can read it before its connection ends.
const lingerFor = 2 * time.Second

// clientConn is a client's connection. It has one request in hand at a time.
type clientConn struct {
	lane  *lane
	c     *eventloop.Conn
	state clientState
	since time.Time // of the state, or of the last byte that moved in it
	scan  http1.Head
	req   http1.Request
	ex    *transaction // nil while reading
	tail  *transaction // answered, while the client has not taken all of it
	vol   *volume      // whose turns it takes
	rest  rest
}

// speaksFor has the connection's turns count for a volume from here on.
func (c *clientConn) speaksFor(v *volume) {
	c.vol = v
	c.c.AssignFlow(v.flow)
}

// transaction is one client request until its answer has left.
type transaction struct {
	conn     *clientConn
	op       objectapi.Operation
	vol      *volume
	id       string
	resource string
	minor    int
	method   string
	close    bool // the connection ends with the answer
	head     bool // no body in the answer
	expect   bool // 100 Continue is owed before the body comes
	key      *accessKey
	body     *payload.Body // nil: none comes
	held     []byte
	whole    bool // the body has come in
	begun    bool // the answer's head has left
	ended    bool // the final answer has been given
	chunked  bool // the answer is in chunks
	calls    []*call
	up       *upload
	from     *nodeConn // the answer streams from here
	started  time.Time
	status   int
	then     func(t *transaction) // goes on once the body is held

	journey attribution.ClientSpan
	stall   stall // of the answer, by the client
	heldUp  bool  // it was, at least once
	outcome attribution.Outcome
	open    int  // calls begun and not yet accounted for
	asked   bool // a node was needed
	parting bool // the client has left
	booked  bool // its account is closed
}

func (c *clientConn) set(s clientState) {
	c.state = s
	c.c.SetStarting(s == reading || s == lingering)
	c.since = c.lane.now()
}

// now is coarse: that of the last sweep.
func (l *lane) now() time.Time { return l.swept }

// OnData takes what a client sends.
func (c *clientConn) OnData(_ *eventloop.Conn, b []byte) int {
	c.since = c.lane.now()
	switch c.state {
	case reading:
		return c.readHead(b)
	case gathering:
		return c.gather(b)
	case uploading:
		return c.ex.up.feed(b)
	case lingering:
		return len(b)
	}
	if len(b) >= c.lane.g.cfg.Limits.Pipelined {
		c.c.Pause()
	}
	return 0
}

// OnDrained goes on with what waited for the client to read.
func (c *clientConn) OnDrained(*eventloop.Conn) {
	c.since = c.lane.now()
	c.tailTaken()
	if c.ex != nil {
		c.ex.stall.end(c.ex.at())
	}
	switch {
	case c.state == replying && c.ex != nil && c.ex.from != nil:
		c.ex.from.resume()
	case c.state == reading && !c.rests():
		c.c.Resume()
		c.c.Redeliver()
	}
}

// OnClose tells all whose answer nobody waits for any more.
func (c *clientConn) OnClose(_ *eventloop.Conn, err error) {
	delete(c.lane.clients, c)
	c.lane.resting.remove(c)
	c.lane.g.open.Add(-1)
	c.tailGone()
	if t := c.ex; t != nil {
		c.ex = nil
		if !t.ended {
			c.lane.g.metrics.gone.Inc()
			t.ended = true
			t.outcome = attribution.Canceled
			c.lane.g.busy.Add(-1)
			t.abandon()
			t.part()
		}
	}
}

// abandon ends the calls of a transaction.
func (t *transaction) abandon() {
	for _, k := range t.calls {
		t.conn.lane.drop(k)
	}
	t.calls = nil
}

func (c *clientConn) readHead(b []byte) int {
	if c.c.Pending() > 0 { // the last answer first
		c.c.Pause()
		return 0
	}
	if c.c.PeerClosed() { // nobody waits for an answer any more: nothing is begun
		return len(b)
	}
	if skip := http1.SkipBlank(b); skip > 0 {
		return skip
	}
	n, err := c.scan.ParseRequest(b, c.lane.nodeLimits(), &c.req)
	if err != nil {
		t := c.open()
		t.close = true
		t.fail(objectapi.Errorf(codeOf(err.Status), "The request is not valid HTTP: "+err.Reason), err.Status)
		return len(b)
	}
	if n == 0 {
		return 0
	}
	t := c.open()
	r := &c.req
	t.minor, t.method, t.close, t.expect = r.Minor, string(r.Method), r.Close || c.lane.g.draining.Load(), r.Expect100
	t.head = t.method == "HEAD"
	if after, refuse := c.vol.over.ShouldReject(c.lane.g.core.now(), c.c.SliceWait()-c.c.RateLimitWait()); refuse {
		t.overloaded(r, after)
		return n
	}
	t.handle(r)
	return n
}

// codeOf is the object API's code for a head that is not valid HTTP.
func codeOf(status int) string {
	switch status {
	case 501:
		return "NotImplemented"
	case 431, 414:
		return "RequestHeaderSectionTooLarge"
	}
	return "InvalidRequest"
}

func (c *clientConn) open() *transaction {
	l := c.lane
	c.tailGone() // a client that asks again has its answer
	t := &transaction{conn: c, started: time.Now(), id: requestID(l.g.nextID.Add(1))}
	c.ex = t
	t.setOut()
	l.g.busy.Add(1)
	c.set(asking)
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

// gather collects a body that is held whole.
func (c *clientConn) gather(b []byte) int {
	t := c.ex
	used, done, err := t.body.Feed(b, func(p []byte) { t.held = append(t.held, p...) })
	switch {
	case err != nil:
		t.bodyFailed(err)
		return used
	case len(t.held) > c.lane.g.cfg.Limits.Document:
		t.close = true
		t.refuseBody(objectapi.Errorf("EntityTooLarge", "The document is larger than is taken here."))
		return used
	case done:
		t.whole = true
		c.set(asking)
		t.turn(attribution.Gateway)
		t.then(t)
	}
	return used
}

// bodyFailed answers for a body that is not what its head says.
func (t *transaction) bodyFailed(err error) {
	t.close = true
	switch e := err.(type) {
	case *objectapi.Error:
		t.refuseBody(e)
	case *http1.Error:
		t.refuseBody(objectapi.Errorf("InvalidRequest", "The body is not valid HTTP: "+e.Reason))
	}
}

func (t *transaction) refuseBody(e *objectapi.Error) {
	t.abandon()
	t.deny(e)
}

// continueBody sends 100 Continue where the client waits for it.
func (t *transaction) continueBody() {
	if t.expect {
		t.expect = false
		t.conn.c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// appendHead starts an answer.
func (t *transaction) appendHead(status int) []byte {
	l := t.conn.lane
	if t.body != nil && !t.whole { // bytes of the body would be taken for a request
		t.close = true
	}
	b := http1.AppendStatus(l.scratch[:0], status)
	b = http1.AppendHeader(b, "Server", "chalkstand")
	b = http1.AppendHeader(b, "Date", l.httpDate())
	b = http1.AppendHeader(b, "x-amz-request-id", t.id)
	if t.close {
		b = http1.AppendHeader(b, "Connection", "close")
	} else if t.minor == 0 {
		b = http1.AppendHeader(b, "Connection", "keep-alive")
	}
	t.status = status
	return b
}

// reply gives the final answer, whole. extra are header lines with their endings.
func (t *transaction) reply(status int, extra, body []byte) {
	if t.ended || t.begun {
		return // cannot happen: one final answer
	}
	b := t.appendHead(status)
	b = append(b, extra...)
	if status != 204 && status != 304 {
		b = http1.AppendLength(b, int64(len(body)))
	}
	b = append(b, "\r\n"...)
	if !t.head {
		b = append(b, body...)
	}
	t.conn.lane.scratch = b[:0]
	t.begun = true
	t.conn.c.Write(b)
	t.finish()
}

// document gives an XML document as the answer.
func (t *transaction) document(status int, v any) {
	t.reply(status, []byte("Content-Type: application/xml\r\n"), objectapi.Marshal(v))
}

// fail gives an error of the object API as the answer.
func (t *transaction) fail(e *objectapi.Error, status int) {
	t.reply(status, []byte("Content-Type: application/xml\r\n"), e.Document(t.resource, t.id))
}

// deny gives an error with the status of its code.
func (t *transaction) deny(e *objectapi.Error) { t.fail(e, e.Status()) }

// slowDown gives a refusal: trying again after the time is harmless.
func (t *transaction) slowDown(after time.Duration) {
	secs := int64((after + time.Second - 1) / time.Second)
	h := http1.AppendHeader([]byte("Content-Type: application/xml\r\n"), "Retry-After", strconv.FormatInt(max(secs, 1), 10))
	h = http1.AppendHeader(h, "x-chalkstand-retry-after-ms", strconv.FormatInt(after.Milliseconds(), 10))
	e := objectapi.Errorf("SlowDown", "Please reduce your request rate.")
	t.outcome = attribution.Rejected
	t.reply(503, h, e.Document(t.resource, t.id))
}

// giveUp gives an answer that promises nothing.
func (t *transaction) giveUp(late bool) {
	t.outcome = attribution.Failed
	if late {
		t.fail(objectapi.Errorf("GatewayTimeout", "The storage node did not answer in time; whether the request was done is not known."), 504)
		return
	}
	t.fail(objectapi.Errorf("InternalError", "We encountered an internal error; whether the request was done is not known."), 500)
}

// settle counts a transaction that has its final answer.
func (t *transaction) settle() {
	t.ended = true
	g := t.conn.lane.g
	g.busy.Add(-1)
	g.metrics.done(t)
	g.logAccess(t)
}

// finish ends a transaction whose answer is written, and goes on to the next.
func (t *transaction) finish() {
	if t.ended {
		return
	}
	t.settle()
	t.answered()
	c, l := t.conn, t.conn.lane
	t.calls, t.from, t.up = nil, nil, nil
	c.ex = nil
	if t.close || l.g.draining.Load() {
		c.set(lingering)
		c.endWrite()
		return
	}
	c.set(reading)
	c.c.Resume()
	c.c.Redeliver()
}

// endWrite closes once all is written. Where the client may still be sending, its
// bytes are read and thrown away for a while: closing at once would reset the
// connection under an answer that it has not read.
func (c *clientConn) endWrite() {
	c.since = time.Now()
	c.c.CloseWrite()
	c.c.Resume()
}

// check looks for limits that have passed.
func (c *clientConn) check(now time.Time) {
	l := c.lane.g.cfg.Limits
	if c.c.AwaitsSlice() {
		c.since = now // it has something to move, and waits for its turn
	}
	waited := now.Sub(c.since)
	switch c.state {
	case reading:
		switch {
		case c.c.Pending() > 0 && waited > l.ClientBody.D():
			c.c.Reset()
		case c.c.Buffered() > 0 && waited > l.ClientHead.D():
			t := c.open()
			t.close = true
			t.fail(objectapi.Errorf("RequestTimeout", "The head of the request did not come in time."), 408)
		case c.c.Buffered() == 0 && waited > l.ClientIdle.D():
			c.c.Close()
		}
	case gathering:
		if waited > l.ClientBody.D() {
			c.ex.close = true
			c.ex.refuseBody(objectapi.Errorf("RequestTimeout", "The body of the request did not come in time."))
		}
	case uploading:
		c.ex.up.check(waited)
	case replying:
		if c.c.Pending() > 0 && waited > l.ClientBody.D() {
			c.c.Reset()
		}
	case lingering:
		if waited > lingerFor && c.c.Pending() == 0 || waited > l.ClientBody.D() {
			c.c.Close()
		}
	}
}

// ---- Answers that stream through.

// begin passes on the head of a node's answer.
func (t *transaction) begin(k *nodeConn, r *http1.Response) {
	b := t.appendHead(r.Status)
	b = appendNodeHeaders(b, r.Headers)
	switch {
	case !r.Chunked && !r.UntilClose:
		b = http1.AppendLength(b, r.Length)
	case t.minor == 1:
		t.chunked = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default: // HTTP/1.0: only the connection's end can end it
		t.close = true
	}
	b = append(b, "\r\n"...)
	t.conn.lane.scratch = b[:0]
	t.begun, t.from = true, k
	t.conn.set(replying)
	t.conn.c.Write(b)
}

// data passes on a piece of the body. It holds the node back while the client
// does not read.
func (t *transaction) data(p []byte) bool {
	c := t.conn.c
	if t.chunked {
		b := http1.AppendChunk(t.conn.lane.scratch[:0], p)
		t.conn.lane.scratch = b[:0]
		c.Write(b)
	} else {
		c.Write(p)
	}
	if c.Pending() == 0 {
		t.conn.since = t.conn.lane.now()
	}
	if c.Pending() == 0 {
		return true
	}
	t.heldUp = true
	t.stall.begin(t.at())
	return false
}

// streamEnded ends an answer that streamed through; cut tells that it is not whole,
// which the client must see.
func (t *transaction) streamEnded(cut bool) {
	if t.ended {
		return
	}
	if cut {
		t.status, t.outcome = 0, attribution.Aborted
		t.settle()
		t.book()
		t.conn.c.Reset()
		return
	}
	if t.chunked {
		t.conn.c.Write([]byte(http1.LastChunk))
	}
	t.finish()
}

// appendNodeHeaders passes on what a node says of its answer, without what belongs
// to its connection or to the gateway.
func appendNodeHeaders(b []byte, hs http1.Headers) []byte {
	for _, h := range hs {
		if ownHeader(h.Name) {
			continue
		}
		b = append(b, h.Name...)
		b = append(b, ": "...)
		b = append(b, h.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

func ownHeader(name []byte) bool {
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
