package gateway

import (
	"time"

	"chalkstand/forwarder"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// upload streams a client's body to a node. The node gets the last byte, or the end of the chunks, only
// when the whole body has been verified; so it never holds an invalid body that is complete.
type upload struct {
	transaction *transaction
	request     *nodeRequest
	conn        *nodeConn // nil until the request has been sent
	chunked     bool      // chunked transfer coding to the node
	trailer     string    // name of the checksum's trailer field; empty: none
	heldByte    []byte    // the last byte, unless chunked
	streaming   bool      // BodyStreaming has been reported

	startedAt  time.Duration // 0: not yet
	receivedAt time.Duration // when the client had sent all; 0: not yet
	nodeStall  stopwatch     // while the node does not read
}

// startBody starts to stream. It implements bodySource.
func (u *upload) startBody(n *nodeConn) {
	u.conn = n
	c := u.transaction.conn
	u.startedAt = u.transaction.now()
	u.transaction.sendContinue()
	c.setState(stateUploading)
	c.conn.Resume()
	c.conn.Redeliver()
}

// bodyDrained continues after the node has read what was sent. It implements bodySource.
func (u *upload) bodyDrained() {
	if c := u.transaction.conn; c.state == stateUploading {
		c.lastProgress = c.worker.now()
		u.nodeStall.stop(u.transaction.now())
		c.conn.Resume()
	}
}

// attached reports whether the connection still carries the upload's request.
func (u *upload) attached() bool { return u.conn != nil && u.conn.request == u.request }

// feed processes a part of the body as the client sent it, and returns the number of bytes consumed.
func (u *upload) feed(b []byte) int {
	t := u.transaction
	c := t.conn
	if !u.attached() { // the attempt has ended, and its result is to come
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
	if u.attached() && u.conn.conn.Pending() > 0 {
		u.nodeStall.start(t.now())
		c.conn.Pause()
	}
	return used
}

// forward sends a part of the body to the node, and keeps back the last byte unless chunked.
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

// finish sends the end of a body that has been verified.
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

// abort aborts the node request of a body that is invalid or has stalled.
func (u *upload) abort() {
	w := u.transaction.conn.worker
	w.moveToUnattributed(u.request)
	w.handle(forwarder.AbortRequest{ID: u.request.id})
}

// clientTime returns how long the body was read at the client's pace, until now at most.
func (u *upload) clientTime(now time.Duration) time.Duration {
	if u.startedAt == 0 {
		return 0
	}
	if u.receivedAt > 0 {
		now = u.receivedAt
	}
	return max(0, now-u.startedAt-u.nodeStall.reset(now))
}

// checkTimeout closes the connection of a node that has stopped reading, or rejects the body of a client
// that has stopped sending. waited is the time since the last progress.
func (u *upload) checkTimeout(waited time.Duration) {
	t := u.transaction
	switch {
	case !u.attached() || waited <= t.conn.worker.gateway.cfg.Limits.ClientBody.D():
	case u.conn.conn.Pending() > 0:
		u.conn.abort()
	default:
		u.abort()
		t.closeConn = true
		t.rejectBody(objectapi.NewError(objectapi.CodeRequestTimeout,
			"Your socket connection to the server was not read from or written to within the timeout period."))
	}
}
