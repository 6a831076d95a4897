package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"chalkstand/attribution"
	"chalkstand/dispatch"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/payload"
)

// noBucketVolume stands for the volume of operations without a bucket, at the dispatcher and in
// attribution.
const noBucketVolume = "/"

// transaction is one client request with its response.
type transaction struct {
	conn     *clientConn
	id       string // request ID of the object API
	started  time.Time
	op       objectapi.Operation
	resource string // path, for error documents
	method   string
	volume   *volume // nil: the operation has no bucket
	key      *accessKey

	body         *payload.Body      // nil: the request has none
	buffered     []byte             // the body, unless it is streamed
	onBody       func(*transaction) // is called when the body is buffered
	upload       *upload            // of a streamed body
	nodeRequests []*nodeRequest

	httpMinor       int       // minor version of HTTP/1
	status          int       // of the response
	streamingFrom   *nodeConn // of a streamed response
	headOnly        bool      // the response has no body
	continuePending bool      // 100 Continue is to be sent before the body is read
	closeConn       bool      // the connection is closed after the response
	bodyComplete    bool      // the request's body has been read
	headersSent     bool      // of the response
	responded       bool      // the response is complete, or none is to come
	chunkedResponse bool      // chunked transfer coding

	span         attribution.ClientSpan
	clientStall  stopwatch // while the client does not read the response
	openRequests int       // node requests that are not attributed
	outcome      attribution.Outcome
	usedNodes    bool
	wasStalled   bool // by the client, at least once
	clientGone   bool // before the response was complete
	attributed   bool // the span has ended
}

// newTransaction starts a transaction on the connection.
func (c *clientConn) newTransaction() *transaction {
	w := c.worker
	c.endPreviousSpan() // a client that sends a request has received the previous response
	t := &transaction{conn: c, started: time.Now(), id: requestID(w.gateway.nextID.Add(1))}
	c.current = t
	t.startSpan()
	w.gateway.inFlight.Add(1)
	c.setState(stateWaiting)
	return t
}

// requestID returns n as 16 hexadecimal digits.
func requestID(n uint64) string {
	const digits = "0123456789ABCDEF"
	var b [16]byte
	for i := range b {
		b[15-i] = digits[n&15]
		n >>= 4
	}
	return string(b[:])
}

// startNodeRequest starts a request to a node for this transaction.
func (t *transaction) startNodeRequest(r *nodeRequest, d dispatch.Request) {
	if t.volume != nil {
		r.volumeRate = t.volume.rate
	}
	t.nodeRequests = append(t.nodeRequests, r)
	r.transaction = t
	t.usedNodes = true
	t.openRequests++
	if t.conn.state == stateReading || t.conn.state == stateBufferingBody {
		t.conn.setState(stateWaiting)
	}
	t.conn.worker.startRequest(r, d)
}

// removeNodeRequest removes a node request that has its result.
func (t *transaction) removeNodeRequest(r *nodeRequest) {
	t.nodeRequests = slices.DeleteFunc(t.nodeRequests, func(x *nodeRequest) bool { return x == r })
}

// cancelNodeRequests cancels the transaction's node requests.
func (t *transaction) cancelNodeRequests() {
	for _, r := range t.nodeRequests {
		t.conn.worker.cancelRequest(r)
	}
	t.nodeRequests = nil
}

// markResponded counts and logs a transaction whose response is complete.
func (t *transaction) markResponded() {
	t.responded = true
	g := t.conn.worker.gateway
	g.inFlight.Add(-1)
	g.metrics.requestCompleted(t)
	g.logAccess(t)
}

// finish ends a transaction whose response has been written, and goes on to the next request.
func (t *transaction) finish() {
	if t.responded {
		return
	}
	t.markResponded()
	t.endSpanWhenDelivered()
	c := t.conn
	t.nodeRequests = nil
	t.streamingFrom = nil
	t.upload = nil
	c.current = nil
	if t.closeConn || c.worker.gateway.draining.Load() {
		c.setState(stateLingering)
		c.closeAfterResponse()
		return
	}
	c.setState(stateReading)
	c.conn.Resume()
	c.conn.Redeliver()
}

// logAccess writes the access log's line for a transaction.
func (g *Gateway) logAccess(t *transaction) {
	if !g.cfg.Log.Access {
		return
	}
	g.log.Info("request",
		zap.String("id", t.id),
		zap.Stringer("op", t.op.Kind),
		zap.String("bucket", t.op.Bucket),
		zap.String("key", t.op.Key),
		zap.Int("status", t.status),
		zap.Duration("took", time.Since(t.started)))
}
