package eventloop

import (
	"os"

	"golang.org/x/sys/unix"
)

// BufferedOutput returns the number of buffered bytes that the kernel has not accepted yet.
func (c *Conn) BufferedOutput() int { return len(c.output) - c.written }

// Unacknowledged returns the number of bytes in the kernel that the peer has not acknowledged. It
// returns 0 if the kernel does not report the number.
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

// Write sends b and keeps a copy of the bytes that the kernel does not accept. To limit the size of
// this copy, the caller checks BufferedOutput, stops writing while it is large, and continues in OnDrained.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.closeAfterFlush || c.endAfterFlush {
		return
	}
	if c.delivering && c.coalescing && c.BufferedOutput()+len(b) <= maxCoalesced {
		c.appendOutput(b)
		return
	}
	if c.BufferedOutput() == 0 {
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
		c.appendOutput(b)
	}
}

// maxCoalesced is the largest number of bytes that Write buffers to write them together.
const maxCoalesced = 16 << 10

// appendOutput appends b to the pending output. It first removes the bytes that the kernel has
// accepted if they are the larger part of the buffer. The buffer of a connection whose peer reads
// steadily, but never all of the output, would grow without bound otherwise.
func (c *Conn) appendOutput(b []byte) {
	if c.written > len(c.output)/2 {
		c.output = append(c.output[:0], c.output[c.written:]...)
		c.written = 0
	}
	c.output = append(c.output, b...)
	c.countBuffers()
}

// flushCoalesced writes the output that Write has buffered while the handler was inside OnData.
func (c *Conn) flushCoalesced() {
	if c.coalescing && c.BufferedOutput() > 0 {
		c.flush()
	}
}

// failWrite closes the connection after the current event, because OnClose must never be called while
// a handler is inside Write.
func (c *Conn) failWrite(err error) {
	c.closeAfterFlush = true
	c.dropOutput()
	c.loop.Defer(func() { c.close(err) })
}

// flush writes pending output until the kernel accepts no more. It reports whether the connection is
// still open.
func (c *Conn) flush() bool {
	for c.BufferedOutput() > 0 {
		n, err := unix.Write(c.fd, c.output[c.written:])
		if err == unix.EAGAIN || err == unix.EINTR {
			return true // the kernel reports when it can accept more output
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
	c.dropOutput() // an idle connection keeps no buffer
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

// dropOutput discards the pending output and releases its buffer.
func (c *Conn) dropOutput() {
	c.output = nil
	c.written = 0
	c.countBuffers()
}

// shutdownWrite sends an end of file. It ignores errors: the call fails only if the connection has
// already failed, and then the next read returns the error.
func (c *Conn) shutdownWrite() { _ = unix.Shutdown(c.fd, unix.SHUT_WR) }

// CloseWrite half-closes the connection: it sends an end of file after all output is written. The
// connection continues to read.
func (c *Conn) CloseWrite() {
	if c.fd < 0 || c.endAfterFlush {
		return
	}
	c.endAfterFlush = true
	if c.BufferedOutput() == 0 {
		c.shutdownWrite()
	}
}

// Close closes the connection at once and discards pending output.
func (c *Conn) Close() { c.close(nil) }

// CloseAfterWrite stops reading and closes the connection after all output is written.
func (c *Conn) CloseAfterWrite() {
	if c.fd < 0 {
		return
	}
	if c.BufferedOutput() == 0 {
		c.shutdownWrite()
		c.close(nil)
		return
	}
	c.closeAfterFlush = true
	c.paused = true
}

// Reset closes the connection with a TCP reset, so that the peer reads an error and not an end of
// file.
func (c *Conn) Reset() {
	if c.fd >= 0 {
		// If setting the option fails, the peer reads an end of file instead of an error.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.close(nil)
	}
}

// close closes the socket and calls OnClose. Further calls have no effect.
func (c *Conn) close(err error) {
	if c.fd < 0 {
		return
	}
	delete(c.loop.conns, c.fd)
	closeFD(c.fd)
	c.fd = -1
	if !c.delivering { // the handler may still use the input
		c.releaseInput()
	}
	c.dropOutput()
	c.loop.connCount.Add(-1)
	c.Handler.OnClose(c, err)
}
