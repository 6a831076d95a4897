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
	stopBefore          = 50 * time.Millisecond  // the event loop stops this long before the forced termination
)

// Shutdown starts a graceful shutdown and returns at once. The server continues to serve during the
// grace period. Then it starts no further request, replies to the open requests and closes each
// connection after its last reply. Run returns when the shutdown is complete. Further calls of
// Shutdown have no effect.
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
	overdue := now > forcedTermination-failRequestsBefore
	if overdue {
		s.failOpenRequests()
	}
	for _, cl := range slices.Clone(s.clients) {
		// A paused connection may hold commands that were read but not started. It is drained only after
		// these commands have started, unless the shutdown is overdue.
		if !cl.draining && (overdue || !cl.conn.Paused()) {
			cl.drain()
		}
	}
	if len(s.clients) == 0 || now > forcedTermination-stopBefore {
		s.stopped = true
		s.log.Info("graceful shutdown completed",
			zap.Int("open_requests", len(s.requests)), zap.Int("connections", len(s.clients)))
		go s.loop.Stop() // Stop waits for the loop, so a call on the loop itself would deadlock
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
