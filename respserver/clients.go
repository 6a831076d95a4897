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

// Bounds of a client connection.
const (
	maxPipelined    = 64        // commands without a reply
	maxUnsentBytes  = 128 << 10 // of replies; beyond it no further command is read
	maxBadCommands  = 16        // commands replied to with an error; then the connection is closed
	minEvictionIdle = 50 * time.Millisecond
)

// Time-outs of a client connection.
const (
	silenceTimeout        = 2500 * time.Millisecond // without a byte, before the first command or within one
	partialCommandTimeout = 10 * time.Second        // from the first byte of a command to its last
	unreadReplyTimeout    = 10 * time.Second        // while the client does not read its replies
	clientIdleTimeout     = 2 * time.Second         // without an open request
	lingerTimeout         = 500 * time.Millisecond  // from the half-close to the close
)

var _ eventloop.PeerCloseHandler = (*client)(nil)

// client is a connection from a client. Its commands run concurrently; replies are written in the
// order of the commands.
type client struct {
	server       *Server
	conn         *eventloop.Conn
	pipeline     []*pendingReply // commands without a reply, the oldest first
	lastActivity time.Duration   // a command came or a reply was given
	lastReceived time.Duration   // the last bytes came
	sentCommand  bool            // a whole command has come
	partialSince time.Duration   // when the first byte of an incomplete command came; 0: there is none
	badCommands  int             // commands replied to with an error
	// draining: in a graceful shutdown, nothing more is read, and the connection is half-closed after
	// the last reply.
	draining      bool
	discarding    bool // no further command is started; what comes is discarded
	writeClosed   bool
	writeClosedAt time.Duration
}

// pendingReply is the place of a reply in a client's pipeline.
type pendingReply struct {
	request *request // nil: the command was replied to at once
	done    bool
	reply   []byte // while it waits for those before it
}

// accept takes over a new client connection. Idle ones are evicted from the high-water mark on; at
// the bound the new one is closed if none can be evicted.
func (s *Server) accept(fd int, _ unix.Sockaddr) {
	for len(s.clients) >= s.cfg.clientHighWaterMark() {
		if !s.evictIdleClient(minEvictionIdle) {
			break
		}
	}
	if len(s.clients) >= s.cfg.maxClientConns() && !s.evictIdleClient(0) {
		_ = unix.Close(fd) // nothing was read or written; the descriptor is released in any case
		return
	}
	now := s.now()
	cl := &client{server: s, lastActivity: now, lastReceived: now}
	conn, err := s.loop.Add(fd, cl)
	if err != nil {
		return // Add has closed fd
	}
	cl.conn = conn
	conn.AssignFlow(s.flows.clients)
	s.clients = append(s.clients, cl)
}

// evictIdleClient closes the idle connection that is first in the order of eviction and reports
// whether there was one. Connections that have sent a command within minIdle are left: a client
// that asks again would have to open another.
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

// evictedBefore reports whether cl is before other in the order of eviction: first connections that
// have never sent a command, then those without activity for the longest. other may be nil.
func (cl *client) evictedBefore(other *client) bool {
	if other == nil {
		return true
	}
	if cl.sentCommand != other.sentCommand {
		return !cl.sentCommand
	}
	return cl.lastActivity < other.lastActivity
}

// idle reports whether the connection can be closed without harm: no request is open, all replies
// have left, and there is no unread input, for which the kernel is asked last.
func (cl *client) idle() bool {
	return len(cl.pipeline) == 0 && cl.conn.Pending() == 0 && cl.conn.NoUnreadInput()
}

// OnData reads one command. Input that is discarded is read once per sweep: reading it at full speed
// would take the processor from other connections.
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
	if conn.Pending() > maxUnsentBytes {
		conn.Pause()
	}
	return n
}

// OnDrained resumes reading once all replies have left.
func (cl *client) OnDrained(conn *eventloop.Conn) {
	cl.lastActivity = cl.server.now()
	if cl.writeClosed {
		cl.writeClosedAt = cl.lastActivity
	}
	if conn.Paused() && !cl.discarding && !cl.draining {
		conn.Resume()
	}
}

// OnPeerClosed closes the connection of a client that has closed its side: its open requests are
// canceled. Where input is discarded the error reply may still be on its way.
func (cl *client) OnPeerClosed(conn *eventloop.Conn) {
	if !cl.discarding {
		conn.Close()
	}
}

