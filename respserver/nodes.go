package respserver

import (
	"net/netip"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/objectcommand"
)

var _ eventloop.ConnectHandler = (*nodeConn)(nil)

// nodeConn is a connection to a storage node. It carries at most one request at a time.
type nodeConn struct {
	server         *Server
	id             forwarder.ConnID
	conn           *eventloop.Conn
	dialDeadline   time.Duration
	connected      bool
	used           bool          // whether the connection has carried a request
	request        *request      // request in flight, or nil
	requestWritten bool          // whether the kernel has accepted the whole request
	value          []byte        // value in the reply that the forwarder is handling
	bufferedBytes  int           // bytes in the connection's buffers, as counted in the server's node bytes
	bufferedSince  time.Duration // time since which bufferedBytes has not been 0
}

// dial starts to open a connection to a node and reports a failure to the forwarder.
func (s *Server) dial(a forwarder.Dial) {
	addr, err := netip.ParseAddrPort(a.Addr)
	conn := &nodeConn{server: s, id: a.Conn, dialDeadline: s.now() + a.Timeout}
	if err == nil {
		conn.conn, err = s.loop.Connect(addr, conn)
	}
	if err != nil {
		s.handle(forwarder.DialCompleted{Conn: a.Conn})
		return
	}
	conn.conn.AssignFlow(s.flows.nodes)
	s.nodeConns[conn.id] = conn
	s.dials = append(s.dials, conn)
}

// expireDials closes the connections that are not established by their dial deadline.
func (s *Server) expireDials(now time.Duration) {
	for len(s.dials) > 0 {
		conn := s.dials[0]
		pending := !conn.connected && s.nodeConns[conn.id] == conn
		if pending && conn.dialDeadline > now {
			return
		}
		s.dials[0] = nil
		s.dials = s.dials[1:]
		if pending {
			delete(s.nodeConns, conn.id)
			conn.conn.Close()
			s.handle(forwarder.DialCompleted{Conn: conn.id})
		}
	}
}

// send writes a request to which the node must reply by the deadline. If the connection has received
// input since its last reply, send closes it instead of using it, because the server would mistake
// that input for the reply to this request.
func (c *nodeConn) send(req *request, deadline time.Duration) {
	s := c.server
	if c.used && !c.conn.NoUnreadInput() {
		c.closeLost(forwarder.ConnectionLost{Conn: c.id, Stale: true})
		return
	}
	if !s.confirmClient(req) {
		return
	}
	c.request = req
	c.used = true
	s.stats.attempts++
	s.writeBuffer = req.command.AppendTo(s.writeBuffer[:0], deadline-s.now())
	c.conn.Write(s.writeBuffer)
	c.requestWritten = c.conn.Open() && c.conn.BufferedOutput() == 0
	c.countBuffers(0)
	s.limitNodeBuffers()
}

// maxUnreadInput is the longest time for which a client's input may stay unread while attempts begin for
// its requests. The close of a client's connection becomes known only behind its unread input, and no
// attempt may begin later than 0.1 s after it.
const maxUnreadInput = 50 * time.Millisecond

// confirmClient reports whether an attempt of a request may begin, because its client is there. If the
// client has left, confirmClient closes its connection. If the client may have left behind unread input,
// confirmClient ends the request.
func (s *Server) confirmClient(req *request) bool {
	switch req.client.presence() {
	case eventloop.Absent:
		s.stats.canceledBeforeAttempt++
		req.client.conn.Close()
		return false
	case eventloop.Unknown:
		s.stats.rejectedUnreadInput++
		s.endUnconfirmed(req)
		return false
	}
	if !req.sent {
		req.sent = true
		s.recentIDs.add(req.command.ID)
	}
	return true
}

// presence says whether the client is known to be there. It is unknown while the server reads the client's
// input slowly to discard it.
func (cl *client) presence() eventloop.Presence {
	presence := cl.conn.PeerPresence(maxUnreadInput)
	if presence == eventloop.Present && cl.discarding {
		return eventloop.Unknown
	}
	return presence
}

// endUnconfirmed gives a request its final reply in place of an attempt. It rejects the request if no node
// has received it, and fails it otherwise.
func (s *Server) endUnconfirmed(req *request) {
	if req.sent {
		s.finish(req, s.failureReply(false))
	} else {
		s.finish(req, s.busyReply(s.cfg.Settings.Dispatch.DefaultRetryAfter()))
	}
	s.handle(forwarder.AbortRequest{ID: req.id})
}

// lostEvent returns the event that reports the loss of the connection with its request.
func (c *nodeConn) lostEvent() forwarder.ConnectionLost {
	return forwarder.ConnectionLost{Conn: c.id, Unsent: c.request != nil && !c.requestWritten}
}

// releaseBuffers records that the connection is closed and holds no buffers.
func (c *nodeConn) releaseBuffers() {
	c.server.nodeBytes -= c.bufferedBytes
	c.bufferedBytes = 0
}

// closeLost closes the connection and reports its loss to the forwarder.
func (c *nodeConn) closeLost(event forwarder.ConnectionLost) {
	delete(c.server.nodeConns, c.id)
	c.request = nil
	c.conn.Close()
	c.server.handle(event)
}

// OnOpen reports to the forwarder that the connection is established.
func (c *nodeConn) OnOpen(*eventloop.Conn) {
	c.connected = true
	c.server.handle(forwarder.DialCompleted{Conn: c.id, OK: true})
}

// OnData reads a reply and passes it to the forwarder when it is complete. OnData closes the
// connection on input without a request in flight and on input that is not a reply to an object
// command.
func (c *nodeConn) OnData(_ *eventloop.Conn, b []byte) int {
	s := c.server
	if c.request == nil {
		c.closeLost(forwarder.ConnectionLost{Conn: c.id})
		return 0
	}
	n, err := s.nodeReply.Read(b)
	if err != nil {
		c.closeLost(forwarder.ConnectionLost{Conn: c.id})
		return 0
	}
	if n == 0 {
		c.countBuffers(len(b))
		s.limitNodeBuffers()
		return 0
	}
	c.countBuffers(0)
	value, info, ok := objectcommand.ParseReply(&s.nodeReply)
	if !ok {
		c.closeLost(forwarder.ConnectionLost{Conn: c.id})
		return 0
	}
	reuse := n == len(b) && c.requestWritten && !c.conn.PeerClosed()
	if info.Result == dispatch.ServerError {
		reuse = false // the error may be garbage that happens to parse as an error reply
	}
	c.request = nil
	c.value = value
	s.handle(forwarder.ResponseCompleted{Conn: c.id, Info: info, Reuse: reuse})
	c.value = nil
	return n
}

// OnDrained records that the kernel has accepted the whole request.
func (c *nodeConn) OnDrained(*eventloop.Conn) {
	c.requestWritten = true
	c.countBuffers(0)
}

// OnClose reports the close of the connection to the forwarder, unless the server itself has closed the
// connection.
func (c *nodeConn) OnClose(*eventloop.Conn, error) {
	s := c.server
	c.releaseBuffers()
	if s.nodeConns[c.id] != c {
		return
	}
	delete(s.nodeConns, c.id)
	if !c.connected {
		s.handle(forwarder.DialCompleted{Conn: c.id})
		return
	}
	s.handle(c.lostEvent())
}
