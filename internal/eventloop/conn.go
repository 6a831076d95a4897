package eventloop

import (
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// ReadSize is the most that one read takes from a socket, in bytes. It is also
// the most that a paused sink makes a stream hold (see Conn.Pending).
const ReadSize = 32 << 10

// Conn is a socket on a loop. A listening socket and a task that runs in slices are represented
// by a Conn, too, as they wait for time slices in the same way; handlers never see those.
type Conn struct {
	Handler Handler

	loop    *Loop
	fd      int    // -1 once closed
	input   []byte // received bytes that the handler has not consumed
	output  []byte // bytes to be written
	written int    // bytes of output that the kernel has taken

	flow          *Flow
	queuedAt      time.Duration // when it began to wait for a time slice
	sliceWait     time.Duration // wait for the present time slice, or the last
	rateLimitWait time.Duration // part of sliceWait that is due to the flow's rate limit

	accept       func(fd int, sa unix.Sockaddr) // of a listening socket only
	acceptFailed bool                           // accepting failed for want of descriptors or memory
	task         *task                          // of a task only

	connecting      bool // until the kernel reports whether the connect succeeded
	starting        bool // what comes next begins something new
	paused          bool
	closeAfterFlush bool // close once the output is written
	endAfterFlush   bool // shut down the writing side once the output is written
	queued          bool // waits for a time slice
	redeliver       bool // input is to be passed to the handler again
	readable        bool // as last reported by the kernel
	writable        bool // reported since the last flush
	readInterest    bool // the handler waits for OnReadable
	peerClosed      bool // an end of file is to be read behind the bytes
}

// Add puts a connected, non-blocking socket on the loop, which takes it over. The error is
// ErrEnded, or that of a system call; fd is closed then. On the loop only.
func (l *Loop) Add(fd int, h Handler) (*Conn, error) {
	if l.ended {
		closeFD(fd)
		return nil, ErrEnded
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // fails on Unix sockets, which need it not
	c := &Conn{Handler: h, loop: l, fd: fd, flow: l.defaultFlow}
	if err := watch(l.epollFD, fd, connInterest); err != nil {
		closeFD(fd)
		return nil, os.NewSyscallError("epoll_ctl", err)
	}
	l.conns[fd] = c
	l.connCount.Add(1)
	return c, nil
}

// Loop returns the connection's loop.
func (c *Conn) Loop() *Loop { return c.loop }

// FD returns the socket's descriptor; -1 once closed.
func (c *Conn) FD() int { return c.fd }

// AssignFlow charges the connection's time slices to a flow, from the next one on.
func (c *Conn) AssignFlow(f *Flow) { c.flow = f }

// SetStarting sets whether what comes next on the connection begins something new or is part of
// what is in progress, from its next time slice on. Within a flow, the latter goes first.
func (c *Conn) SetStarting(yes bool) { c.starting = yes }

// SetReceiveBuffer bounds how many bytes the kernel holds for reading, so that the peer of a
// paused connection is held back early. It is a hint: a failure is ignored.
func (c *Conn) SetReceiveBuffer(bytes int) {
	if c.fd >= 0 {
		_ = unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	}
}

// Queued reports whether the connection has something to do and waits for a time slice.
func (c *Conn) Queued() bool { return c.queued }

// SliceWait returns how long the connection waited for the present time slice.
func (c *Conn) SliceWait() time.Duration { return c.sliceWait }

// RateLimitWait returns the part of SliceWait that was due to the rate limit of the connection's
// flow.
func (c *Conn) RateLimitWait() time.Duration { return c.rateLimitWait }

// PeerClosed reports whether the peer has closed its side, though bytes that it sent before may
// not have been read.
func (c *Conn) PeerClosed() bool { return c.peerClosed }

// Open reports whether the connection can still be written to.
func (c *Conn) Open() bool { return c.fd >= 0 && !c.closeAfterFlush }

// Buffered returns how many received bytes the handler has not consumed.
func (c *Conn) Buffered() int { return len(c.input) }

// RemoteAddr returns the address of the peer; the zero Addr where there is none.
func (c *Conn) RemoteAddr() netip.Addr {
	sa, err := unix.Getpeername(c.fd)
	if err != nil {
		return netip.Addr{}
	}
	return AddrOf(sa)
}

// AddrOf returns a socket address's IP address; the zero Addr where it has none.
func AddrOf(sa unix.Sockaddr) netip.Addr {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrFrom4(sa.Addr)
	case *unix.SockaddrInet6:
		return netip.AddrFrom16(sa.Addr).Unmap()
	}
	return netip.Addr{}
}

// Pause stops reading. The peer is held back by TCP flow control once the receive buffer is full.
func (c *Conn) Pause() {
	c.paused = true
}

// Paused reports whether reading is stopped.
func (c *Conn) Paused() bool { return c.paused }

// Resume starts reading again. Bytes that were not consumed are passed to the handler first.
func (c *Conn) Resume() {
	if c.fd < 0 || !c.paused {
		return
	}
	c.paused = false
	c.Redeliver()
	c.loop.schedule(c)
}

// Redeliver passes the bytes that were not consumed to the handler again, in a time slice.
func (c *Conn) Redeliver() {
	if len(c.input) > 0 {
		c.redeliver = true
		c.loop.schedule(c)
	}
}

// Readable reports whether there is something to pass to the handler. If not, OnReadable is
// called when there is; the handler has to be a ReadableHandler.
func (c *Conn) Readable() bool {
	c.readInterest = c.fd >= 0 && !c.readable && len(c.input) == 0
	return !c.readInterest
}

// WantsRead reports whether the handler waits for OnReadable.
func (c *Conn) WantsRead() bool { return c.readInterest }

// NoUnreadInput reports whether nothing has come that the handler has not been passed, an end of
// file included. It asks the kernel, which may know more than it has reported to the loop.
func (c *Conn) NoUnreadInput() bool {
	if c.fd < 0 || c.peerClosed || len(c.input) > 0 {
		return false
	}
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// read reads up to limit bytes, in whole reads, and returns how many came.
func (c *Conn) read(limit int) (sum int) {
	for sum < limit && c.readable && !c.paused && !c.closeAfterFlush && c.fd >= 0 {
		n, err := unix.Read(c.fd, c.loop.readBuffer[:])
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			c.readable = false
			return sum
		case err != nil:
			c.close(os.NewSyscallError("read", err))
			return sum
		case n == 0:
			c.close(ErrPeerClosed)
			return sum
		}
		sum += n
		// A short read has emptied the socket: the kernel reports what comes later. The end of
		// file has been reported already, so it has to be read for.
		c.readable = n == ReadSize || c.peerClosed
		c.deliver(c.loop.readBuffer[:n])
	}
	return sum
}

// deliver passes the kept input and the fresh bytes to the handler and keeps what it does not
// consume.
func (c *Conn) deliver(fresh []byte) {
	b := fresh
	if len(c.input) > 0 {
		c.input = append(c.input, fresh...)
		b = c.input
	}
	consumed := 0
	// A failed write sets closeAfterFlush: nothing more is passed to the handler then.
	for consumed < len(b) && c.fd >= 0 && !c.paused && !c.closeAfterFlush {
		n := c.Handler.OnData(c, b[consumed:])
		if n == 0 {
			break
		}
		consumed += n
	}
	switch {
	case c.fd < 0:
	case consumed == len(b):
		c.input = nil
	case len(c.input) > 0:
		c.input = append(c.input[:0], c.input[consumed:]...)
	default:
		c.input = append(make([]byte, 0, len(b)-consumed), b[consumed:]...)
	}
}
