package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxBulk is the longest bulk string of the protocol.
const maxBulk = 64 << 10

// storageServer is a stand-in of a storage server. It runs the commands of a connection one after the
// other, answers each after its work, and turns away a request for another shard.
type storageServer struct {
	id    string
	shard int
	work  time.Duration
	value int // bytes of the value that a read is answered with

	record   *record
	listener net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]bool
	silent   bool // the server takes commands and answers none
	received []receivedCommand
}

// receivedCommand is a command that came whole to a storage server.
type receivedCommand struct {
	at      time.Time
	name    string
	request string // the request's id
}

func startStorageServer(rec *record, id string, shard, value int, work time.Duration) (*storageServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storageServer{
		id: id, shard: shard, work: work, value: value,
		record: rec, listener: ln, conns: map[net.Conn]bool{},
	}
	go s.accept()
	return s, nil
}

func (s *storageServer) addr() string { return s.listener.Addr().String() }

// stop ends the server like the end of its process: the connections are closed and new ones refused.
func (s *storageServer) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// setSilent makes the server take commands without an answer, or ends this.
func (s *storageServer) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *storageServer) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// commands returns the commands that have come so far.
func (s *storageServer) commands() []receivedCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedCommand(nil), s.received...)
}

func (s *storageServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *storageServer) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c, 4<<10)
	for {
		args, err := readCommand(in)
		if err != nil {
			return
		}
		if s.isSilent() {
			s.noteCommand(args, "taken, no answer")
			_, _ = io.Copy(io.Discard, in) // until the dispatcher closes the connection
			return
		}
		if _, err := c.Write(s.run(args)); err != nil {
			return
		}
	}
}

// noteCommand notes the arrival of a command and what became of it.
func (s *storageServer) noteCommand(args []string, fate string) {
	now := time.Now()
	id := ""
	if len(args) > 2 {
		id = args[2]
	}
	s.mu.Lock()
	s.received = append(s.received, receivedCommand{at: now, name: args[0], request: id})
	s.mu.Unlock()
	s.record.lineAt(now, "server %s: %s id=%s %s", s.id, args[0], id, fate)
}

// run runs one command and returns its answer.
func (s *storageServer) run(args []string) []byte {
	switch name := strings.ToUpper(args[0]); {
	case name == "CLIENT" || name == "SELECT":
		return []byte("+OK\r\n")
	case name != "OBJ.GET" && name != "OBJ.PUT":
		return []byte("-ERR unknown command\r\n")
	case name == "OBJ.GET" && len(args) != 4 || name == "OBJ.PUT" && len(args) != 5:
		return []byte("-SYNTAX\r\n")
	}
	if shard := fieldOf(args[3], "shard"); shard != strconv.Itoa(s.shard) && shard != "-1" {
		s.noteCommand(args, "turned away, other shard")
		return []byte("-BUSY\r\n")
	}
	s.noteCommand(args, "run")
	time.Sleep(s.work)
	value := valueOf(args[2], s.value)
	if len(args) == 5 {
		value = valueOf(args[2], 0)
	}
	return append(append([]byte("*3\r\n"), bulk(value)...), "$-1\r\n$-1\r\n"...)
}

// valueOf returns the value that a request is answered with. It names the request, and is padded to a
// length.
func valueOf(request string, length int) string {
	value := "value for " + request + " "
	return value + strings.Repeat("x", max(0, length-len(value)))
}

// fieldOf returns the value of a name in a list of names and values.
func fieldOf(fields, name string) string {
	for _, pair := range strings.Split(fields, ",") {
		if n, v, ok := strings.Cut(pair, "="); ok && n == name {
			return v
		}
	}
	return ""
}

func bulk(s string) []byte { return fmt.Appendf(nil, "$%d\r\n%s\r\n", len(s), s) }

// command returns a command of the protocol.
func command(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = append(b, bulk(w)...)
	}
	return b
}

// errSyntax is the error for a line or length that the protocol does not have.
var errSyntax = errors.New("syntax")

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil || count < 1 || count > 16 {
		return nil, errors.Join(errSyntax, err)
	}
	args := make([]string, count)
	for i := range args {
		if args[i], err = readBulk(in); err != nil {
			return nil, err
		}
	}
	return args, nil
}

func readBulk(in *bufio.Reader) (string, error) {
	n, err := readLength(in, '$')
	if err != nil || n < 0 || n > maxBulk {
		return "", errors.Join(errSyntax, err)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", err
	}
	return string(b[:n]), nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, errSyntax
	}
	return strconv.Atoi(line[1:])
}
