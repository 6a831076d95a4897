package respserver

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// RunOnLoop runs f on the server's event loop and waits for it. What clients and nodes send meanwhile
// stays in the kernel until the loop goes on.
func (s *Server) RunOnLoop(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() {
		defer close(done)
		f()
	})
	<-done
}

// AdvanceClock advances the server's clock.
func (s *Server) AdvanceClock(by time.Duration) { s.RunOnLoop(func() { s.epoch += by }) }

// Sweep checks the time-outs now.
func (s *Server) Sweep() { s.RunOnLoop(func() { s.sweep(s.now()) }) }

// EndGracePeriod advances the clock by the grace period of a graceful shutdown and checks the time-outs.
func (s *Server) EndGracePeriod() {
	s.epoch += shutdownGracePeriod
	s.sweep(s.now())
}

// ShutdownStarted returns when the graceful shutdown started, in Unix time.
func (s *Server) ShutdownStarted() time.Duration { return s.shutdownStarted }

// Retained returns the retained bytes and the number of registered requests and of their ids.
func (s *Server) Retained() (bytes, requests, ids int) {
	return s.retainedBytes, len(s.requests), len(s.requestsByClientID)
}

// StartedRequests returns how many requests were started.
func (s *Server) StartedRequests() int { return int(s.lastRequestID) }

// FinishAll gives all open requests a final reply, as the forwarder would.
func (s *Server) FinishAll(reply string) {
	for _, cl := range s.clients {
		for _, pending := range slices.Clone(cl.pipeline) {
			if pending.request != nil && !pending.done {
				s.finish(pending.request, []byte(reply))
			}
		}
	}
}

// ClientCount returns the number of client connections.
func (s *Server) ClientCount() int { return len(s.clients) }

// MaxClientConns returns the bound on client connections.
func (s *Server) MaxClientConns() int { return s.cfg.maxClientConns() }

// PendingReplies returns the number of commands of all clients without a reply.
func (s *Server) PendingReplies() (n int) {
	for _, cl := range s.clients {
		n += len(cl.pipeline)
	}
	return n
}

// PartialCommands returns the number of clients that have sent a part of a command.
func (s *Server) PartialCommands() (n int) {
	for _, cl := range s.clients {
		if cl.partialSince > 0 {
			n++
		}
	}
	return n
}

// UnsentBytes returns how many bytes of replies the kernel has not taken.
func (s *Server) UnsentBytes() (n int) {
	for _, cl := range s.clients {
		n += cl.conn.Pending()
	}
	return n
}

// ResumeClients reads from all clients again.
func (s *Server) ResumeClients() {
	s.RunOnLoop(func() {
		for _, cl := range s.clients {
			cl.conn.Resume()
		}
	})
}

// Watches returns how many discovery watches the server has opened and not seen end, and of how many the
// goroutine has ended. It may be called once Run has returned.
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

// ShrinkSendBuffers makes the kernel take few bytes of replies.
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
// loop may not have noticed it.
func (s *Server) ClientHangup() bool {
	const hangup = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	for _, cl := range s.clients {
		fds := []unix.PollFd{{Fd: int32(cl.conn.FD()), Events: unix.POLLRDHUP}}
		n, _ := unix.Poll(fds, 0) // an error counts as no event: the caller asks again
		if n > 0 && fds[0].Revents&hangup != 0 {
			return true
		}
	}
	return false
}

// ClientInputRead reports whether all that clients have sent was read.
func (s *Server) ClientInputRead() bool {
	for _, cl := range s.clients {
		if !cl.conn.NoUnreadInput() {
			return false
		}
	}
	return true
}

// ReceiveCommand makes the first client's connection read a command before all other input.
func (s *Server) ReceiveCommand(text string) { s.clients[0].OnData(s.clients[0].conn, []byte(text)) }

// NodeConnCount returns the number of connections to nodes.
func (s *Server) NodeConnCount() int { return s.forwarder.Conns() }

// UnreadNodeInput reports whether the kernel holds bytes from a node that were not read.
func (s *Server) UnreadNodeInput() bool {
	for _, conn := range s.nodeConns {
		if !conn.conn.NoUnreadInput() {
			return true
		}
	}
	return false
}

// ReceiveNodeReply makes a connection to a node with a request in flight read a reply.
func (s *Server) ReceiveNodeReply(text string) {
	for _, conn := range s.nodeConns {
		if conn.request != nil {
			conn.OnData(conn.conn, []byte(text))
			return
		}
	}
}

// EndpointVersion returns the version of the endpoint list.
func (s *Server) EndpointVersion() int64 { return s.endpointVersion }

// WatchOpen reports whether a discovery watch is open or being opened.
func (s *Server) WatchOpen() bool { return s.watch != nil }
