package eventloop

import (
	"time"
	"unsafe"

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
// window is closed. PeerPresence returns Unknown if that may be so and the socket has held unread input for
// longer than maxUnread.
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
	case c.peerHasClosed():
		return Absent
	case c.readable && c.loop.clock()-c.unreadSince > maxUnread && c.receiveWindowMayBeClosed():
		return Unknown
	}
	return Present
}

// Positions in the result of the socket option SO_MEMINFO, and their number.
const (
	memInfoReceiveAllocated = iota // SK_MEMINFO_RMEM_ALLOC
	memInfoReceiveBuffer           // SK_MEMINFO_RCVBUF
	memInfoCount            = 9
)

// receiveWindowMayBeClosed reports whether unread input fills so much of the receive buffer that the kernel
// may accept no further bytes. Linux closes the window only while less than half of the buffer is free. If
// the kernel does not tell, the window may be closed.
func (c *Conn) receiveWindowMayBeClosed() bool {
	var info [memInfoCount]uint32
	size := uint32(unsafe.Sizeof(info))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(c.fd), unix.SOL_SOCKET, unix.SO_MEMINFO,
		uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
	return errno != 0 || info[memInfoReceiveAllocated] > info[memInfoReceiveBuffer]/2
}

// States of a TCP connection whose peer has closed its side, as the kernel numbers them.
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// peerHasClosed reports whether the kernel has received the close of the peer, behind unread input or not. It
// reports false for a socket that is not a TCP socket.
func (c *Conn) peerHasClosed() bool {
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	switch info.State {
	case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}
