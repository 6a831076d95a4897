package faultinjection

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"chalkstand/lab/invariants"
)

const (
	// maxIdleConns bounds a pool.
	maxIdleConns = 64

	dialTimeout = time.Second
)

// connPool keeps idle connections to one gateway instance.
type connPool struct {
	addr string

	mu   sync.Mutex
	idle []*clientConn
}

// clientConn is a connection to a gateway.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	last   *invariants.Request // whose response was read last; nil: none
}

// close closes the connection. The error is ignored: the request's outcome is recorded already.
func (c *clientConn) close() { _ = c.Close() }

// setDeadline sets the deadline of reads and writes. It fails only on a closed connection, on which the
// read or write that follows fails, too.
func (c *clientConn) setDeadline(t time.Time) { _ = c.SetDeadline(t) }

// hasUnreadInput reports whether the connection has bytes that no request asked for, and whether it is
// still usable otherwise.
func (c *clientConn) hasUnreadInput() (unread, usable bool) {
	c.setDeadline(time.Now().Add(time.Microsecond))
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.setDeadline(time.Time{})
		return false, true
	}
	return err == nil, false
}

// get returns an idle connection, or opens one. onExtra is called for each idle connection on which bytes
// arrived after the response to its last request; these connections are closed.
func (p *connPool) get(ctx context.Context, onExtra func(*invariants.Request)) (*clientConn, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		unread, usable := c.hasUnreadInput()
		if usable {
			return c, nil
		}
		if unread && c.last != nil {
			onExtra(c.last)
		}
		c.close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// pop returns the connection that became idle last, or nil.
func (p *connPool) pop() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// put makes a connection idle, or closes it if the pool is full.
func (p *connPool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConns {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// close closes the idle connections.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
