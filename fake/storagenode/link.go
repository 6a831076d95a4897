package storagenode

import (
	"net"
	"sync"
	"time"
)

// sharedLink is the link that all connections of a node send through, at a limited rate, in pieces
// in the order in which they come. A client with more connections gets more of it.
type sharedLink struct {
	rate   float64 // bytes a second; 0: no limit
	mu     sync.Mutex
	freeAt time.Time // when all pieces so far have been sent
}

// linkPiece is how much a connection sends at a time, in bytes.
const linkPiece = 32 << 10

// linkSlack is how much idle time a link makes up for, so that sleeps that last too long do not
// reduce its rate.
const linkSlack = 5 * time.Millisecond

// send waits until a piece of so many bytes has been sent.
func (l *sharedLink) send(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if early := now.Add(-linkSlack); l.freeAt.Before(early) {
		l.freeAt = early
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.rate * 1e9))
	sent := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(sent))
}

// linkListener accepts connections that send through a link.
type linkListener struct {
	net.Listener
	link       *sharedLink
	sendBuffer int // kernel send buffer of a connection, bytes; 0: the kernel's default
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok && l.sendBuffer > 0 {
		if err := t.SetWriteBuffer(l.sendBuffer); err != nil {
			_ = c.Close() // err says more
			return nil, err
		}
	}
	if l.link.rate > 0 {
		c = &linkConn{Conn: c, link: l.link}
	}
	return c, nil
}

type linkConn struct {
	net.Conn
	link *sharedLink
}

// Write implements net.Conn. A connection whose peer does not read keeps no other from the link.
func (c *linkConn) Write(b []byte) (sum int, err error) {
	for len(b) > 0 && err == nil {
		piece := b[:min(len(b), linkPiece)]
		var n int
		n, err = c.Conn.Write(piece)
		c.link.send(n)
		sum += n
		b = b[n:]
	}
	return sum, err
}
