package respserver

import (
	"slices"
	"time"

	"chalkstand/internal/bufferlimit"
)

// These times decide which connections may be evicted to make room for new ones.
const (
	minEvictionIdle  = 50 * time.Millisecond  // time without activity, below the connection limit
	silentIdleFactor = 10                     // minEvictionIdle is so many times longer for a client that has sent no command
	stalledAfter     = 500 * time.Millisecond // silence within a command
)

// evictIdleClient closes the idle connection that is first in the order of eviction and reports
// whether it found one. Unless minIdle is 0, it spares connections whose clients may be about to send a
// command.
func (s *Server) evictIdleClient(minIdle time.Duration) bool {
	var victim *client
	now := s.now()
	for _, cl := range s.clients {
		if now-cl.lastActivity >= cl.evictableAfter(minIdle) && cl.evictedBefore(victim) && cl.idle() {
			victim = cl
		}
	}
	if victim == nil {
		return false
	}
	victim.conn.Close()
	s.stats.idleEvicted++
	return true
}

// evictClient closes the connection that can be closed with the least harm and reports whether there is one:
// a connection whose client has its last reply, an idle one, or one with a stalled command.
func (s *Server) evictClient() bool {
	return s.evictLingeringClient() || s.evictIdleClient(0) || s.evictStalledClient()
}

// evictLingeringClient closes the connection that was half-closed first and reports whether there was one.
func (s *Server) evictLingeringClient() bool {
	var victim *client
	for _, cl := range s.clients {
		lingers := cl.writeClosed && cl.conn.BufferedOutput() == 0
		if lingers && (victim == nil || cl.writeClosedAt < victim.writeClosedAt) {
			victim = cl
		}
	}
	if victim == nil {
		return false
	}
	s.stats.lingeringEvicted++
	victim.conn.Close()
	return true
}

// evictStalledClient rejects the command that has been incomplete at the greatest cost, if its last bytes
// arrived more than stalledAfter ago, and closes its connection. It reports whether there was one.
func (s *Server) evictStalledClient() bool {
	now := s.now()
	victim, ok := bufferlimit.Costliest(slices.Values(s.clients), func(cl *client) bufferlimit.Usage {
		if now-cl.lastReceived < stalledAfter || len(cl.pipeline) > 0 {
			return bufferlimit.Usage{}
		}
		return cl.partialUsage()
	}, now)
	if !ok {
		return false
	}
	s.stats.stalledEvicted++
	victim.rejectPartialCommand(s.cfg.Settings.Dispatch.DefaultRetryAfter())
	victim.conn.Close()
	return true
}

// evictableAfter returns the time since the last activity after which the connection may be evicted. A
// client that has sent no command yet gets more time, because it may still be about to send its first one.
func (cl *client) evictableAfter(minIdle time.Duration) time.Duration {
	if cl.sentCommand {
		return minIdle
	}
	return silentIdleFactor * minIdle
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
