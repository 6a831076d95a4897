package respserver

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"chalkstand/forwarder"
	"chalkstand/internal/resp"
)

// These times control a graceful shutdown. After the platform has asked for a shutdown, it waits for
// the longest deadline of a request class, at most maxTerminationDelay, plus terminationMargin, before
// it may terminate the server by force. Requests that are still open at the forced termination count as
// lost, except those that arrived within about the grace period after the platform asked for the
// shutdown.
const (
	shutdownGracePeriod = 500 * time.Millisecond // clients open connections for up to 0.4 s after the start
	maxTerminationDelay = 3 * time.Second
	terminationMargin   = 700 * time.Millisecond
	failRequestsBefore  = 200 * time.Millisecond // all open requests fail this long before the forced termination
	drainAllBefore      = 100 * time.Millisecond // all connections are drained this long before the forced termination
	stopBefore          = 50 * time.Millisecond  // the event loop stops this long before the forced termination
)

// Shutdown starts a graceful shutdown and returns at once. The server continues to serve during the
// grace period. Then it reads from a connection only until a command that has begun to arrive is
// complete, replies to the open requests and closes each connection after its last reply. Run returns
// when the shutdown is complete. Further calls of Shutdown have no effect.
func (s *Server) Shutdown() {
	s.loop.Post(func() {
		if !s.shuttingDown {
			s.shuttingDown = true
			s.shutdownStarted = s.now()
		}
	})
}

// forcedTermination returns the earliest time at which the platform may terminate the server by force
// during a shutdown.
func (s *Server) forcedTermination() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.cfg.Settings.Dispatch.Classes {
		longest = max(longest, class.Deadline)
	}
	return s.shutdownStarted + min(longest, maxTerminationDelay) + terminationMargin
}

// advanceShutdown performs the steps of a graceful shutdown that are due. Each sweep calls it.
func (s *Server) advanceShutdown(now time.Duration) {
	if now < s.shutdownStarted+shutdownGracePeriod || s.stopped {
		return
	}
	if s.listenerClosedAt == 0 {
		s.listenerClosedAt = now
		s.loop.StopListening()
	}
	if now < s.listenerClosedAt+sweepInterval {
		return // connections that were accepted just before the listener closed must be read first
	}
	forcedTermination := s.forcedTermination()
	if now > forcedTermination-failRequestsBefore {
		s.rejecting = true
		s.failOpenRequests()
		s.rejectPartialCommands()
	}
	s.drainClients(now > forcedTermination-drainAllBefore)
	if len(s.clients) == 0 || now > forcedTermination-stopBefore {
		s.stopped = true
		s.logStats()
		s.log.Info("graceful shutdown completed",
			zap.Int("open_requests", len(s.requests)), zap.Int("connections", len(s.clients)))
		go s.loop.Stop() // Stop waits for the loop, so a call on the loop itself would deadlock
	}
}

// drainClients drains the connections on which the server has read only whole commands and has started
// all of them. A client that is in the middle of a command first gets the time to complete it: the
// server has read a part, so the client cannot know that the command needs another connection. If all
// is true, drainClients drains every connection.
func (s *Server) drainClients(all bool) {
	for _, cl := range slices.Clone(s.clients) {
		if !cl.draining && (all || cl.betweenCommands()) {
			cl.drain()
		}
	}
}

// betweenCommands reports whether the server has read no part of a command that it has not started. A
// paused connection may hold commands that were read but not started.
func (cl *client) betweenCommands() bool { return cl.partialSince == 0 && !cl.conn.Paused() }

// rejectPartialCommands rejects the commands that are still incomplete shortly before the forced
// termination. No node has received them, so a retry is harmless.
func (s *Server) rejectPartialCommands() {
	for _, cl := range slices.Clone(s.clients) {
		if cl.partialSince > 0 && !cl.draining && !cl.discarding {
			cl.rejectPartialCommand(0)
		}
	}
}

// failOpenRequests gives all open requests an error reply shortly before the forced termination.
func (s *Server) failOpenRequests() {
	for _, cl := range slices.Clone(s.clients) {
		for _, pending := range slices.Clone(cl.pipeline) {
			req := pending.request
			if req == nil || pending.done {
				continue
			}
			s.finish(req, resp.AppendLine(nil, resp.ErrorReply, "ERR failed: the dispatcher ends"))
			s.handle(forwarder.AbortRequest{ID: req.id})
		}
	}
}
