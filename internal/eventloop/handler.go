package eventloop

import "errors"

// ErrPeerClosed is passed to OnClose when the peer has closed the connection with an end of file. It is
// never wrapped in another error.
var ErrPeerClosed = errors.New("connection closed by peer")

// Handler handles the events of one connection. The loop calls all its methods on the goroutine of
// the connection's loop.
type Handler interface {
	// OnData receives all bytes that the handler has not consumed yet and returns how many of
	// them it consumes. The connection keeps the rest. It passes the rest again together with
	// the next received bytes, or after Resume or Redeliver.
	OnData(c *Conn, b []byte) int
	// OnDrained is called when the connection has written all pending output to the socket.
	OnDrained(c *Conn)
	// OnClose is the last call to the handler. err is nil if this side closed the connection.
	OnClose(c *Conn, err error)
}

// PeerCloseHandler is a Handler that the loop notifies as soon as the peer has closed its side of
// the connection, even if the connection is paused or waits for a time slice. The connection may
// still have unread bytes that the peer sent before.
type PeerCloseHandler interface {
	Handler
	// OnPeerClosed is called once, while the connection is still open on this side.
	OnPeerClosed(c *Conn)
}

// ReadableHandler is the Handler of a connection on which Conn.Readable is called.
type ReadableHandler interface {
	Handler
	// OnReadable is called when a connection has input after its Readable method has returned
	// false.
	OnReadable(c *Conn)
}

// ConnectHandler is the Handler of a connection that Loop.Connect opens.
type ConnectHandler interface {
	Handler
	// OnOpen is called when the connection is established.
	OnOpen(c *Conn)
}
