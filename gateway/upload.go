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
	t       *transaction
	call    *call
	k       *nodeConn // nil until the forwarder has sent the request, and after its end
	chunked bool      // towards the node: the length or a checksum comes at the end
	trailer string    // the checksum's name, with chunked
	last    []byte    // held back
	flowing bool      // the forwarder was told that the body flows
	began   time.Duration
	taken   time.Duration // when the client had sent all; 0: not yet
	stall   stall         // by the node
}

// start begins to pass the body on.
func (u *upload) start(k *nodeConn) {
	u.k = k
	c := u.t.conn
	u.began = u.t.at()
	u.t.continueBody()
	c.set(uploading)
	c.c.Resume()
	c.c.Redeliver()
}

// drained goes on after the node has taken what was sent.
func (u *upload) drained() {
	if c := u.t.conn; c.state == uploading {
		c.since = c.lane.now()
		u.stall.end(u.t.at())
		c.c.Resume()
	}
}

// feed takes bytes that the client sent.
func (u *upload) feed(b []byte) int {
	t, c := u.t, u.t.conn
	if u.k == nil || u.k.call != u.call { // between the attempt's end and the answer
		c.c.Pause()
		return 0
	}
	used, done, err := t.body.Feed(b, u.pass)
	if err != nil {
		u.abandon()
		t.bodyFailed(err)
		return used
	}
	if done {
		u.finish()
		return used
	}
	if !u.flowing {
		u.flowing = true
		c.lane.tell(forwarder.BodyStreaming{ID: u.call.id})
	}
	if u.k != nil && u.k.call == u.call && u.k.c.Pending() > 0 {
		u.stall.begin(t.at())
		c.c.Pause()
	}
	return used
}

// fromClient is how long the body has come in at the client's pace, until now at
// most.
func (u *upload) fromClient(now time.Duration) time.Duration {
	if u.began == 0 {
		return 0
	}
	if u.taken > 0 {
		now = u.taken
	}
	return max(0, now-u.began-u.stall.take(now))
}

// abandon ends the request to the node: its body proved bad or stopped coming.
func (u *upload) abandon() {
	l := u.t.conn.lane
	l.leave(u.call)
	l.tell(forwarder.AbortRequest{ID: u.call.id})
}

func (u *upload) pass(p []byte) {
	if u.chunked {
		l := u.t.conn.lane
		b := http1.AppendChunk(l.scratch[:0], p)
		l.scratch = b[:0]
		u.k.c.Write(b)
		return
	}
	if u.t.body.Got == u.t.body.Length {
		n := len(p) - 1
		u.last = append(u.last, p[n])
		p = p[:n]
	}
	if len(p) > 0 {
		u.k.c.Write(p)
	}
}

// finish gives the node the end of a body that was found true.
func (u *upload) finish() {
	t := u.t
	t.whole = true
	u.taken = t.at()
	switch {
	case u.chunked && u.trailer != "":
		b := http1.AppendHeader([]byte("0\r\n"), u.trailer, t.body.Checksum.Value)
		u.k.c.Write(append(b, "\r\n"...))
	case u.chunked:
		u.k.c.Write([]byte(http1.LastChunk))
	default:
		u.k.c.Write(u.last)
	}
	t.conn.set(asking)
	u.k.sent()
}

// check looks for a client that has stopped sending, or a node that has stopped
// taking.
func (u *upload) check(waited time.Duration) {
	c := u.t.conn
	l := c.lane.g.cfg.Limits
	switch {
	case u.k == nil || u.k.call != u.call || waited <= l.ClientBody.D():
	case u.k.c.Pending() > 0:
		u.k.lose()
	default:
		u.abandon()
		u.t.close = true
		u.t.refuseBody(objectapi.Errorf("RequestTimeout", "Your socket connection to the server was not read from or written to within the timeout period."))
	}
}
