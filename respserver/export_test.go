package respserver

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// RunOnLoop runs f on the server's event loop and waits until f returns. Bytes that clients and nodes
// send in the meantime stay in the kernel until the loop continues. If the loop has ended, RunOnLoop does
// not run f.
func (s *Server) RunOnLoop(f func()) {
	done := make(chan struct{})
	s.loop.PostOrDrop(func() {
		defer close(done)
		f()
	}, func() { close(done) })
	<-done
}

// AdvanceClock advances the server's clock by a duration.
func (s *Server) AdvanceClock(by time.Duration) { s.RunOnLoop(func() { s.epoch += by }) }

// Sweep runs a sweep of the server at once, which checks the timeouts of client connections.
func (s *Server) Sweep() { s.RunOnLoop(func() { s.sweep(s.now()) }) }

// EndGracePeriod advances the clock by the grace period of a graceful shutdown and runs a sweep. It
// must be called on the event loop.
func (s *Server) EndGracePeriod() {
	s.epoch += shutdownGracePeriod
	s.sweep(s.now())
}

// ShutdownStarted returns the Unix time at which the graceful shutdown started.
func (s *Server) ShutdownStarted() time.Duration { return s.shutdownStarted }

// Retained returns the number of retained bytes, of registered requests and of registered request ids.
func (s *Server) Retained() (bytes, requests, ids int) {
	return s.retainedBytes, len(s.requests), len(s.requestsByClientID)
}

// SetMaxRetainedBytes sets the maximum number of bytes that the server retains. It must be called on
// the event loop.
func (s *Server) SetMaxRetainedBytes(bytes int) {
	s.limits.retained = bytes
	s.limits.clientRetained = bytes
	s.limits.unsentReplies = bytes
}

// SetMaxPartialBytes sets the maximum number of bytes of incomplete commands. It must be called on the
// event loop.
func (s *Server) SetMaxPartialBytes(bytes int) { s.limits.partialCommands = bytes }

// CountedPartialBytes returns how many bytes of incomplete commands the server counts in its limit.
func (s *Server) CountedPartialBytes() int { return s.partialBytes }

// SetMaxNodeBytes sets the maximum number of bytes in the buffers of node connections. It must be called on
// the event loop.
func (s *Server) SetMaxNodeBytes(bytes int) { s.limits.nodeBuffers = bytes }

// NodeBytes returns how many bytes the buffers of node connections hold.
func (s *Server) NodeBytes() (n int) {
	for _, conn := range s.nodeConns {
		n += conn.conn.BufferedInput() + conn.conn.BufferedOutput()
	}
	return n
}

// EvictedNodeConns returns how many node connections the server has closed for lack of memory.
func (s *Server) EvictedNodeConns() int { return s.stats.nodeConnsEvicted }

// ClientsPaused reports whether the server has stopped reading from all its clients.
func (s *Server) ClientsPaused() bool {
	for _, cl := range s.clients {
		if !cl.conn.Paused() {
			return false
		}
	}
	return true
}

// CountedUnsentBytes returns how many unsent bytes the server counts in its limit.
func (s *Server) CountedUnsentBytes() int { return s.unsentBytes }

// StartedRequests returns how many requests the server has started.
func (s *Server) StartedRequests() int { return int(s.lastRequestID) }

// FinishAll gives all open requests the same final reply, as an action of the forwarder would.
func (s *Server) FinishAll(reply string) {
	for _, cl := range s.clients {
		for _, pending := range slices.Clone(cl.pipeline) {
			if pending.request != nil && !pending.done {
				s.finish(pending.request, []byte(reply))
			}
		}
	}
}

// ClientCount returns the number of open client connections.
func (s *Server) ClientCount() int { return len(s.clients) }

// MaxClientConns returns the maximum number of client connections.
func (s *Server) MaxClientConns() int { return s.cfg.maxClientConns() }

// PendingReplies returns the number of commands without a reply, summed over all clients.
func (s *Server) PendingReplies() (n int) {
	for _, cl := range s.clients {
		n += len(cl.pipeline)
	}
	return n
}

