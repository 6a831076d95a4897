package respserver

import (
	"slices"

	"chalkstand/internal/resp"
)

// maxHeldBytes bounds the replies to commands that start no request, such as PING, while they wait for
// the reply to an earlier request. The server reads no further command from a connection that holds
// more bytes of them, so that TCP flow control stops the client.
const maxHeldBytes = 16 << 10

// memoryFailure is the reply that takes the place of a reply for which the server has no memory.
const memoryFailure = "-ERR failed: too many replies wait for earlier ones\r\n"

// pendingReply is an entry of a client's pipeline. It reserves the place of the reply to a request, or
// it holds the replies to the commands between two requests.
type pendingReply struct {
	request *request // nil if the entry holds replies to commands that started no request
	done    bool
	reply   []byte // the completed replies while they wait for earlier replies
}

// replyLine replies to the last command with a one-line RESP value.
func (cl *client) replyLine(kind resp.Kind, text string) {
	s := cl.server
	s.writeBuffer = resp.AppendLine(s.writeBuffer[:0], kind, text)
	cl.reply(s.writeBuffer)
}

// reply replies to the last command, which has started no request. The reply is sent after the replies
// to all earlier commands. Consecutive replies share an entry of the pipeline.
func (cl *client) reply(b []byte) {
	if !cl.conn.Open() {
		return // a write has failed, and OnClose clears the pipeline
	}
	if len(cl.pipeline) == 0 {
		cl.conn.Write(b)
		return
	}
	cl.lastActivity = cl.server.now()
	last := cl.pipeline[len(cl.pipeline)-1]
	if last.request != nil {
		last = &pendingReply{done: true}
		cl.pipeline = append(cl.pipeline, last)
	}
	last.reply = append(last.reply, b...)
	cl.heldBytes += len(b)
	cl.retain(len(b))
}

// completeReply fills the place of a request's reply in the pipeline. It writes all completed replies
// at the head of the pipeline. If the reply has to wait for earlier replies, completeReply keeps a copy.
func (cl *client) completeReply(pending *pendingReply, b []byte) {
	pending.done = true
	if len(cl.pipeline) == 0 || !cl.conn.Open() {
		return // the client has disconnected or a write has failed, and OnClose clears the pipeline
	}
	cl.lastActivity = cl.server.now()
	if cl.pipeline[0] != pending {
		cl.retainReply(pending, b)
		return
	}
	cl.writeReply(b)
	cl.removeHead()
	for len(cl.pipeline) > 0 && cl.pipeline[0].done {
		cl.writeHead()
	}
	if len(cl.pipeline) == 0 {
		cl.pipeline = nil
	}
	cl.closeWriteIfDone()
	cl.resumeReading()
}

// writeReply writes a request's reply. If the client has unread replies and the server would keep too
// many unsent bytes, an error reply takes the place of the reply.
func (cl *client) writeReply(b []byte) {
	s := cl.server
	if cl.conn.BufferedOutput() > 0 && s.unsentBytes+len(b) > s.limits.unsentReplies {
		s.stats.repliesWithoutMemory++
		s.warnMemory("unread replies", s.unsentBytes, s.limits.unsentReplies)
		b = shorter(b, memoryFailure)
	}
	cl.conn.Write(b)
	cl.countUnsentBytes()
}

// retainReply keeps a copy of a request's reply that has to wait for earlier replies. If the server
// would retain too many bytes, an error reply takes the place of the reply.
func (cl *client) retainReply(pending *pendingReply, b []byte) {
	if cl.exceedsMemory(len(b)) {
		cl.server.stats.repliesWithoutMemory++
		b = shorter(b, memoryFailure)
	}
	pending.reply = slices.Clone(b)
	cl.retain(len(b))
}

// retain adds to the retained bytes of the client and of the server. A negative n releases bytes.
func (cl *client) retain(n int) {
	cl.retainedBytes += n
	cl.server.retainedBytes += n
}

// exceedsMemory reports whether the server would retain too many bytes, in all or for this client, with
// size bytes more.
func (cl *client) exceedsMemory(size int) bool {
	s := cl.server
	return s.retainedBytes+size > s.limits.retained || cl.retainedBytes+size > s.limits.clientRetained
}

// shorter returns the shorter one of a reply and the error that may take its place.
func shorter(reply []byte, failure string) []byte {
	if len(reply) <= len(failure) {
		return reply
	}
	return []byte(failure)
}

// countUnsentBytes updates the connection's part in the server's unsent bytes. These are not part of the
// retained bytes, so that clients which do not read cannot make the server reject the requests of others.
func (cl *client) countUnsentBytes() {
	unsent := cl.conn.BufferedOutput()
	cl.server.unsentBytes += unsent - cl.unsentBytes
	cl.unsentBytes = unsent
}

// writeHead writes the completed replies at the head of the pipeline.
func (cl *client) writeHead() {
	head := cl.pipeline[0]
	cl.retain(-len(head.reply))
	if head.request == nil {
		cl.heldBytes -= len(head.reply)
		cl.conn.Write(head.reply) // holds one reply per command, so an error cannot take its place
	} else {
		cl.writeReply(head.reply)
	}
	cl.removeHead()
}

// removeHead removes the head of the pipeline. It clears the slot, because the array behind the
// pipeline would keep the reply in memory.
func (cl *client) removeHead() {
	cl.pipeline[0] = nil
	cl.pipeline = cl.pipeline[1:]
}

// repliesPending reports whether so many bytes of replies wait that the server must read no further
// command from the connection.
func (cl *client) repliesPending() bool {
	s := cl.server
	unsent := cl.conn.BufferedOutput()
	switch {
	case unsent > maxUnsentBytes || cl.heldBytes > maxHeldBytes:
		return true
	case cl.heldBytes > 0 && cl.exceedsMemory(0):
		return true
	}
	return unsent > 0 && s.unsentBytes > s.limits.unsentReplies
}

// resumeReading resumes reading from a connection that was paused because of its replies, once the
// kernel has accepted all its output.
func (cl *client) resumeReading() {
	closing := cl.discarding || cl.draining
	if cl.conn.Paused() && !closing && cl.conn.BufferedOutput() == 0 && !cl.repliesPending() {
		cl.conn.Resume()
	}
}

// closeWriteIfDone half-closes the connection if the server starts no further command on it and has
// completed all its replies. The server goes on to read and discard input for lingerTimeout, because
// closing a socket with unread input resets the connection and destroys replies in transit.
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
