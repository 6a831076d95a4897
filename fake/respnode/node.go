// Package respnode is a fake storage node that speaks RESP2 on loopback. It records the commands that
// it receives and replies with scripted faults.
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

// Behavior says how a node handles a command. The zero value replies with the command's value, a usage
// and a load report.
type Behavior struct {
	Delay   time.Duration // before the reply
	Reply   string        // raw bytes in place of the usual reply; "%v" stands for the value as a bulk string
	Trailer string        // raw bytes behind the reply
	Hang    bool          // no reply; the connection stays open
	Close   bool          // the connection is closed after Reply, or at once where Reply is empty
	Reset   bool          // a close resets the connection
}

// Node is a running fake storage node.
type Node struct {
	ln       net.Listener
	received chan struct{} // has an entry after a command was recorded
	stopping chan struct{} // closed by Stop
	running  sync.WaitGroup

	mu              sync.Mutex
	next            []Behavior // of the next commands, one each
	defaultBehavior Behavior
	choose          func(args []string) Behavior // in the place of defaultBehavior; may be nil
	log             []*LogEntry
	conns           map[net.Conn]bool
	connsOpened     int
	stopped         bool
}

// Start starts a node on a free port of the loopback address.
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
	n.running.Go(n.accept)
	return n, nil
}

// Stop closes the listener, resets all connections and waits for the node's goroutines. It is to be
// called once.
func (n *Node) Stop() {
	close(n.stopping)
	_ = n.ln.Close() // it only fails where it is closed already
	n.resetConns()
	n.running.Wait()
}

// resetConns resets all connections and those that are accepted from here on.
func (n *Node) resetConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	for conn := range n.conns {
		reset(conn)
	}
}

// reset closes a connection so that its peer gets a reset. Errors are ignored: the peer may have
// closed it.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// SetNext sets how the next commands are handled, one each, behind those that were set before.
func (n *Node) SetNext(behaviors ...Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next = append(n.next, behaviors...)
}

// SetDefault sets how commands are handled that SetNext says nothing of.
func (n *Node) SetDefault(behavior Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.defaultBehavior = behavior
}

// SetChooser sets a function that says how commands are handled that SetNext says nothing of. It must not
// call methods of the node.
func (n *Node) SetChooser(choose func(args []string) Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.choose = choose
}

// ConnsOpened returns the number of connections that were accepted.
func (n *Node) ConnsOpened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.connsOpened
}

// AwaitCommands waits until that many commands were received.
func (n *Node) AwaitCommands(count int, timeout time.Duration) error {
	expired := time.After(timeout)
	for {
		if len(n.Commands()) >= count {
			return nil
		}
		select {
		case <-n.received:
		case <-expired:
			return fmt.Errorf("%d commands were not received within %v", count, timeout)
		}
	}
}

// WriteAll writes raw bytes on all open connections. Errors are ignored: a peer may have closed one.
func (n *Node) WriteAll(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		_, _ = conn.Write([]byte(text))
	}
}

// accept serves connections until the listener is closed.
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
		n.running.Go(func() { n.serve(conn) })
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
	defer func() { _ = conn.Close() }() // Stop may have closed it
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

// handleCommand records and handles a command, and reports whether the connection stays open.
func (n *Node) handleCommand(conn net.Conn, args []string) bool {
	entry, behavior := n.record(args)
	ended := make(chan struct{})
	defer n.recordEnd(entry)
	defer close(ended)
	n.running.Go(func() {
		disconnect.Watch(conn.(*net.TCPConn), ended, func() { n.recordDisconnect(entry) })
	})
	return n.handle(conn, args, behavior)
}

// handle replies to a command and reports whether the connection stays open.
func (n *Node) handle(conn net.Conn, args []string, behavior Behavior) bool {
	if behavior.Delay > 0 {
		select {
		case <-time.After(behavior.Delay):
		case <-n.stopping:
			return false
		}
	}
	if behavior.Hang {
		_, _ = io.Copy(io.Discard, conn) // until the connection ends, however it does
		return false
	}
	if behavior.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0) // it fails where the peer has closed the connection
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

// Value returns the value with which a node replies to a command. It differs for each piece and id.
func Value(args []string) string {
	if len(args) < 3 {
		return ""
	}
	return "value of " + args[1] + " for " + args[2]
}
