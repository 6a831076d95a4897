package respserver

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/objectcommand"
	"chalkstand/internal/resp"
)

// These constants bound what one client connection may use.
const (
	maxPipelined    = 64        // the server rejects further object commands while its pipeline has this many entries
	maxUnsentBytes  = 128 << 10 // the server reads no further command while more bytes of replies are unsent
	maxBadCommands  = 16        // the server closes the connection after this many error replies to commands
	minEvictionIdle = 50 * time.Millisecond
)

// These timeouts apply to each client connection.
const (
	silenceTimeout        = 2500 * time.Millisecond // maximum silence before the first command or within a command
	partialCommandTimeout = 10 * time.Second        // maximum time from the first byte of a command to its last
	unreadReplyTimeout    = 10 * time.Second        // maximum time during which the client reads none of its replies
	clientIdleTimeout     = 2 * time.Second         // maximum time without an open request
	lingerTimeout         = 500 * time.Millisecond  // time from the half-close of a connection to its close
)

var _ eventloop.PeerCloseHandler = (*client)(nil)

// client is a connection from a client. The server runs the commands of a client concurrently and
// writes their replies in the order of the commands.
type client struct {
	server       *Server
	conn         *eventloop.Conn
	pipeline     []*pendingReply // replies that are open or wait for an open one, oldest first
	unsentBytes  int             // bytes of replies that the kernel has not accepted, as counted in the server's unsent bytes
	heldBytes    int             // bytes of the pipeline's replies to commands that started no request
	lastActivity time.Duration   // time of the last command received or reply completed
	lastReceived time.Duration   // time at which the last bytes arrived
	sentCommand  bool            // whether the client has sent at least one whole command
	partialSince time.Duration   // arrival time of the first byte of an incomplete command; 0 if there is none
	badCommands  int             // number of commands that received an error reply
	// draining is set in a graceful shutdown. The server then reads no further command from the
	// connection and half-closes it after the last reply.
	draining      bool
	discarding    bool // the server starts no further command and discards all input
	writeClosed   bool
	writeClosedAt time.Duration
}

// accept takes over a new client connection. At or above the high-water mark, accept first evicts
// idle connections. At the connection limit, it closes the new connection if it can evict no other.
func (s *Server) accept(fd int, _ unix.Sockaddr) {
	for len(s.clients) >= s.cfg.clientHighWaterMark() {
		if !s.evictIdleClient(minEvictionIdle) {
			break
		}
	}
	if len(s.clients) >= s.cfg.maxClientConns() && !s.evictIdleClient(0) {
		_ = unix.Close(fd) // Linux releases the descriptor even if close fails, and no data is lost
		return
	}
	now := s.now()
	cl := &client{server: s, lastActivity: now, lastReceived: now}
	conn, err := s.loop.Add(fd, cl)
	if err != nil {
		return // Loop.Add closes fd when it fails
	}
	cl.conn = conn
	conn.AssignFlow(s.flows.clients)
	s.clients = append(s.clients, cl)
}

// evictIdleClient closes the idle connection that is first in the order of eviction and reports
// whether it found one. It spares connections whose last activity is less than minIdle ago if they
// have sent a command, because their clients would have to reconnect for the next command.
func (s *Server) evictIdleClient(minIdle time.Duration) bool {
	var victim *client
	now := s.now()
	for _, cl := range s.clients {
		recent := cl.sentCommand && now-cl.lastActivity < minIdle
		if !recent && cl.evictedBefore(victim) && cl.idle() {
			victim = cl
		}
	}
	if victim == nil {
		return false
	}
	victim.conn.Close()
	return true
}

// evictedBefore reports whether cl precedes other in the order of eviction. Connections that have
// never sent a command come first. Otherwise the connection with the oldest activity comes first.
// other may be nil.
func (cl *client) evictedBefore(other *client) bool {
	if other == nil {
		return true
	}
	if cl.sentCommand != other.sentCommand {
		return !cl.sentCommand
	}
	return cl.lastActivity < other.lastActivity
}

// idle reports whether the server can close the connection without harm. An idle connection has no
// open request, no unsent reply and no unread input. The check for unread input is the last one
// because it needs a system call.
func (cl *client) idle() bool {
	return len(cl.pipeline) == 0 && cl.conn.BufferedOutput() == 0 && cl.conn.NoUnreadInput()
}

// OnData reads one command. If the client's input is discarded, OnData drops the bytes and pauses the
// connection until the next sweep, because reading at full speed would take CPU time from other
// connections.
func (cl *client) OnData(conn *eventloop.Conn, b []byte) int {
	s := cl.server
	cl.lastReceived = s.now()
	if cl.discarding {
		conn.Pause()
		return len(b)
	}
	args, n, err := resp.Command(b, s.args[:0])
	if err != nil {
		cl.closeWithError("ERR Protocol error: " + err.Error())
		return len(b)
	}
	if n == 0 {
		if cl.partialSince == 0 {
			cl.partialSince = cl.lastReceived
		}
		return 0
	}
	s.args = args[:0]
	cl.sentCommand = true
	cl.partialSince = 0
	cl.lastActivity = cl.lastReceived
	cl.execute(args)
	if cl.repliesPending() {
		conn.Pause()
	}
	return n
}

