package storagenode

import (
	"net"
	"sync"
	"time"
)

// sharedLink is what all connections of a node send through: pieces of all of them, in the
// order in which they come, at a rate. Whoever has more connections gets more of it.
type sharedLink struct {
	rate float64 // bytes a second; 0: no bound
	mu   sync.Mutex
	freeAt time.Time // when what was taken has left
}

// linkPiece is what a connection sends at a time.
const linkPiece = 32 << 10

// linkSlack is for how long a link that was idle makes up, so that sleeps which last too
// long do not make it slower.
const linkSlack = 5 * time.Millisecond

// send waits until a piece has gone.
func (l *sharedLink) send(n int) {
	l.mu.Lock()
	now := time.Now()
	if early := now.Add(-linkSlack); l.freeAt.Before(early) {
		l.freeAt = early
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.rate * 1e9))
	at := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// linkListener has the connections that it accepts send through a link, with a
// bounded send buffer in the kernel.
type linkListener struct {
	net.Listener
	link   *sharedLink
	buffer int
}

func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok && l.buffer > 0 {
		if err := t.SetWriteBuffer(l.buffer); err != nil {
			c.Close()
			return nil, err
		}
	}
	if l.link.rate > 0 {
		c = &linkConn{c, l.link}
	}
	return c, nil
}

type linkConn struct {
	net.Conn
	link *sharedLink
}

func (c *linkConn) Write(b []byte) (sum int, err error) {
	for len(b) > 0 && err == nil {
		piece := b[:min(len(b), linkPiece)]
		var n int
		n, err = c.Conn.Write(piece) // one whose peer does not read keeps nobody from the link
		c.link.send(n)
		sum += n
		b = b[n:]
	}
	return sum, err
}
