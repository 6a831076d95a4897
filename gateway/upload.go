package gateway

import (
	"time"

	"chalkstand/forwarder"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// upload streams the body of a client's request to a node. The gateway sends the last byte, or the last
// chunk, only after it has verified the whole body. A node therefore never holds a complete body that
// is invalid.
type upload struct {
	transaction *transaction
	request     *nodeRequest
	conn        *nodeConn // nil until the request's head has been sent
	chunked     bool      // the body is sent to the node in the chunked transfer coding
	trailer     string    // name of the trailer field with the checksum; empty if there is none
	heldByte    []byte    // the last byte of the body, held back until verification; unused if chunked
	streaming   bool      // the event BodyStreaming has been passed to the forwarder

	startedAt  time.Duration // when streaming started; 0 until then
	receivedAt time.Duration // when the last byte arrived from the client; 0 until then
	nodeStall  stopwatch     // sums the time during which the node does not read
}

// startBody starts to stream the client's body to the connection n. It implements bodySource.
func (u *upload) startBody(n *nodeConn) {
	u.conn = n
	c := u.transaction.conn
	u.startedAt = u.transaction.now()
	u.transaction.sendContinue()
	c.setState(stateUploading)
	c.conn.Resume()
	c.conn.Redeliver()
}

// bodyDrained resumes reading from the client once the kernel has accepted all bytes written to the
// node. It implements bodySource.
func (u *upload) bodyDrained() {
	if c := u.transaction.conn; c.state == stateUploading {
		c.lastProgress = c.worker.now()
		u.nodeStall.stop(u.transaction.now())
		c.conn.Resume()
	}
}

// connCarriesRequest reports whether the upload's node connection still carries the upload's request.
func (u *upload) connCarriesRequest() bool { return u.conn != nil && u.conn.request == u.request }

// feed decodes and verifies a part of the body as the client sent it, and forwards the result to the
// node. It returns the number of bytes consumed.
func (u *upload) feed(b []byte) int {
	t := u.transaction
	c := t.conn
	if !u.connCarriesRequest() { // the attempt has ended, and the request's result follows
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
	if u.connCarriesRequest() && u.conn.conn.BufferedOutput() > 0 {
		u.nodeStall.start(t.now())
		c.conn.Pause()
	}
	return used
}

// forward sends a decoded part of the body to the node. Unless the body is sent in chunks, it holds back
// the last byte of the body for finish.
func (u *upload) forward(p []byte) {
	if u.chunked {
		w := u.transaction.conn.worker
		b := http1.AppendChunk(w.scratch[:0], p)
		w.scratch = b[:0]
		u.conn.conn.Write(b)
		return
	}
	body := u.transaction.body
	if body.Received == body.Length {
		n := len(p) - 1
		u.heldByte = append(u.heldByte, p[n])
		p = p[:n]
	}
	if len(p) > 0 {
		u.conn.conn.Write(p)
	}
}

// finish sends the end of the body to the node after the whole body has been verified.
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

// abort aborts the node request because the client's body is invalid or has stalled.
func (u *upload) abort() {
	w := u.transaction.conn.worker
	w.moveToUnattributed(u.request)
	w.handle(forwarder.AbortRequest{ID: u.request.id})
}

// clientTime returns how long the upload has waited for the client's body, up to the time now. It leaves
// out the time during which the node did not read.
func (u *upload) clientTime(now time.Duration) time.Duration {
	if u.startedAt == 0 {
		return 0
	}
	if u.receivedAt > 0 {
		now = u.receivedAt
	}
	return max(0, now-u.startedAt-u.nodeStall.reset(now))
}

// checkTimeout enforces limits.client_body on the upload. If the node has stopped reading, it aborts the
// node's connection. If the client has stopped sending, it rejects the request. The parameter waited is
// the time since the last progress.
func (u *upload) checkTimeout(waited time.Duration) {
	t := u.transaction
	switch {
	case !u.connCarriesRequest() || waited <= t.conn.worker.gateway.cfg.Limits.ClientBody.D():
	case u.conn.conn.BufferedOutput() > 0:
		u.conn.abort()
	default:
		u.abort()
		t.closeConn = true
		t.rejectBody(objectapi.NewError(objectapi.CodeRequestTimeout,
			"Your socket connection to the server was not read from or written to within the timeout period."))
	}
}
