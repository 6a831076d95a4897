package respserver

import (
	"strconv"
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/objectcommand"
	"chalkstand/internal/resp"
)

// request is an open request of a client. It stays open until the server gives its final reply.
type request struct {
	id            dispatch.RequestID
	client        *client
	reply         *pendingReply
	command       objectcommand.Command
	retainedBytes int  // total size of the command's arguments
	sent          bool // whether the request has been written to a node
}

// retainArguments copies the command's arguments from the read buffer to a buffer that the request
// owns. size is the total length of the arguments in bytes.
func (r *request) retainArguments(size int) {
	buffer := make([]byte, 0, size)
	retain := func(b []byte) []byte {
		from := len(buffer)
		buffer = append(buffer, b...)
		return buffer[from:len(buffer):len(buffer)]
	}
	c := &r.command
	c.Piece = retain(c.Piece)
	c.ID = retain(c.ID)
	c.Fields = retain(c.Fields)
	c.Body = retain(c.Body)
	r.retainedBytes = size
}

// addRequest registers a request of a client under a new id. size is the total length of the
// command's arguments in bytes.
func (s *Server) addRequest(cl *client, command objectcommand.Command, size int) *request {
	s.lastRequestID++
	req := &request{id: s.lastRequestID, client: cl, command: command}
	req.reply = &pendingReply{request: req}
	req.command.Request.ID = req.id
	req.retainArguments(size)
	cl.retain(size)
	s.requests[req.id] = req
	s.requestsByClientID[string(req.command.ID)] = req
	return req
}

// removeRequest unregisters a request and releases its retained bytes.
func (s *Server) removeRequest(req *request) {
	delete(s.requests, req.id)
	delete(s.requestsByClientID, string(req.command.ID))
	req.client.retain(-req.retainedBytes)
}

// finish unregisters a request and completes its reply.
func (s *Server) finish(req *request, reply []byte) {
	s.removeRequest(req)
	req.client.completeReply(req.reply, reply)
}

// busyReply returns the reply to a rejected request. The reply contains BUSY and the time after which
// the client may retry, in milliseconds, rounded up. The returned slice is valid until the server
// writes its next message.
func (s *Server) busyReply(retryAfter time.Duration) []byte {
	s.writeBuffer = append(s.writeBuffer[:0], "-BUSY "...)
	s.writeBuffer = strconv.AppendInt(s.writeBuffer, int64((retryAfter+time.Millisecond-1)/time.Millisecond), 10)
	s.writeBuffer = append(s.writeBuffer, '\r', '\n')
	return s.writeBuffer
}

// failureReply returns the reply to a failed request. The returned slice is valid until the server
// writes its next message.
func (s *Server) failureReply(timedOut bool) []byte {
	text := "ERR failed"
	if timedOut {
		text = "ERR failed: no answer in time"
	}
	s.writeBuffer = resp.AppendLine(s.writeBuffer[:0], resp.ErrorReply, text)
	return s.writeBuffer
}
