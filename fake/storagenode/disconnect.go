package storagenode

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// disconnectPoll is how often a connection with an unread request body is checked.
const disconnectPoll = 5 * time.Millisecond

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the ConnContext of a node's server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if l, ok := c.(*linkConn); ok {
		c = l.Conn
	}
	return context.WithValue(ctx, connKey{}, c)
}

// watchDisconnect logs when the client of a request disconnects, until stop is called. The request's context
// alone does not tell: the server watches a connection only once the request body has been read to its end,
// and a request that waits for a core has not been read.
func (n *Node) watchDisconnect(r *http.Request, e *LogEntry) (stop func()) {
	ended := make(chan struct{})
	stopContext := context.AfterFunc(r.Context(), func() { n.recordDisconnect(e) })
	if conn, ok := r.Context().Value(connKey{}).(syscall.Conn); ok && r.ContentLength != 0 {
		go n.pollDisconnect(conn, e, ended)
	}
	return func() {
		stopContext()
		close(ended)
	}
}

// pollDisconnect checks a connection until its peer has closed it or the request has ended.
func (n *Node) pollDisconnect(conn syscall.Conn, e *LogEntry, ended <-chan struct{}) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	t := time.NewTicker(disconnectPoll)
	defer t.Stop()
	for {
		select {
		case <-ended:
			return
		case <-t.C:
		}
		if peerClosed(raw) {
			n.recordDisconnect(e)
			return
		}
	}
}

// peerClosed reports whether the peer of a connection has closed it, though bytes that it sent before may be
// unread. It is false once the connection is closed on this side.
func peerClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(events, 0)
		closed = err == nil && ready > 0
	})
	return err == nil && closed
}

// recordDisconnect logs the disconnection of a request that has not ended.
func (n *Node) recordDisconnect(e *LogEntry) {
	at := time.Since(n.epoch)
	n.update(e, func(x *LogEntry) {
		if x.Disconnected == 0 && x.Ended == 0 {
			x.Disconnected = at
		}
	})
}
