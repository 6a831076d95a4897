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

// noBucketVolume is the volume name that the dispatcher and latency attribution use for operations
// without a bucket, such as ListBuckets.
const noBucketVolume = "/"

// transaction is one client request and its response.
type transaction struct {
	conn     *clientConn
	id       string // the request ID that the client receives in x-amz-request-id
	started  time.Time
	op       objectapi.Operation
	resource string // the request's path, which error documents repeat
	method   string
	volume   *volume // nil if the operation has no bucket
	key      *accessKey

	body         *payload.Body      // decodes the request body; nil if the request has none
	bodyMemory   int                // size of the buffer of the body, as counted in the worker's body memory
	buffered     []byte             // the decoded request body, unless the body is streamed
	onBody       func(*transaction) // called once the whole request body is buffered
	upload       *upload            // streams the request body to a node; nil if the body is buffered
	nodeRequests []*nodeRequest

	httpMinor       int       // minor version of HTTP/1 that the client uses
	status          int       // status of the response; 0 if the response was aborted
	streamingFrom   *nodeConn // the node connection whose response is streamed to the client
	headOnly        bool      // the response has no body, because the method is HEAD
	continuePending bool      // the client waits for 100 Continue before it sends the body
	closeConn       bool      // the gateway closes the connection after the response
	bodyComplete    bool      // the whole request body has been read
	headersSent     bool      // the response's head has been written
	responded       bool      // the response is complete, or the transaction ended without one
	chunkedResponse bool      // the response uses the chunked transfer coding

	span         attribution.ClientSpan
	clientStall  stopwatch // sums the time during which the client does not read the response
	openRequests int       // number of node requests whose attribution has not arrived
	outcome      attribution.Outcome
	usedNodes    bool // the transaction has started a node request
	wasStalled   bool // the client has stopped reading the response at least once
	clientGone   bool // the client disconnected before the response was complete
	attributed   bool // the span has ended
}

// newTransaction starts a transaction on the connection and makes it the current one.
func (c *clientConn) newTransaction() *transaction {
	w := c.worker
	c.endPreviousSpan() // the client sends a new request, so it has received the previous response
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

// startNodeRequest starts a request to a node on behalf of this transaction.
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

// removeNodeRequest removes a node request that has received its result.
func (t *transaction) removeNodeRequest(r *nodeRequest) {
	t.nodeRequests = slices.DeleteFunc(t.nodeRequests, func(x *nodeRequest) bool { return x == r })
}

// cancelNodeRequests cancels all node requests of the transaction.
func (t *transaction) cancelNodeRequests() {
	for _, r := range t.nodeRequests {
		t.conn.worker.cancelRequest(r)
	}
	t.nodeRequests = nil
}

// markResponded marks the transaction's response as complete or aborted, counts the transaction in
// the metrics, and writes it to the access log.
func (t *transaction) markResponded() {
	t.responded = true
	t.reserveBody(0)
	g := t.conn.worker.gateway
	g.inFlight.Add(-1)
	g.metrics.requestCompleted(t)
	g.logAccess(t)
}

// finish ends a transaction after its response has been written. The connection then reads the next
// request, or closes if the response has announced it.
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
	if t.closeConn {
		c.setState(stateLingering)
		c.closeAfterResponse()
		return
	}
	c.setState(stateReading)
	c.conn.Resume()
	c.conn.Redeliver()
}

// logAccess writes the access log line of a transaction, if the access log is on.
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
