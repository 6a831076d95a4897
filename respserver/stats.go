package respserver

import (
	"time"

	"go.uber.org/zap"
)

const (
	statsInterval = 10 * time.Second // time between two log lines with statistics
	warnInterval  = time.Second      // shortest time between two warnings of the same kind
)

// stats counts what the server has done since its start. All counts are of events, and none decreases.
type stats struct {
	accepted               int // client connections
	refusedAtLimit         int // client connections that were closed because the limit was reached
	idleEvicted            int // idle client connections that made room for others
	lingeringEvicted       int // half-closed client connections that made room for others
	stalledEvicted         int // client connections with a stalled command that made room for others
	timedOut               int // client connections that reached a timeout
	protocolErrors         int // client connections that sent no valid command
	partialCommandsEvicted int // incomplete commands that were rejected for lack of memory
	started                int // requests
	rejectedPipelineFull   int // requests beyond the limit of a client's pipeline
	rejectedMemory         int // requests for whose arguments there was no memory
	rejectedRepeatedID     int // requests with the ID of an open or recent request
	rejectedByDispatcher   int
	failed                 int
	repliesWithoutMemory   int // replies that an error replaced for lack of memory
	clientsLeft            int // client connections that ended with open requests
	canceledBeforeAttempt  int // requests whose client had left when their attempt was about to begin
	rejectedUnreadInput    int // requests whose client may have left behind unread input
	attempts               int // requests that were written to a node
	nodeConnsEvicted       int // node connections that were closed for lack of memory
}

// logStats logs the statistics if they have changed since the last call.
func (s *Server) logStats() {
	if s.stats == s.loggedStats {
		return
	}
	s.loggedStats = s.stats
	n := &s.stats
	s.log.Info("statistics",
		zap.Int("connections", len(s.clients)),
		zap.Int("node_connections", len(s.nodeConns)),
		zap.Int("open_requests", len(s.requests)),
		zap.Int("partial_command_bytes", s.partialBytes),
		zap.Int("retained_bytes", s.retainedBytes),
		zap.Int("unsent_bytes", s.unsentBytes),
		zap.Int("node_buffer_bytes", s.nodeBytes),
		zap.Int("accepted", n.accepted),
		zap.Int("refused_at_limit", n.refusedAtLimit),
		zap.Int("idle_evicted", n.idleEvicted),
		zap.Int("lingering_evicted", n.lingeringEvicted),
		zap.Int("stalled_evicted", n.stalledEvicted),
		zap.Int("timed_out", n.timedOut),
		zap.Int("protocol_errors", n.protocolErrors),
		zap.Int("partial_commands_evicted", n.partialCommandsEvicted),
		zap.Int("started", n.started),
		zap.Int("rejected_pipeline_full", n.rejectedPipelineFull),
		zap.Int("rejected_memory", n.rejectedMemory),
		zap.Int("rejected_repeated_id", n.rejectedRepeatedID),
		zap.Int("rejected_by_dispatcher", n.rejectedByDispatcher),
		zap.Int("failed", n.failed),
		zap.Int("replies_without_memory", n.repliesWithoutMemory),
		zap.Int("clients_left", n.clientsLeft),
		zap.Int("canceled_before_attempt", n.canceledBeforeAttempt),
		zap.Int("rejected_unread_input", n.rejectedUnreadInput),
		zap.Int("attempts", n.attempts),
		zap.Int("node_connections_evicted", n.nodeConnsEvicted))
}
