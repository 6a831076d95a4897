package respnode

import (
	"slices"
	"strings"
	"time"
)

// LogEntry records one command at a node.
type LogEntry struct {
	Args         []string
	Arrived      time.Time
	Ended        time.Time // zero: not yet
	Disconnected time.Time // when the peer closed the connection before Ended; zero: it did not
	Executed     bool      // neither held without a reply nor turned away
}

// busyReply begins the reply to a command that was turned away.
const busyReply = "-BUSY"

// Log returns a copy of the entries of all commands since the last ClearCommands, in the order of arrival.
func (n *Node) Log() []LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	log := make([]LogEntry, 0, len(n.log))
	for _, e := range n.log {
		log = append(log, *e)
	}
	return log
}

// Commands returns the arguments of each command that was received whole, in order.
func (n *Node) Commands() [][]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var commands [][]string
	for _, e := range n.log {
		commands = append(commands, slices.Clone(e.Args))
	}
	return commands
}

// ClearCommands forgets the commands that were received.
func (n *Node) ClearCommands() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = nil
}

// record records a command and returns its entry and how it is to be handled.
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

// nextBehavior returns how the next command is handled. It is called with mu held.
func (n *Node) nextBehavior(args []string) Behavior {
	switch {
	case len(n.next) > 0:
		behavior := n.next[0]
		n.next = n.next[1:]
		return behavior
	case n.choose != nil:
		return n.choose(args)
	}
	return n.defaultBehavior
}

// recordEnd records that a command has been handled.
func (n *Node) recordEnd(e *LogEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e.Ended = time.Now()
}

// recordDisconnect records that the peer closed the connection of a command that is being handled.
func (n *Node) recordDisconnect(e *LogEntry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Ended.IsZero() {
		e.Disconnected = time.Now()
	}
}
