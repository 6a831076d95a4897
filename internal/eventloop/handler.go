package eventloop

import "errors"

// ErrPeerClosed is passed to OnClose, as it is, when the peer closed the connection in order.
var ErrPeerClosed = errors.New("connection closed by peer")

// Handler handles the events of one connection. All calls are made on the connection's loop.
type Handler interface {
	// OnData is called with all bytes that have not been consumed yet and returns how many
	// of them it consumed. The rest is kept and passed again together with the bytes that
	// come next, or after Resume or Redeliver.
	OnData(c *Conn, b []byte) int
	// OnDrained is called when all pending output has been written to the socket.
	OnDrained(c *Conn)
	// OnClose is the last call. err is nil when the connection was closed on this side.
	OnClose(c *Conn, err error)
}

// PeerCloseHandler is a Handler that is notified as soon as the peer has closed its side, also
// while the connection is paused or waits for a time slice. Bytes that the peer sent before
// may still be unread.
type PeerCloseHandler interface {
	Handler
	// OnPeerClosed is called once, while the connection is still open on this side.
	OnPeerClosed(c *Conn)
}

// ReadableHandler is a Handler that uses Conn.Readable.
type ReadableHandler interface {
	Handler
	// OnReadable is called when there is something to read on a connection whose Readable
	// has returned false.
	OnReadable(c *Conn)
}

// ConnectHandler is a Handler that uses Loop.Connect.
type ConnectHandler interface {
	Handler
	// OnOpen is called when the connection is established.
	OnOpen(c *Conn)
}
