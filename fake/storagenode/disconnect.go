package storagenode

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"chalkstand/fake/disconnect"
)

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

// recordDisconnect logs the disconnection of a request that has not ended.
func (n *Node) recordDisconnect(e *LogEntry) {
	at := time.Since(n.epoch)
	n.update(e, func(x *LogEntry) {
		if x.Disconnected == 0 && x.Ended == 0 {
			x.Disconnected = at
		}
	})
}