// OnClose removes the client and cancels its open requests.
func (cl *client) OnClose(*eventloop.Conn, error) {
	s := cl.server
	s.removeClient(cl)
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

// removeClient takes a client out of the list, whose last entry takes its place.
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

// execute runs a command.
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

// startRequest starts the request of an object command, or replies BUSY beyond the bounds on open
// requests and retained bytes.
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
	if len(cl.pipeline) >= maxPipelined || s.retainedBytes+size > s.maxRetainedBytes {
		cl.reply(s.busyReply(s.cfg.Settings.Dispatch.MaxRetryAfter))
		return
	}
	req := s.addRequest(cl, command, size)
	cl.pipeline = append(cl.pipeline, req.reply)
	s.handle(forwarder.StartRequest{Request: req.command.Request})
}

// rejectCommand replies with an error to a command that is well-formed RESP and can't be executed.
// The connection is closed after maxBadCommands of them.
func (cl *client) rejectCommand(text string) {
	cl.badCommands++
	if cl.badCommands >= maxBadCommands {
		cl.closeWithError(text)
		return
	}
	cl.replyLine(resp.ErrorReply, text)
}

// closeWithError replies with an error, behind the replies that are still owed, and closes the
// connection after it. What comes from here on is discarded.
func (cl *client) closeWithError(text string) {
	cl.replyLine(resp.ErrorReply, text)
	cl.discarding = true
	cl.conn.Pause()
	cl.closeWriteIfDone()
}

// drain closes the connection once all commands that were read are replied to. Further commands are
// not started: the client sends them again on another connection.
func (cl *client) drain() {
	cl.draining = true
	cl.conn.Pause()
	cl.closeWriteIfDone()
}

// replyLine replies to the last command with a line.
func (cl *client) replyLine(kind resp.Kind, text string) {
	s := cl.server
	s.writeBuffer = resp.AppendLine(s.writeBuffer[:0], kind, text)
	cl.reply(s.writeBuffer)
}

// reply replies to the last command, behind the replies to those before it.
func (cl *client) reply(b []byte) {
	if len(cl.pipeline) == 0 {
		cl.conn.Write(b)
		return
	}
	pending := &pendingReply{}
	cl.pipeline = append(cl.pipeline, pending)
	cl.completeReply(pending, b)
}

// completeReply fills the place of a reply. The replies at the head of the pipeline are written; a
// reply that has to wait is copied.
func (cl *client) completeReply(pending *pendingReply, b []byte) {
	pending.done = true
	if len(cl.pipeline) == 0 || !cl.conn.Open() {
		return // the client has disconnected, or a write has failed: OnClose clears the pipeline
	}
	s := cl.server
	cl.lastActivity = s.now()
	if cl.pipeline[0] != pending {
		pending.reply = slices.Clone(b)
		s.retainedBytes += len(b)
		return
	}
	cl.conn.Write(b)
	cl.pipeline = cl.pipeline[1:]
	for len(cl.pipeline) > 0 && cl.pipeline[0].done {
		head := cl.pipeline[0]
		cl.pipeline = cl.pipeline[1:]
		s.retainedBytes -= len(head.reply)
		cl.conn.Write(head.reply)
	}
	if len(cl.pipeline) == 0 {
		cl.pipeline = nil
	}
	cl.closeWriteIfDone()
}

// closeWriteIfDone half-closes a connection on which no further command is started, once all
// replies are given. The read side stays open for lingerTimeout and its input is discarded: a close
// over unread bytes resets the connection, which destroys replies on their way.
func (cl *client) closeWriteIfDone() {
	closing := cl.discarding || cl.draining
	if !closing || len(cl.pipeline) > 0 || cl.writeClosed {
		return
	}
	cl.discarding = true
	cl.writeClosed = true
	cl.writeClosedAt = cl.server.now()
	cl.conn.CloseWrite()
}

// sweepClients closes the connections whose time is over and reads input that is discarded.
func (s *Server) sweepClients(now time.Duration) {
	for _, cl := range slices.Clone(s.clients) {
		if cl.expired(now) {
			cl.conn.Close()
		} else if cl.discarding {
			cl.conn.Resume()
		}
	}
}

// expired reports whether one of the connection's time-outs has passed.
func (cl *client) expired(now time.Duration) bool {
	unsent := cl.conn.Pending() > 0
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
