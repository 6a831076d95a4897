package respserver

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"chalkstand/forwarder"
	"chalkstand/internal/resp"
)

// Times of a graceful shutdown. The platform terminates a server by force no sooner than the longest
// deadline of a request class, at most maxTerminationDelay, plus terminationMargin after it asked for
// the shutdown. Requests that are open then are lost, unless they came within about the grace period.
const (
	shutdownGracePeriod = 500 * time.Millisecond // clients still open connections for up to 0.4 s
	maxTerminationDelay = 3 * time.Second
	terminationMargin   = 700 * time.Millisecond
	failRequestsBefore  = 200 * time.Millisecond // the forced termination, all open requests fail
	stopBefore          = 50 * time.Millisecond  // the forced termination, the event loop stops
)

// Shutdown starts a graceful shutdown and returns at once. The server goes on serving for the grace
// period, then starts no further request, replies to those that are open, closes each connection
// after its last reply, and stops: Run returns. Further calls have no effect.
func (s *Server) Shutdown() {
	s.loop.Post(func() {
		if !s.shuttingDown {
			s.shuttingDown = true
			s.shutdownStarted = s.now()
		}
	})
}

// forcedTermination returns the earliest time at which the platform terminates a server that is
// shutting down.
func (s *Server) forcedTermination() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.cfg.Settings.Dispatch.Classes {
		longest = max(longest, class.Deadline)
	}
	return s.shutdownStarted + min(longest, maxTerminationDelay) + terminationMargin
}

// advanceShutdown does the next steps of a graceful shutdown. It is called by each sweep.
func (s *Server) advanceShutdown(now time.Duration) {
	if now < s.shutdownStarted+shutdownGracePeriod || s.stopped {
		return
	}
	if s.listenerClosedAt == 0 {
		s.listenerClosedAt = now
		s.loop.StopListening()
	}
	if now < s.listenerClosedAt+sweepInterval {
		return // connections accepted at the last moment are read first
	}
	forcedTermination := s.forcedTermination()
	overdue := now > forcedTermination-failRequestsBefore
	if overdue {
		s.failOpenRequests()
	}
	for _, cl := range slices.Clone(s.clients) {
		// A paused connection has commands that were read and not yet started: they are started first.
		if !cl.draining && (overdue || !cl.conn.Paused()) {
			cl.drain()
		}
	}
	if len(s.clients) == 0 || now > forcedTermination-stopBefore {
		s.stopped = true
		s.log.Info("graceful shutdown completed",
			zap.Int("open_requests", len(s.requests)), zap.Int("connections", len(s.clients)))
		go s.loop.Stop() // it waits for the loop, on which this runs
	}
}

// failOpenRequests gives all open requests their final reply shortly before the forced termination.
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
