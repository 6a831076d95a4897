package storagenode

import (
	"net"
	"sync"
	"time"
)

// sharedLink simulates a network link with a limited rate that all connections of a node share. The
// connections send in pieces, and the link sends the pieces in the order of their arrival. A client with
// more connections therefore gets a larger share of the rate.
type sharedLink struct {
	rate   float64 // rate in bytes per second; 0: no limit
	mu     sync.Mutex
	freeAt time.Time // when the link has sent all pieces that it was given
}

// linkPieceSize is the maximum size of a piece that a connection sends at a time, in bytes.
const linkPieceSize = 32 << 10

// linkSlack is the maximum idle time that a link can catch up on. Without it, sleeps that last too long
// would reduce the link's rate.
const linkSlack = 5 * time.Millisecond

// send waits until the link has sent a piece of the given size.
func (l *sharedLink) send(size int) {
	l.mu.Lock()
	now := time.Now()
	if earliest := now.Add(-linkSlack); l.freeAt.Before(earliest) {
		l.freeAt = earliest
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.rate * 1e9))
	sent := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(sent))
}

// linkListener is a listener whose connections send through a shared link.
type linkListener struct {
	net.Listener
	link       *sharedLink
	sendBuffer int // size of a connection's kernel send buffer, in bytes; 0: the kernel's default
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok && l.sendBuffer > 0 {
		if err := t.SetWriteBuffer(l.sendBuffer); err != nil {
			_ = c.Close() // the caller gets err, which is the cause
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

// Write implements net.Conn. It takes time of the link only for a piece that the kernel has accepted, so that a
// connection whose peer does not read cannot block the others.
func (c *linkConn) Write(b []byte) (sum int, err error) {
	for len(b) > 0 && err == nil {
		piece := b[:min(len(b), linkPieceSize)]
		var n int
		n, err = c.Conn.Write(piece)
		c.link.send(n)
		sum += n
		b = b[n:]
	}
	return sum, err
}
