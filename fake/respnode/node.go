// Package respnode is a fake storage node that speaks RESP2 on the loopback interface. It records the
// commands that it receives, and its replies can have faults that a test sets.
package respnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"chalkstand/fake/disconnect"
)

// Behavior describes how a node handles a command. With the zero value the node replies at once with an
// array of three bulk strings: the command's value, the resource usage and a load report.
type Behavior struct {
	Delay   time.Duration // time between the command's arrival and the reply
	Reply   string        // raw bytes in place of the usual reply; "%v" is replaced by the value as a bulk string
	Trailer string        // raw bytes that the node sends after the reply
	Hang    bool          // the node sends no reply and leaves the connection open
	Close   bool          // the node closes the connection after Reply, or without a reply if Reply is empty
	Reset   bool          // closing the connection sends a TCP reset
}

// Node is a running fake storage node.
type Node struct {
	ln         net.Listener
	received   chan struct{} // gets an element when a command is recorded, to wake up AwaitCommands
	stopping   chan struct{} // closed by Stop
	goroutines sync.WaitGroup

	mu              sync.Mutex
	queuedBehaviors []Behavior // each behavior applies to one future command, in this order
	defaultBehavior Behavior
	choose          func(args []string) Behavior // used in place of defaultBehavior; may be nil
	log             []*LogEntry
	conns           map[net.Conn]bool // open connections
	connsOpened     int               // number of connections accepted so far
	stopped         bool
}

// Start starts a node on a free port of the address 127.0.0.1.
func Start() (*Node, error) {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{
		ln:       ln,
		received: make(chan struct{}, 1),
		stopping: make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	n.goroutines.Go(n.accept)
	return n, nil
}

// Stop closes the listener, resets all connections and waits for the node's goroutines. It must not be
// called twice.
func (n *Node) Stop() {
	close(n.stopping)
	_ = n.ln.Close() // Close only fails if the listener is already closed
	n.resetConns()
	n.goroutines.Wait()
}

// resetConns resets all open connections. The node also resets a connection that it accepts afterwards.
func (n *Node) resetConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	for conn := range n.conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset. It ignores errors, because the peer may already have
// closed the connection.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// SetNext appends behaviors to the queue of the node. Each behavior applies to one future command.
func (n *Node) SetNext(behaviors ...Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queuedBehaviors = append(n.queuedBehaviors, behaviors...)
}

// SetDefault sets the behavior for commands that arrive while the queue of SetNext is empty.
func (n *Node) SetDefault(behavior Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.defaultBehavior = behavior
}

// SetChooser sets a function that returns the behavior for commands that arrive while the queue of SetNext
// is empty. The function replaces the behavior of SetDefault. It must not call methods of the node.
func (n *Node) SetChooser(choose func(args []string) Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.choose = choose
}

// ConnsOpened returns the number of connections that the node has accepted.
func (n *Node) ConnsOpened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.connsOpened
}

// AwaitCommands waits until the node has received at least count commands. It returns an error after the timeout.
func (n *Node) AwaitCommands(count int, timeout time.Duration) error {
	expired := time.After(timeout)
	for {
		if len(n.Commands()) >= count {
			return nil
		}
		select {
		case <-n.received:
		case <-expired:
			return fmt.Errorf("expected %d commands within %v, received fewer", count, timeout)
		}
	}
}

// WriteAll writes raw bytes on all open connections. It ignores errors, because a peer may have closed
// its connection.
func (n *Node) WriteAll(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		_, _ = conn.Write([]byte(text))
	}
}

// accept accepts and serves connections until the listener is closed.
func (n *Node) accept() {
	for {
		conn, err := n.ln.Accept()
		if err != nil {
			return
		}
		if !n.addConn(conn) {
			reset(conn)
			return
		}
		n.goroutines.Go(func() { n.serve(conn) })
	}
}

// addConn registers a connection and reports whether the node is still running.
func (n *Node) addConn(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connsOpened++
	n.conns[conn] = true
	return !n.stopped
}

func (n *Node) removeConn(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

// serve handles the commands of a connection in order.
func (n *Node) serve(conn net.Conn) {
	defer n.removeConn(conn)
	defer func() { _ = conn.Close() }() // Close fails if Stop has closed the connection
	in := bufio.NewReader(conn)
	for {
		args, err := readCommand(in)
		if err != nil {
			return
		}
		if !n.handleCommand(conn, args) {
			return
		}
	}
}

// handleCommand records a command in the log and handles it. It reports whether the connection stays open.
func (n *Node) handleCommand(conn net.Conn, args []string) bool {
	entry, behavior := n.record(args)
	ended := make(chan struct{})
	defer n.recordEnd(entry)
	defer close(ended)
	n.goroutines.Go(func() {
		disconnect.Watch(conn.(*net.TCPConn), ended, func() { n.recordDisconnect(entry) })
	})
	return n.handle(conn, args, behavior)
}

// handle replies to a command as the behavior says, and reports whether the connection stays open.
func (n *Node) handle(conn net.Conn, args []string, behavior Behavior) bool {
	if behavior.Delay > 0 {
		select {
		case <-time.After(behavior.Delay):
		case <-n.stopping:
			return false
		}
	}
	if behavior.Hang {
		_, _ = io.Copy(io.Discard, conn) // Copy returns when the connection ends, with or without an error
		return false
	}
	if behavior.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0) // SetLinger fails if the peer has closed the connection
	}
	if behavior.Reply == "" && behavior.Close {
		return false
	}
	value := Bulk(Value(args))
	reply := "*3\r\n" + value + Bulk("used=37,cost=4") + Bulk("inflight=7,queue=2")
	if behavior.Reply != "" {
		reply = strings.ReplaceAll(behavior.Reply, "%v", value)
	}
	_, err := conn.Write([]byte(reply + behavior.Trailer))
	return err == nil && !behavior.Close
}

// Value returns the value with which a node replies to a command. Commands with different piece IDs or
// request IDs have different values.
func Value(args []string) string {
	if len(args) < 3 {
		return ""
	}
	return "value of " + args[1] + " for " + args[2]
}
