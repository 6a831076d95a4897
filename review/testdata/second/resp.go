package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// command returns a command in RESP2: an array of bulk strings.
func command(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		b.WriteString(bulk(w))
	}
	return b.String()
}

func bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

// reply is what a dispatcher has answered: a line with its first byte, or a value.
type reply struct {
	text   string // line, or "" for a value
	value  string
	served bool
}

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func readReply(in *bufio.Reader) (reply, error) {
	line, err := readLine(in)
	if err != nil || line == "" {
		return reply{}, fmt.Errorf("reply %q: %w", line, err)
	}
	switch line[0] {
	case '$':
		value, err := readBulkBody(in, line)
		return reply{value: value, served: err == nil}, err
	case '*':
		n, _ := strconv.Atoi(line[1:])
		r := reply{served: true}
		for i := range n {
			head, err := readLine(in)
			if err != nil {
				return reply{}, err
			}
			value, err := readBulkBody(in, head)
			if err != nil {
				return reply{}, err
			}
			if i == 0 {
				r.value = value
			}
		}
		return r, nil
	}
	return reply{text: line}, nil
}

func readBulkBody(in *bufio.Reader, head string) (string, error) {
	if head == "" || head[0] != '$' {
		return "", fmt.Errorf("expected a bulk string, got %q", head)
	}
	n, err := strconv.Atoi(head[1:])
	if err != nil || n < 0 {
		return "", fmt.Errorf("length of a bulk string: %q", head)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", err
	}
	return string(b[:n]), nil
}

// readCommand reads a command and the time at which its first byte was there.
func readCommand(in *bufio.Reader) (words []string, first time.Time, err error) {
	if _, err := in.Peek(1); err != nil {
		return nil, time.Time{}, err
	}
	first = time.Now()
	line, err := readLine(in)
	if err != nil || line == "" || line[0] != '*' {
		return nil, first, fmt.Errorf("expected a command, got %q: %w", line, err)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 1 || n > 16 {
		return nil, first, fmt.Errorf("command of %q words", line)
	}
	for range n {
		head, err := readLine(in)
		if err != nil {
			return nil, first, err
		}
		w, err := readBulkBody(in, head)
		if err != nil {
			return nil, first, err
		}
		words = append(words, w)
	}
	return words, first, nil
}

// fields returns the names and values of an object command.
func fields(words []string) map[string]string {
	m := map[string]string{}
	if len(words) > 3 {
		for _, pair := range strings.Split(words[3], ",") {
			name, value, _ := strings.Cut(pair, "=")
			m[name] = value
		}
	}
	return m
}

// clientConn is a client's connection to a dispatcher. It carries one command at a time.
type clientConn struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialClient(addr string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *clientConn) close() { _ = c.conn.Close() }

func (c *clientConn) call(text string, timeout time.Duration) (reply, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return reply{}, err
	}
	return readReply(c.in)
}
