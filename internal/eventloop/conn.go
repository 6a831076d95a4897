package eventloop

import (
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a socket on a loop.
type Conn struct {
	Handler Handler

	loop *Loop
	fd   int // -1 once closed
	in   []byte
	out  []byte
	sent int // of out
	flow *Flow
	from time.Duration // it waits for its turn since
	held time.Duration // that it waited for the present turn, or the last
	paid time.Duration // of it, by its flow's limit

	accept func(fd int, sa unix.Sockaddr) // of a listening socket
	short  bool                           // it could not accept for want of descriptors or memory
	task   *task                          // in the place of a socket

	opening  bool // until the kernel tells whether it is connected
	starting bool // what comes next is the beginning of something
	paused   bool
	closing  bool // after what waits to be written
	ending   bool // of the writing side, after what waits
	queued   bool // waits for its turn
	again    bool // kept bytes are to be shown once more
	readable bool // as the kernel last told
	writable bool // told since the last flush
	awaits   bool // paused, and its handler is to hear when there is something to read
	ended    bool // by the peer: there is an end to be read behind the bytes
}

// Loop returns the connection's loop.
func (c *Conn) Loop() *Loop { return c.loop }

// AssignFlow has the connection's turns count for a flow, from the next one on.
func (c *Conn) AssignFlow(f *Flow) { c.flow = f }

// SetReceiveBuffer bounds how many bytes the kernel holds for reading, so that a paused peer is
// held back soon.
func (c *Conn) SetReceiveBuffer(bytes int) {
	if c.fd >= 0 {
		unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	}
}

// FD is the socket's descriptor; -1 once closed.
func (c *Conn) FD() int { return c.fd }

// AwaitsSlice tells whether the connection has something to move and waits for its turn.
func (c *Conn) AwaitsSlice() bool { return c.queued }

// SetStarting tells whether what comes next on the connection is the beginning of something, or part
// of what is under way, from its next turn on.
func (c *Conn) SetStarting(yes bool) { c.starting = yes }

// RateLimitWait returns how much of what Waited returns was by the limit of the connection's flow.
func (c *Conn) RateLimitWait() time.Duration { return c.paid }

// PeerClosed tells whether the peer has ended its side, though bytes that it sent before may
// not have been read.
func (c *Conn) PeerClosed() bool { return c.ended }

// SliceWait returns how long the connection waited for the present turn.
func (c *Conn) SliceWait() time.Duration { return c.held }

// Open tells whether the connection can still be written to.
func (c *Conn) Open() bool { return c.fd >= 0 && !c.closing }

// Pending returns how many bytes wait to be written.
func (c *Conn) Pending() int { return len(c.out) - c.sent }

// Unacknowledged returns how many bytes the kernel holds that the peer has not
// acknowledged; 0 where it does not say.
func (c *Conn) Unacknowledged() int {
	if c.fd < 0 {
		return 0
	}
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// Buffered returns how many received bytes no handler has consumed.
func (c *Conn) Buffered() int { return len(c.in) }

// RemoteAddr returns the address of the other end.
func (c *Conn) RemoteAddr() netip.Addr {
	sa, err := unix.Getpeername(c.fd)
	if err != nil {
		return netip.Addr{}
	}
	return AddrOf(sa)
}

// AddrOf returns a socket address's IP address.
func AddrOf(sa unix.Sockaddr) netip.Addr {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrFrom4(sa.Addr)
	case *unix.SockaddrInet6:
		return netip.AddrFrom16(sa.Addr).Unmap()
	}
	return netip.Addr{}
}

// Write sends b, keeping a copy of what the socket does not take. The sender
// watches Pending, stops its source, and goes on at OnDrained.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.closing || c.ending {
		return
	}
	if c.Pending() == 0 {
		n, err := unix.Write(c.fd, b)
		if err == unix.EAGAIN || err == unix.EINTR {
			n, err = 0, nil
		}
		if err != nil {
			c.fail(os.NewSyscallError("write", err))
			return
		}
		b = b[n:]
	}
	if len(b) > 0 {
		c.out = append(c.out, b...)
	}
}

// fail closes outside of the caller's call: a handler that writes is not told of
// the connection's end before its write returns.
func (c *Conn) fail(err error) {
	c.closing = true
	c.out, c.sent = nil, 0
	c.loop.Defer(func() { c.shut(err) })
}

// flush writes what waits. It returns false when the connection is closed by it.
func (c *Conn) flush() bool {
	for c.Pending() > 0 {
		n, err := unix.Write(c.fd, c.out[c.sent:])
		if err == unix.EAGAIN || err == unix.EINTR {
			return true // the kernel tells when there is room
		}
		if err != nil {
			c.shut(os.NewSyscallError("write", err))
			return false
		}
		c.sent += n
	}
	if c.out == nil {
		return true
	}
	c.out, c.sent = nil, 0 // an idle connection holds no buffer
	if c.closing {
		c.shut(nil)
		return false
	}
	if c.ending {
		unix.Shutdown(c.fd, unix.SHUT_WR)
	}
	c.Handler.OnDrained(c)
	return c.fd >= 0
}

