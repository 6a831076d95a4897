package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// requestCount numbers the requests of all clients.
var requestCount atomic.Int64

// newRequestID returns a request id that no other request has.
func newRequestID() string { return fmt.Sprintf("%016x", 0x7000000000000000+requestCount.Add(1)) }

// request is a request of a usual client.
type request struct {
	id     string
	class  string
	plan   string
	shard  int
	units  int
	volume int
	body   string // of a write; "" for a read
	wait   time.Duration
}

// bytes returns the request as a command of the protocol.
func (r *request) bytes() []byte {
	piece := fmt.Sprintf("%016x", 0x1000+requestCount.Load())
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,", r.class, r.plan, r.wait.Milliseconds())
	if r.body != "" {
		fields += "k=" + r.id + ","
	}
	fields += fmt.Sprintf("volume=%016x,units=%d,shard=%d,hosts=1", 0x3b4d60000+r.volume, r.units, r.shard)
	if r.body != "" {
		return command("OBJ.PUT", piece, r.id, fields, r.body)
	}
	return command("OBJ.GET", piece, r.id, fields)
}

// answer is what a client reads for a command.
type answer struct {
	served bool
	value  string
	text   string // for the record
}

// refused reports whether the answer says that another try is harmless.
func (a answer) refused() bool { return strings.HasPrefix(a.text, "-BUSY") }

// errTooLong is the error for an answer that is longer than the protocol allows.
var errTooLong = errors.New("answer too long")

// readAnswer reads one answer of a dispatcher.
func readAnswer(in *bufio.Reader) (answer, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return answer{}, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if !strings.HasPrefix(line, "$") {
		return answer{text: line}, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > maxBulk {
		return answer{text: line}, errors.Join(errTooLong, err)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return answer{}, err
	}
	return answer{served: true, value: string(b[:n]), text: "served"}, nil
}

// client is a connection of a client.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialDispatcher(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, in: bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// ask sends a request and reads its answer.
func (c *client) ask(r *request) (answer, error) {
	if _, err := c.conn.Write(r.bytes()); err != nil {
		return answer{}, err
	}
	return readAnswer(c.in)
}
