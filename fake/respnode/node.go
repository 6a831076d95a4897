// Package respnode is a fake storage node that speaks RESP2 on loopback. It logs what crosses
// its sockets and fails as it is told.
package respnode

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Behavior is how a node takes one request.
type Behavior struct {
	Delay   time.Duration // before the answer
	Reply   string        // in the place of the answer, as it is; "%v" is the value
	Trailer string        // sent right behind the answer
	Hang    bool          // no answer
	Close   bool          // the connection ends instead of an answer, or after Say
	Reset   bool          // it ends by a reset then
}

// LoggedCommand is a command that came whole.
type LoggedCommand struct {
	At    time.Time
	Words []string
	Conn  int
}

// Node is a stand-in storage node.
type Node struct {
	ln     net.Listener
	mu     sync.Mutex
	orders []Behavior // for the next requests, one each
	usual  Behavior
	seen   []LoggedCommand
	conns  map[net.Conn]bool
	opened int
	wake   chan struct{}
}

// StartNode starts a node on a free port.
func StartNode() (*Node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{ln: ln, conns: map[net.Conn]bool{}, wake: make(chan struct{}, 1)}
	go n.accept()
	return n, nil
}

// Addr is where it listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// Next has the next requests taken as told, one each.
func (n *Node) Next(o ...Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.orders = append(n.orders, o...)
}

// SetDefault has all requests without an order of their own taken as told.
func (n *Node) SetDefault(o Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.usual = o
}

// Log returns the log, and how many connections were opened.
func (n *Node) Log() ([]LoggedCommand, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]LoggedCommand(nil), n.seen...), n.opened
}

// ClearLog empties the log.
func (n *Node) ClearLog() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = nil
}

// Await waits until so many commands have come.
func (n *Node) Await(count int, timeout time.Duration) error {
	end := time.After(timeout)
	for {
		if s, _ := n.Log(); len(s) >= count {
			return nil
		}
		select {
		case <-n.wake:
		case <-end:
			return fmt.Errorf("%d commands did not come within %v", count, timeout)
		}
	}
}

// WriteAll writes text on all open connections, whatever was asked there.
func (n *Node) WriteAll(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.Write([]byte(text))
	}
}

// Stop ends the node and resets its connections.
func (n *Node) Stop() {
	n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (n *Node) accept() {
	for {
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.opened++
		n.conns[c] = true
		id := n.opened
		n.mu.Unlock()
		go n.serve(c, id)
	}
}

func (n *Node) serve(c net.Conn, id int) {
	defer func() {
		c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		words, err := ReadCommand(in)
		if err != nil {
			return
		}
		n.mu.Lock()
		n.seen = append(n.seen, LoggedCommand{At: time.Now(), Words: words, Conn: id})
		o := n.usual
		if len(n.orders) > 0 {
			o, n.orders = n.orders[0], n.orders[1:]
		}
		n.mu.Unlock()
		select {
		case n.wake <- struct{}{}:
		default:
		}
		if !n.answer(c, words, o) {
			return
		}
	}
}

// answer tells whether the connection goes on.
func (n *Node) answer(c net.Conn, words []string, o Behavior) bool {
	time.Sleep(o.Delay)
	if o.Hang {
		io.Copy(io.Discard, c)
		return false
	}
	if o.Reset {
		c.(*net.TCPConn).SetLinger(0)
	}
	if o.Reply == "" && o.Close {
		return false
	}
	text := fmt.Sprintf("*3\r\n%s$14\r\nused=37,cost=4\r\n$18\r\ninflight=7,queue=2\r\n", Bulk(Value(words)))
	if o.Reply != "" {
		text = string(bytes.ReplaceAll([]byte(o.Reply), []byte("%v"), []byte(Bulk(Value(words)))))
	}
	_, err := c.Write([]byte(text + o.Trailer))
	return err == nil && !o.Close
}

// Value is what a node answers to a command: no other command's value is the same.
func Value(words []string) string {
	if len(words) < 3 {
		return ""
	}
	return "value of " + words[1] + " for " + words[2]
}

// Bulk is a bulk string.
func Bulk(s string) string { return "$" + strconv.Itoa(len(s)) + "\r\n" + s + "\r\n" }

// Command is a command's bytes.
func Command(words ...string) string {
	s := "*" + strconv.Itoa(len(words)) + "\r\n"
	for _, w := range words {
		s += Bulk(w)
	}
	return s
}

// ReadCommand reads an array of bulk strings.
func ReadCommand(in *bufio.Reader) ([]string, error) {
	count, err := readCount(in, '*')
	if err != nil || count < 1 || count > 64 {
		return nil, errors.Join(err, errors.New("no command"))
	}
	words := make([]string, count)
	for i := range words {
		size, err := readCount(in, '$')
		if err != nil || size < 0 || size > 1<<20 {
			return nil, errors.Join(err, errors.New("no bulk string"))
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:size])
	}
	return words, nil
}

func readCount(in *bufio.Reader, mark byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != mark {
		return 0, fmt.Errorf("expected %c, got %q", mark, line)
	}
	return strconv.Atoi(line[1 : len(line)-2])
}

// ReadReply reads an answer: a line, or a bulk string with its size's mark.
func ReadReply(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil || line[0] != '$' {
		return line, err
	}
	size, err := strconv.Atoi(line[1 : len(line)-2])
	if err != nil || size < 0 {
		return line, err
	}
	b := make([]byte, size+2)
	_, err = io.ReadFull(in, b)
	return "$" + string(b[:size]), err
}