// OnDrained resumes reading after the kernel has accepted all replies.
func (cl *client) OnDrained(*eventloop.Conn) {
	cl.lastActivity = cl.server.now()
	cl.countUnsentBytes()
	if cl.writeClosed {
		cl.writeClosedAt = cl.lastActivity
	}
	cl.resumeReading()
}

// OnPeerClosed closes the connection when the client has closed its side, which cancels the client's
// open requests. It keeps a connection whose input is discarded, because the last reply may still be
// in transit.
func (cl *client) OnPeerClosed(conn *eventloop.Conn) {
	if !cl.discarding {
		conn.Close()
	}
}

// OnClose unregisters the client and cancels its open requests.
func (cl *client) OnClose(*eventloop.Conn, error) {
	s := cl.server
	s.removeClient(cl)
	cl.countUnsentBytes() // a closed connection has no unsent bytes
	unanswered := cl.pipeline
	cl.pipeline = nil
	for _, pending := range unanswered {
		if pending.done {
			s.retainedBytes -= len(pending.reply)
			continue
		}
		s.removeRequest(pending.request)
		s.handle(forwarder.ClientCanceled{ID: pending.request.id})
	}
}

// removeClient removes a client from the list and moves the last entry into its place.
func (s *Server) removeClient(cl *client) {
	i := slices.Index(s.clients, cl)
	if i < 0 {
		return
	}
	last := len(s.clients) - 1
	s.clients[i] = s.clients[last]
	s.clients[last] = nil
	s.clients = s.clients[:last]
}

// execute starts the request of an object command and replies to any other command at once.
func (cl *client) execute(args [][]byte) {
	switch name := args[0]; {
	case objectcommand.IsObjectCommand(name):
		cl.startRequest(args)
	case objectcommand.HasName(name, "PING"):
		cl.replyLine(resp.SimpleString, "PONG")
	case objectcommand.HasName(name, "CLIENT"), objectcommand.HasName(name, "SELECT"):
		cl.replyLine(resp.SimpleString, "OK")
	default:
		cl.rejectCommand("ERR unknown command: expected OBJ.GET, OBJ.PUT or PING")
	}
}

// startRequest starts the request of an object command. It replies BUSY if the client's pipeline is
// full, if the server would retain too many bytes or if a graceful shutdown is about to end.
func (cl *client) startRequest(args [][]byte) {
	s := cl.server
	command, err := s.schema.Parse(args)
	if err != nil {
		cl.rejectCommand("ERR " + err.Error())
		return
	}
	if s.requestsByClientID[string(command.ID)] != nil {
		cl.rejectCommand("ERR id: expected a new one, got that of an open request")
		return
	}
	size := len(command.Piece) + len(command.ID) + len(command.Fields) + len(command.Body)
	if s.rejecting || len(cl.pipeline) >= maxPipelined || s.exceedsMemory(size) {
		cl.reply(s.busyReply(s.cfg.Settings.Dispatch.MaxRetryAfter))
		return
	}
	req := s.addRequest(cl, command, size)
	cl.pipeline = append(cl.pipeline, req.reply)
	s.handle(forwarder.StartRequest{Request: req.command.Request})
}

// rejectCommand sends an error reply to a command that is well-formed RESP but cannot be executed.
// It closes the connection after maxBadCommands such commands.
func (cl *client) rejectCommand(text string) {
	cl.badCommands++
	if cl.badCommands >= maxBadCommands {
		cl.closeWithError(text)
		return
	}
	cl.replyLine(resp.ErrorReply, text)
}

// closeWithError sends an error reply after all pending replies and then closes the connection. The
// server discards all further input of the client.
func (cl *client) closeWithError(text string) {
	cl.replyLine(resp.ErrorReply, text)
	cl.discarding = true
	cl.conn.Pause()
	cl.closeWriteIfDone()
}

// drain closes the connection after the server has replied to all commands that it has read. The
// server starts no further command. The client sends such a command again on another connection.
func (cl *client) drain() {
	cl.draining = true
	cl.conn.Pause()
	cl.closeWriteIfDone()
}

// sweepClients closes the client connections that have reached a timeout. It resumes the connections
// whose input is discarded, so that each of them is read once per sweep.
func (s *Server) sweepClients(now time.Duration) {
	for _, cl := range slices.Clone(s.clients) {
		cl.countUnsentBytes()
		if cl.expired(now) {
			cl.conn.Close()
		} else if cl.discarding {
			cl.conn.Resume()
		}
	}
}

// expired reports whether the connection has reached one of its timeouts.
func (cl *client) expired(now time.Duration) bool {
	unsent := cl.conn.BufferedOutput() > 0
	switch {
	case unsent && now-cl.lastActivity > unreadReplyTimeout && len(cl.pipeline) == 0:
		return true
	case cl.writeClosed:
		return !unsent && now-cl.writeClosedAt > lingerTimeout
	case cl.discarding || cl.draining || len(cl.pipeline) > 0:
		return false
	case cl.partialSince > 0:
		return now-cl.lastReceived > silenceTimeout || now-cl.partialSince > partialCommandTimeout
	case !cl.sentCommand:
		return now-cl.lastReceived > silenceTimeout
	}
	return now-cl.lastActivity > clientIdleTimeout && cl.idle()
}
