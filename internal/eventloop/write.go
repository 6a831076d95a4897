package eventloop

import (
	"os"

	"golang.org/x/sys/unix"
)

// Pending returns how many bytes wait to be written.
func (c *Conn) Pending() int { return len(c.output) - c.written }

// Unacknowledged returns how many bytes the kernel holds that the peer has not
// acknowledged; 0 where the kernel does not say.
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

// Write sends b and keeps a copy of what the socket does not take. The sender
// watches Pending, stops its source, and goes on at OnDrained.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.closeAfterFlush || c.endAfterFlush {
		return
	}
	if c.Pending() == 0 {
		n, err := unix.Write(c.fd, b)
		if err == unix.EAGAIN || err == unix.EINTR {
			n, err = 0, nil
		}
		if err != nil {
			c.failWrite(os.NewSyscallError("write", err))
			return
		}
		b = b[n:]
	}
	if len(b) > 0 {
		c.output = append(c.output, b...)
	}
}

// failWrite closes the connection after the present event, so that OnClose is never called
// within a handler's call of Write.
func (c *Conn) failWrite(err error) {
	c.closeAfterFlush = true
	c.dropOutput()
	c.loop.Defer(func() { c.close(err) })
}

// flush writes the pending output. It reports whether the connection is still open.
func (c *Conn) flush() bool {
	for c.Pending() > 0 {
		n, err := unix.Write(c.fd, c.output[c.written:])
		if err == unix.EAGAIN || err == unix.EINTR {
			return true // the kernel reports when there is room
		}
		if err != nil {
			c.close(os.NewSyscallError("write", err))
			return false
		}
		c.written += n
	}
	if c.output == nil {
		return true
	}
	c.dropOutput() // an idle connection holds no buffer
	if c.closeAfterFlush {
		c.close(nil)
		return false
	}
	if c.endAfterFlush {
		c.shutdownWrite()
	}
	c.Handler.OnDrained(c)
	return c.fd >= 0
}

// dropOutput releases the output buffer.
func (c *Conn) dropOutput() {
	c.output = nil
	c.written = 0
}

// shutdownWrite sends an end of file. It fails only where the connection has failed already, and
// then the next read returns the reason.
func (c *Conn) shutdownWrite() { _ = unix.Shutdown(c.fd, unix.SHUT_WR) }

// CloseWrite half-closes the connection: it sends an end of file once all output is written.
// Reading goes on.
func (c *Conn) CloseWrite() {
	if c.fd < 0 || c.endAfterFlush {
		return
	}
	c.endAfterFlush = true
	if c.Pending() == 0 {
		c.shutdownWrite()
	}
}

// Close closes the connection at once and drops pending output.
func (c *Conn) Close() { c.close(nil) }

// CloseAfterWrite closes the connection once all output is written, and reads nothing more.
func (c *Conn) CloseAfterWrite() {
	if c.fd < 0 {
		return
	}
	if c.Pending() == 0 {
		c.shutdownWrite()
		c.close(nil)
		return
	}
	c.closeAfterFlush = true
	c.paused = true
}

// Reset closes the connection with a TCP reset, so that the peer sees an error and no end of file.
func (c *Conn) Reset() {
	if c.fd >= 0 {
		// Without the option the close is an orderly one, which is the next best.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.close(nil)
	}
}

// close closes the socket and calls OnClose, once.
func (c *Conn) close(err error) {
	if c.fd < 0 {
		return
	}
	delete(c.loop.conns, c.fd)
	closeFD(c.fd)
	c.fd = -1
	c.input = nil
	c.dropOutput()
	c.loop.connCount.Add(-1)
	c.Handler.OnClose(c, err)
}