// PartialCommands returns the number of clients that have sent only a part of their current command.
func (s *Server) PartialCommands() (n int) {
	for _, cl := range s.clients {
		if cl.partialSince > 0 {
			n++
		}
	}
	return n
}

// BufferedInput returns how many bytes of incomplete commands the server holds.
func (s *Server) BufferedInput() (n int) {
	for _, cl := range s.clients {
		n += cl.conn.BufferedInput()
	}
	return n
}

// UnsentBytes returns how many bytes of replies the kernel has not accepted yet.
func (s *Server) UnsentBytes() (n int) {
	for _, cl := range s.clients {
		n += cl.conn.BufferedOutput()
	}
	return n
}

// ResumeClients resumes reading from all clients.
func (s *Server) ResumeClients() {
	s.RunOnLoop(func() {
		for _, cl := range s.clients {
			cl.conn.Resume()
		}
	})
}

// Watches returns how many discovery watches the server still holds open, and for how many of them the
// goroutine has ended. It may only be called after Run has returned.
func (s *Server) Watches() (ended, open int) {
	for _, w := range []*watch{s.watch, s.previousWatch} {
		if w == nil {
			continue
		}
		open++
		select {
		case <-w.ended:
			ended++
		default:
		}
	}
	return ended, open
}

// PauseClients stops reading from all clients.
func (s *Server) PauseClients() {
	s.RunOnLoop(func() {
		for _, cl := range s.clients {
			cl.conn.Pause()
		}
	})
}

// ShrinkSendBuffers shrinks the kernel's send buffers of all client connections, so that the kernel
// accepts only a few bytes of replies.
func (s *Server) ShrinkSendBuffers() (err error) {
	s.RunOnLoop(func() {
		for _, cl := range s.clients {
			if err == nil {
				err = unix.SetsockoptInt(cl.conn.FD(), unix.SOL_SOCKET, unix.SO_SNDBUF, 4096)
			}
		}
	})
	return err
}

// ClientHangup reports whether the kernel knows that a client has closed its connection. The event
// loop may not know it yet.
func (s *Server) ClientHangup() bool {
	const hangup = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	for _, cl := range s.clients {
		fds := []unix.PollFd{{Fd: int32(cl.conn.FD()), Events: unix.POLLRDHUP}}
		n, _ := unix.Poll(fds, 0) // an error counts as no event because the caller repeats the call
		if n > 0 && fds[0].Revents&hangup != 0 {
			return true
		}
	}
	return false
}

// ClientInputRead reports whether the server has read all bytes that its clients have sent.
func (s *Server) ClientInputRead() bool {
	for _, cl := range s.clients {
		if !cl.conn.NoUnreadInput() {
			return false
		}
	}
	return true
}

// ReceiveCommand passes a command to the first client's connection as if it had arrived before all
// other input.
func (s *Server) ReceiveCommand(text string) { s.clients[0].OnData(s.clients[0].conn, []byte(text)) }

// NodeConnCount returns the number of open connections to nodes.
func (s *Server) NodeConnCount() int { return s.forwarder.Conns() }

// UnreadNodeInput reports whether the kernel holds bytes from a node that the server has not read.
func (s *Server) UnreadNodeInput() bool {
	for _, conn := range s.nodeConns {
		if !conn.conn.NoUnreadInput() {
			return true
		}
	}
	return false
}

// ReceiveNodeReply passes a reply to a node connection that has a request in flight, as if the node
// had sent it.
func (s *Server) ReceiveNodeReply(text string) {
	for _, conn := range s.nodeConns {
		if conn.request != nil {
			conn.OnData(conn.conn, []byte(text))
			return
		}
	}
}

// EndpointVersion returns the version of the endpoint list that the server uses.
func (s *Server) EndpointVersion() int64 { return s.endpointVersion }

// WatchOpen reports whether a discovery watch is open or is being opened.
func (s *Server) WatchOpen() bool { return s.watch != nil }
