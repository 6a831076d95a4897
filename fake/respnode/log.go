package respnode

import (
	"slices"
	"strings"
	"time"
)

// LogEntry records one command that a node received.
type LogEntry struct {
	Args         []string
	Arrived      time.Time
	Ended        time.Time // end of the command's handling; zero while the command is handled
	Disconnected time.Time // when the peer closed the connection; zero if it did not do so before Ended
	Executed     bool      // false if the node rejected the command or hung without a reply
}

// busyReply is the prefix of the reply to a rejected command.
const busyReply = "-BUSY"

// Log returns a copy of the log entries since the last call of ClearCommands, in the order of arrival.
func (n *Node) Log() []LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	log := make([]LogEntry, 0, len(n.log))
	for _, e := range n.log {
		log = append(log, *e)
	}
	return log
}

// Commands returns the arguments of each completely received command, in the order of arrival.
func (n *Node) Commands() [][]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var commands [][]string
	for _, e := range n.log {
		commands = append(commands, slices.Clone(e.Args))
	}
	return commands
}

// ClearCommands deletes all log entries.
func (n *Node) ClearCommands() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = nil
}

// record adds a command to the log and returns its log entry and the behavior for its handling.
func (n *Node) record(args []string) (*LogEntry, Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	behavior := n.nextBehavior(args)
	e := &LogEntry{
		Args:     args,
		Arrived:  time.Now(),
		Executed: !behavior.Hang && !strings.HasPrefix(behavior.Reply, busyReply),
	}
	n.log = append(n.log, e)
	select {
	case n.received <- struct{}{}:
	default:
	}
	return e, behavior
}

// nextBehavior returns the behavior for a command with the given arguments. The caller must hold mu.
func (n *Node) nextBehavior(args []string) Behavior {
	switch {
	case len(n.queuedBehaviors) > 0:
		behavior := n.queuedBehaviors[0]
		n.queuedBehaviors = n.queuedBehaviors[1:]
		return behavior
	case n.choose != nil:
		return n.choose(args)
	}
	return n.defaultBehavior
}

// recordEnd records the time at which the handling of a command ended.
func (n *Node) recordEnd(e *LogEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e.Ended = time.Now()
}

// recordDisconnect records the time at which the peer closed the connection. It does nothing if the handling of the
// command has already ended.
func (n *Node) recordDisconnect(e *LogEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Ended.IsZero() {
		e.Disconnected = time.Now()
	}
}
