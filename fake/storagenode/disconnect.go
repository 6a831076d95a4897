package storagenode

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"chalkstand/fake/disconnect"
)

// connKey is the context key under which withConn stores a request's connection.
type connKey struct{}

// withConn adds the connection to the context of its requests. It is the ConnContext of a node's HTTP server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if l, ok := c.(*linkConn); ok {
		c = l.Conn
	}
	return context.WithValue(ctx, connKey{}, c)
}

// watchDisconnect logs when the client of a request disconnects, until the returned function is called. The request's
// context alone is not enough: the HTTP server detects a disconnection only after the request body has been read, and
// the body of a request that waits for a core is still unread.
func (n *Node) watchDisconnect(r *http.Request, e *LogEntry) (stop func()) {
	ended := make(chan struct{})
	record := func() { n.recordDisconnect(e) }
	stopContext := context.AfterFunc(r.Context(), record)
	if conn, ok := r.Context().Value(connKey{}).(syscall.Conn); ok && r.ContentLength != 0 {
		go disconnect.Watch(conn, ended, record)
	}
	return func() {
		stopContext()
		close(ended)
	}
}

// recordDisconnect logs the time at which the client disconnected, unless the request has already ended.
func (n *Node) recordDisconnect(e *LogEntry) {
	at := time.Since(n.epoch)
	n.update(e, func(x *LogEntry) {
		if x.Disconnected == 0 && x.Ended == 0 {
			x.Disconnected = at
		}
	})
}
