package gateway

import (
	"chalkstand/forwarder"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"time"
)

// upload passes a client's body through to a node as it comes. The node gets the
// last byte, or the end of the chunks, only when the whole body was found true:
// what proves bad is never whole at the node, which throws it away.
type upload struct {
	transaction *transaction
	request     *nodeRequest
	conn        *nodeConn // nil until the forwarder has sent the request, and after its end
	chunked     bool      // towards the node: the length or a checksum comes at the end
	trailer     string    // the checksum's name, with chunked
	heldByte    []byte    // held back
	streaming   bool      // the forwarder was told that the body flows
	startedAt   time.Duration
	receivedAt  time.Duration // when the client had sent all; 0: not yet
	nodeStall   stopwatch     // by the node
}

// startBody begins to pass the body on.
func (u *upload) startBody(k *nodeConn) {
	u.conn = k
	c := u.transaction.conn
	u.startedAt = u.transaction.now()
	u.transaction.sendContinue()
	c.setState(stateUploading)
	c.conn.Resume()
	c.conn.Redeliver()
}

// bodyDrained goes on after the node has taken what was sent.
func (u *upload) bodyDrained() {
	if c := u.transaction.conn; c.state == stateUploading {
		c.lastProgress = c.worker.now()
		u.nodeStall.stop(u.transaction.now())
		c.conn.Resume()
	}
}

// feed takes bytes that the client sent.
func (u *upload) feed(b []byte) int {
	t, c := u.transaction, u.transaction.conn
	if u.conn == nil || u.conn.request != u.request { // between the attempt's end and the answer
		c.conn.Pause()
		return 0
	}
	used, done, err := t.body.Feed(b, u.forward)
	if err != nil {
		u.abort()
		t.rejectInvalidBody(err)
		return used
	}
	if done {
		u.finish()
		return used
	}
	if !u.streaming {
		u.streaming = true
		c.worker.handle(forwarder.BodyStreaming{ID: u.request.id})
	}
	if u.conn != nil && u.conn.request == u.request && u.conn.conn.Pending() > 0 {
		u.nodeStall.start(t.now())
		c.conn.Pause()
	}
	return used
}

// clientTime is how long the body has come in at the client's pace, until now at
// most.
func (u *upload) clientTime(now time.Duration) time.Duration {
	if u.startedAt == 0 {
		return 0
	}
	if u.receivedAt > 0 {
		now = u.receivedAt
	}
	return max(0, now-u.startedAt-u.nodeStall.take(now))
}

// abort ends the request to the node: its body proved bad or stopped coming.
func (u *upload) abort() {
	l := u.transaction.conn.worker
	l.forget(u.request)
	l.handle(forwarder.AbortRequest{ID: u.request.id})
}

func (u *upload) forward(p []byte) {
	if u.chunked {
		l := u.transaction.conn.worker
		b := http1.AppendChunk(l.scratch[:0], p)
		l.scratch = b[:0]
		u.conn.conn.Write(b)
		return
	}
	if u.transaction.body.Got == u.transaction.body.Length {
		n := len(p) - 1
		u.heldByte = append(u.heldByte, p[n])
		p = p[:n]
	}
	if len(p) > 0 {
		u.conn.conn.Write(p)
	}
}

// finish gives the node the end of a body that was found true.
func (u *upload) finish() {
	t := u.transaction
	t.bodyComplete = true
	u.receivedAt = t.now()
	switch {
	case u.chunked && u.trailer != "":
		b := http1.AppendHeader([]byte("0\r\n"), u.trailer, t.body.Checksum.Value)
		u.conn.conn.Write(append(b, "\r\n"...))
	case u.chunked:
		u.conn.conn.Write([]byte(http1.LastChunk))
	default:
		u.conn.conn.Write(u.heldByte)
	}
	t.conn.setState(stateWaiting)
	u.conn.bodySent()
}

// checkTimeout looks for a client that has stopped sending, or a node that has stopped
// taking.
func (u *upload) checkTimeout(waited time.Duration) {
	c := u.transaction.conn
	l := c.worker.gateway.cfg.Limits
	switch {
	case u.conn == nil || u.conn.request != u.request || waited <= l.ClientBody.D():
	case u.conn.conn.Pending() > 0:
		u.conn.abort()
	default:
		u.abort()
		u.transaction.closeConn = true
		u.transaction.rejectBody(objectapi.Errorf("RequestTimeout", "Your socket connection to the server was not read from or written to within the timeout period."))
	}
}
