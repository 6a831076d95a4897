package eventloop

import (
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// ReadSize is the maximum number of bytes that one read takes from a socket. It is also the maximum
// number of bytes that a stream has to buffer after its destination stops reading (see
// Conn.BufferedOutput).
const ReadSize = 32 << 10

// Conn is a socket on a loop. A Conn also represents a listening socket or a task that runs in time
// slices, because these wait for time slices in the same way. Handlers never receive such a Conn.
type Conn struct {
	Handler Handler

	loop    *Loop
	fd      int    // descriptor of the socket; -1 after the close and for tasks
	input   []byte // received bytes that the handler has not consumed
	output  []byte // bytes that Write has buffered
	written int    // number of bytes of output that the kernel has accepted
	maxRead int    // maximum number of bytes that one read takes; 0 means ReadSize

	flow          *Flow
	queuedAt      time.Duration // time at which the connection began to wait for a time slice
	sliceWait     time.Duration // duration of the wait for the current or the last time slice
	rateLimitWait time.Duration // part of sliceWait that the flow's rate limit caused

	accept       func(fd int, sa unix.Sockaddr) // callback of a listening socket; nil for other sockets
	acceptFailed bool                           // whether accept failed for lack of descriptors or memory
	task         *task                          // task that runs in time slices; nil for sockets

	connecting      bool // whether the kernel has yet to report the result of the connect
	newWork         bool // whether the next input begins a new unit of work, such as a request
	paused          bool
	closeAfterFlush bool // whether to close the connection after the output is written
	endAfterFlush   bool // whether to send an end of file after the output is written
	queued          bool // whether the connection waits for a time slice
	redeliver       bool // whether to pass the kept input to the handler again
	delivering      bool // whether the handler is inside OnData
	coalescing      bool // whether Write buffers small writes while the handler is inside OnData
	readable        bool // whether the socket may have input to read
	writable        bool // whether the kernel has reported room for output since the last flush
	readInterest    bool // whether the handler waits for OnReadable
	peerClosed      bool // whether the kernel has reported that the peer closed its side

	discardKept  bool // whether to release the kept input after the handler has returned from OnData
	bufferMemory int  // size of the buffers of input and output, as counted on the loop

	unreadSince time.Duration // when the socket's input was found unread after the last time that it was empty
}

// Add puts a connected, non-blocking socket on the loop, which takes ownership of fd. If Add fails, it
// closes fd and returns ErrEnded or the error of a system call. It must be called on the loop.
func (l *Loop) Add(fd int, h Handler) (*Conn, error) {
	if l.ended {
		closeFD(fd)
		return nil, ErrEnded
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // fails on Unix sockets, which do not need it
	c := &Conn{Handler: h, loop: l, fd: fd, flow: l.defaultFlow}
	if err := watch(l.epollFD, fd, connInterest); err != nil {
		closeFD(fd)
		return nil, os.NewSyscallError("epoll_ctl", err)
	}
	l.conns[fd] = c
	l.connCount.Add(1)
	return c, nil
}

// Loop returns the loop that runs the connection.
func (c *Conn) Loop() *Loop { return c.loop }

// FD returns the socket's descriptor, or -1 if the connection is closed.
func (c *Conn) FD() int { return c.fd }

// AssignFlow assigns the connection to a flow. The loop charges the connection's next and later time
// slices to this flow.
func (c *Conn) AssignFlow(f *Flow) { c.flow = f }

// SetNewWork sets whether the next input of the connection begins a new unit of work, such as a
// request, or continues one in progress. The setting applies from the next time slice. Within a flow,
// connections with work in progress get their time slices first.
func (c *Conn) SetNewWork(newWork bool) { c.newWork = newWork }

// SetReceiveBuffer limits how many unread bytes the kernel buffers, so that TCP flow control stops
// the peer of a paused connection early. SetReceiveBuffer ignores a failure, because the limit is only
// a hint.
func (c *Conn) SetReceiveBuffer(bytes int) {
	if c.fd >= 0 {
		_ = unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	}
}

// SetSendBuffer limits how many unacknowledged bytes the kernel buffers, so that a peer that does not
// read is noticed early. SetSendBuffer ignores a failure, because the limit is only a hint.
func (c *Conn) SetSendBuffer(bytes int) {
	if c.fd >= 0 {
		_ = unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
	}
}

// SetMaxRead limits how many bytes one read takes from the socket, and thereby how many bytes the
// connection buffers when its handler stops consuming input. n must be from 1 to ReadSize.
func (c *Conn) SetMaxRead(n int) { c.maxRead = n }

// CoalesceWrites makes the connection write what its handler writes inside OnData with few system
// calls, at the end of the time slice's input at the latest.
func (c *Conn) CoalesceWrites() { c.coalescing = true }

// Queued reports whether the connection has work to do and waits for a time slice.
func (c *Conn) Queued() bool { return c.queued }

// SliceWait returns how long the connection waited for its current time slice.
func (c *Conn) SliceWait() time.Duration { return c.sliceWait }

// RateLimitWait returns the part of SliceWait that the rate limit of the connection's flow caused.
func (c *Conn) RateLimitWait() time.Duration { return c.rateLimitWait }

// PeerClosed reports whether the peer has closed its side of the connection. Bytes that the peer sent
// before may still be unread.
func (c *Conn) PeerClosed() bool { return c.peerClosed }

// Open reports whether the connection is neither closed nor about to be closed.
func (c *Conn) Open() bool { return c.fd >= 0 && !c.closeAfterFlush }

// DiscardInput releases the received bytes that the handler has not consumed. Inside OnData, these are
// also the bytes that the handler consumes no more.
func (c *Conn) DiscardInput() {
	c.discardKept = c.delivering
	if !c.delivering {
		c.releaseInput()
		c.countBuffers()
		c.redeliver = false
	}
}

// BufferMemory returns the size of the connection's buffers.
func (c *Conn) BufferMemory() int { return c.bufferMemory }

// countBuffers updates the connection's part in the memory that the loop counts.
func (c *Conn) countBuffers() {
	n := cap(c.input) + cap(c.output)
	if n == c.bufferMemory {
		return
	}
	c.loop.bufferMemory += n - c.bufferMemory
	if total := c.loop.options.BufferMemory; total != nil {
		total.Add(int64(n - c.bufferMemory))
	}
	c.bufferMemory = n
}

// BufferedInput returns how many received bytes the handler has not consumed.
func (c *Conn) BufferedInput() int { return len(c.input) }

// RemoteAddr returns the IP address of the peer, or the zero Addr if the peer has none.
func (c *Conn) RemoteAddr() netip.Addr {
	sa, err := unix.Getpeername(c.fd)
	if err != nil {
		return netip.Addr{}
	}
	return AddrOf(sa)
}

// AddrOf returns the IP address of a socket address, or the zero Addr if it has none.
func AddrOf(sa unix.Sockaddr) netip.Addr {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrFrom4(sa.Addr)
	case *unix.SockaddrInet6:
		return netip.AddrFrom16(sa.Addr).Unmap()
	}
	return netip.Addr{}
}

// Pause stops reading from the connection. When the receive buffer is full, TCP flow control stops the
// peer.
func (c *Conn) Pause() {
	c.paused = true
}

// Paused reports whether reading from the connection is stopped.
func (c *Conn) Paused() bool { return c.paused }

// Resume starts reading from the connection again. The handler first receives again the bytes that it
// has not consumed.
func (c *Conn) Resume() {
	if c.fd < 0 || !c.paused {
		return
	}
	c.paused = false
	c.Redeliver()
	c.loop.schedule(c)
}

// Redeliver schedules a time slice in which the handler receives again the bytes that it has not
// consumed.
func (c *Conn) Redeliver() {
	if len(c.input) > 0 {
		c.redeliver = true
		c.loop.schedule(c)
	}
}

// Readable reports whether the connection may have input for the handler or is closed. If Readable
// returns false, the loop calls OnReadable as soon as there is input. The handler must be a
// ReadableHandler.
func (c *Conn) Readable() bool {
	c.readInterest = c.fd >= 0 && !c.readable && len(c.input) == 0
	return !c.readInterest
}

// WantsRead reports whether the handler waits for a call of OnReadable.
func (c *Conn) WantsRead() bool { return c.readInterest }

// NoUnreadInput reports whether the connection is open, the handler has consumed all input and the peer
// has sent no end of file. It asks the kernel, which may hold input that it has not yet reported to the
// loop.
func (c *Conn) NoUnreadInput() bool {
	if c.fd < 0 || c.peerClosed || len(c.input) > 0 {
		return false
	}
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}
