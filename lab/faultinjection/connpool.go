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
	// maxIdleConns bounds the idle connections of one pool.
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
	reader      *bufio.Reader
	lastRequest *invariants.Request // the request whose response was read last; nil before the first response
}

// close closes the connection. It ignores the error because the client has already recorded the outcome of the
// request.
func (c *clientConn) close() { _ = c.Close() }

// setDeadline sets the deadline for reads and writes. It ignores the error: only a closed connection returns one,
// and the next read or write on that connection fails, too.
func (c *clientConn) setDeadline(t time.Time) { _ = c.SetDeadline(t) }

// hasUnreadInput checks an idle connection, on which no response is due. unread reports whether bytes have
// arrived; usable reports whether the connection is open and has no unread bytes.
func (c *clientConn) hasUnreadInput() (unread, usable bool) {
	c.setDeadline(time.Now().Add(time.Microsecond))
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.setDeadline(time.Time{})
		return false, true
	}
	return err == nil, false
}

// get returns an idle connection or opens a new one. If bytes have arrived on an idle connection after the response
// to its last request, get calls onExtra with that request and closes the connection.
func (p *connPool) get(ctx context.Context, onExtra func(*invariants.Request)) (*clientConn, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		unread, usable := c.hasUnreadInput()
		if usable {
			return c, nil
		}
		if unread && c.lastRequest != nil {
			onExtra(c.lastRequest)
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

// pop removes and returns the connection that became idle most recently, or nil if the pool is empty.
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

// put adds a connection to the pool, or closes the connection if the pool is full.
func (p *connPool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConns {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// close closes all idle connections of the pool.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