// Pause stops reading; the peer is held back by the socket's own window.
func (c *Conn) Pause() {
	c.paused = true
}

// Resume reads again, first what is kept.
func (c *Conn) Resume() {
	if c.fd < 0 || !c.paused {
		return
	}
	c.paused = false
	c.Redeliver()
	c.loop.want(c)
}

// Redeliver shows the kept bytes to the handler once more, in a turn.
func (c *Conn) Redeliver() {
	if len(c.in) > 0 {
		c.again = true
		c.loop.want(c)
	}
}

// Readable tells whether there is something to show to the handler, and has it hear by
// OnReadable of the next bytes if there is not.
func (c *Conn) Readable() bool {
	c.awaits = c.fd >= 0 && !c.readable && len(c.in) == 0
	return !c.awaits
}

// WantsRead tells whether the handler is to hear of the next bytes.
func (c *Conn) WantsRead() bool { return c.awaits }

// Paused tells whether reading is stopped.
func (c *Conn) Paused() bool { return c.paused }

// CloseWrite tells the peer that nothing more comes, once all is written. Reading
// goes on.
func (c *Conn) CloseWrite() {
	if c.fd < 0 || c.ending {
		return
	}
	if c.ending = true; c.Pending() == 0 {
		unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// Close ends the connection now; what waits to be written is dropped.
func (c *Conn) Close() { c.shut(nil) }

// CloseAfterWrite ends the connection once all has been written, and reads nothing more.
func (c *Conn) CloseAfterWrite() {
	if c.fd < 0 {
		return
	}
	if c.Pending() == 0 {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.shut(nil)
		return
	}
	c.closing, c.paused = true, true
}

// Reset ends the connection so that the peer sees an error, not an end.
func (c *Conn) Reset() {
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.shut(nil)
	}
}

func (c *Conn) shut(err error) {
	if c.fd < 0 {
		return
	}
	delete(c.loop.conns, c.fd)
	unix.Close(c.fd)
	c.fd = -1
	c.in, c.out, c.sent = nil, nil, 0
	c.loop.count.Add(-1)
	c.Handler.OnClose(c, err)
}

// due tells whether there is something to move.
func (c *Conn) due() bool {
	if c.opening {
		return c.fd >= 0 && c.writable
	}
	return c.task != nil || c.fd >= 0 && (c.writable && c.Pending() > 0 || !c.paused && (c.readable || c.again && len(c.in) > 0))
}

// turn moves what is there, up to the loop's quantum, and returns how many bytes came.
func (c *Conn) turn() int {
	switch {
	case c.task != nil:
		c.step()
		return 0
	case c.fd < 0:
		return 0
	case c.accept != nil:
		c.acceptSome()
		return 0
	case c.opening:
		c.opened()
		return 0
	}
	if c.writable = false; c.Pending() > 0 && !c.flush() {
		return 0
	}
	if c.again && !c.paused {
		if c.again = false; len(c.in) > 0 {
			c.offer(nil)
		}
	}
	return c.read(c.loop.o.Quantum)
}

// read takes up to so many bytes, in whole reads.
func (c *Conn) read(most int) (sum int) {
	for sum < most && c.readable && !c.paused && !c.closing && c.fd >= 0 {
		n, err := unix.Read(c.fd, c.loop.buf[:])
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			c.readable = false
			return sum
		case err != nil:
			c.shut(os.NewSyscallError("read", err))
			return sum
		case n == 0:
			c.shut(ErrPeerClosed)
			return sum
		}
		sum += n
		// A read that was not full has emptied the socket; what comes later is told.
		c.readable = n == ReadSize || c.ended
		c.offer(c.loop.buf[:n])
	}
	return sum
}

// offer shows the handler what is kept and what is new, and keeps the rest.
func (c *Conn) offer(fresh []byte) {
	b := fresh
	if len(c.in) > 0 {
		c.in = append(c.in, fresh...)
		b = c.in
	}
	used := 0
	for used < len(b) && c.fd >= 0 && !c.paused && !c.closing { // closing: a write has failed
		n := c.Handler.OnData(c, b[used:])
		if n == 0 {
			break
		}
		used += n
	}
	switch {
	case c.fd < 0:
	case used == len(b):
		c.in = nil
	case len(c.in) > 0:
		c.in = append(c.in[:0], c.in[used:]...)
	default:
		c.in = append(make([]byte, 0, len(b)-used), b[used:]...)
	}
}

// NoUnreadInput tells whether nothing has come that no handler has seen, an end included. It asks
// the kernel, which may know more than the loop was told.
func (c *Conn) NoUnreadInput() bool {
	if c.fd < 0 || c.ended || len(c.in) > 0 {
		return false
	}
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}
