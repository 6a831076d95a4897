package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// Presence says whether the peer of a connection is known to be there.
type Presence int

const (
	// Present means that the peer has not closed its side.
	Present Presence = iota
	// Absent means that the peer has closed its side or that the connection has failed.
	Absent
	// Unknown means that the peer may have closed its side: TCP delivers the close only after the bytes
	// that precede it, and the socket has held unread bytes for too long.
	Unknown
)

// PeerPresence asks the kernel whether the peer has closed its side of the connection. The kernel may
// know this before it has reported the event to the loop. Unread input hides a close while the receive
// buffer is full. PeerPresence returns Unknown if the socket has held unread input for longer than
// maxUnread.
func (c *Conn) PeerPresence(maxUnread time.Duration) Presence {
	if c.fd < 0 || c.peerClosed || c.closeAfterFlush {
		return Absent
	}
	var b [1]byte
	n, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return Present
	case err != nil || n == 0:
		return Absent
	case !c.established():
		return Absent
	case c.readable && c.loop.clock()-c.unreadSince > maxUnread:
		return Unknown
	}
	return Present
}

// tcpEstablished is the state of a TCP connection that neither side has closed.
const tcpEstablished = 1

// established reports whether neither side has closed the connection, as far as the kernel knows. A
// socket that is not a TCP socket counts as established.
func (c *Conn) established() bool {
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err != nil || info.State == tcpEstablished
}
