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
	maxPipelined     = 64        // the server rejects further object commands while its pipeline has this many entries
	maxUnsentBytes   = 128 << 10 // the server reads no further command while more bytes of replies are unsent
	clientSendBuffer = 64 << 10  // bytes of replies that the kernel buffers; Linux doubles the number
	maxBadCommands   = 16        // the server closes the connection after this many error replies to commands
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
	server        *Server
	conn          *eventloop.Conn
	pipeline      []*pendingReply // replies that are open or wait for an open one, oldest first
	partialBytes  int             // bytes of an incomplete command, as counted in the server's partial bytes
	retainedBytes int             // the client's part of the server's retained bytes
	unsentBytes   int             // bytes of replies that the kernel has not accepted, as counted in the server's unsent bytes
	heldBytes     int             // bytes of the pipeline's replies to commands that started no request
	lastActivity  time.Duration   // time of the last command received or reply completed
	lastReceived  time.Duration   // time at which the last bytes arrived
	sentCommand   bool            // whether the client has sent at least one whole command
	partialSince  time.Duration   // arrival time of the first byte of an incomplete command; 0 if there is none
	badCommands   int             // number of commands that received an error reply
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
	if len(s.clients) >= s.cfg.maxClientConns() && !s.evictClient() {
		_ = unix.Close(fd) // Linux releases the descriptor even if close fails, and no data is lost
		s.stats.refusedAtLimit++
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
	conn.SetSendBuffer(clientSendBuffer)
	conn.SetMaxRead(s.limits.clientRead)
	conn.CoalesceWrites()
	s.clients = append(s.clients, cl)
	s.stats.accepted++
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
		s.stats.protocolErrors++
		cl.endPartialCommand()
		cl.closeWithError("ERR Protocol error: " + err.Error())
		return len(b)
	}
	if n == 0 {
		return cl.awaitRest(b)
	}
	s.args = args[:0]
	cl.sentCommand = true
	cl.endPartialCommand()
	cl.lastActivity = cl.lastReceived
	cl.execute(args)
	if cl.repliesPending() {
		conn.Pause()
	}
	return n
}

// awaitRest keeps an incomplete command until the rest arrives, and returns how many of its bytes the
// connection does not need to keep. It may reject incomplete commands, this one among them, if all
// together need too much memory.
func (cl *client) awaitRest(b []byte) int {
	if cl.partialSince == 0 {
		cl.partialSince = cl.lastReceived
	}
	cl.setPartialBytes(len(b))
	// A larger read saves work for a large command, and it leaves no later commands in the buffer.
	cl.conn.SetMaxRead(min(max(resp.Missing(b), cl.server.limits.clientRead), eventloop.ReadSize))
	cl.server.limitPartialCommands(cl)
	if cl.discarding {
		return len(b)
	}
	return 0
}

// endPartialCommand records that the connection holds no incomplete command.
func (cl *client) endPartialCommand() {
	if cl.partialSince > 0 {
		cl.conn.SetMaxRead(cl.server.limits.clientRead)
	}
	cl.partialSince = 0
	cl.setPartialBytes(0)
}

// rejectPartialCommand rejects the incomplete command that the connection holds, and reads no further
// command from it. No node has received the command, so a retry is harmless.
func (cl *client) rejectPartialCommand(retryAfter time.Duration) {
	cl.endPartialCommand()
	cl.reply(cl.server.busyReply(retryAfter))
	cl.discardInput()
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
// open requests. It keeps a connection without open requests whose input is discarded, because the last
// reply may still be in transit.
func (cl *client) OnPeerClosed(conn *eventloop.Conn) {
	if !cl.discarding || len(cl.pipeline) > 0 {
		conn.Close()
	}
}

// OnClose unregisters the client and cancels its open requests.
func (cl *client) OnClose(*eventloop.Conn, error) {
	s := cl.server
	s.removeClient(cl)
	cl.countUnsentBytes() // a closed connection has no unsent bytes
	cl.endPartialCommand()
	unanswered := cl.pipeline
	cl.pipeline = nil
	if len(unanswered) > 0 {
		s.stats.clientsLeft++
	}
	for _, pending := range unanswered {
		if pending.done {
			cl.retain(-len(pending.reply))
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
	if s.requestsByClientID[string(command.ID)] != nil || s.recentIDs.contains(command.ID) {
		s.stats.rejectedRepeatedID++
		cl.rejectCommand("ERR id: expected a new one, got that of an open or earlier request")
		return
	}
	size := len(command.Piece) + len(command.ID) + len(command.Fields) + len(command.Body)
	if s.rejecting || !cl.admits(size) {
		cl.reply(s.busyReply(s.cfg.Settings.Dispatch.DefaultRetryAfter()))
		return
	}
	s.stats.started++
	req := s.addRequest(cl, command, size)
	cl.pipeline = append(cl.pipeline, req.reply)
	s.handle(forwarder.StartRequest{Request: req.command.Request})
}

// admits reports whether the client's pipeline and the server's memory have room for a request whose
// arguments have the given size.
func (cl *client) admits(size int) bool {
	switch {
	case len(cl.pipeline) >= maxPipelined:
		cl.server.stats.rejectedPipelineFull++
		return false
	case cl.exceedsMemory(size):
		cl.server.stats.rejectedMemory++
		return false
	}
	return true
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
	cl.discardInput()
}

// discardInput makes the server discard all further input of the client and close the connection after
// the last reply.
func (cl *client) discardInput() {
	cl.discarding = true
	cl.conn.SetMaxRead(eventloop.ReadSize) // the connection keeps nothing of what it reads
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
			s.stats.timedOut++
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
