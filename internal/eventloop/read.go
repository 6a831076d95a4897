package eventloop

import (
	"os"

	"golang.org/x/sys/unix"
)

// read reads from the socket until it has read at least limit bytes or can read no more, and passes
// the bytes to the handler. It returns the number of bytes read.
func (c *Conn) read(limit int) (sum int) {
	buffer := c.loop.readBuffer[:]
	if c.maxRead > 0 {
		buffer = buffer[:c.maxRead]
	}
	for sum < limit && c.readable && !c.paused && !c.redeliver && !c.closeAfterFlush && c.fd >= 0 {
		n, err := unix.Read(c.fd, buffer)
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
		// A short read has emptied the socket, and the kernel reports later input as a new event. It
		// reports an end of file only once, so after that report the loop must read until the end.
		c.readable = n == len(buffer) || c.peerClosed
		c.deliver(buffer[:n])
	}
	return sum
}

// deliver passes the kept input and the received bytes to the handler. It keeps the bytes that the
// handler does not consume, and those that it has no time for in this time slice.
func (c *Conn) deliver(received []byte) {
	b := received
	if len(c.input) > 0 {
		c.appendInput(received)
		b = c.input
	}
	consumed := 0
	c.delivering = true
	// A failed write sets closeAfterFlush. After that, the handler gets no more input.
	for consumed < len(b) && c.fd >= 0 && !c.paused && !c.closeAfterFlush {
		n := c.Handler.OnData(c, b[consumed:])
		if n == 0 {
			break
		}
		consumed += n
		if c.loop.sliceExpired() {
			c.redeliver = consumed < len(b)
			break
		}
	}
	c.delivering = false
	if c.fd < 0 {
		c.releaseInput()
		c.countBuffers()
		return
	}
	if c.discardKept {
		c.discardKept = false
		c.redeliver = false
		consumed = len(b)
	}
	c.keepInput(b, consumed)
	c.countBuffers()
	c.flushCoalesced()
}

// appendInput appends received bytes to the kept input.
func (c *Conn) appendInput(received []byte) {
	if need := len(c.input) + len(received); need > cap(c.input) {
		larger := append(c.loop.buffers.get(need), c.input...)
		c.releaseInput()
		c.input = larger
	}
	c.input = append(c.input, received...)
}

// releaseInput returns the buffer of the kept input to the loop.
func (c *Conn) releaseInput() {
	c.loop.buffers.put(c.input)
	c.input = nil
}

// smallInput is the largest kept input that gets a buffer of its exact size. Most connections that wait
// for the rest of a message hold only a few bytes.
const smallInput = 1 << 10

// InputBufferSize returns the size of the buffer in which a connection keeps n unconsumed bytes.
func InputBufferSize(n int) int {
	if n <= smallInput {
		return n
	}
	return pooledSize(n)
}

// keepInput keeps the bytes of b that follow the consumed ones. b is the kept input or the loop's read
// buffer.
func (c *Conn) keepInput(b []byte, consumed int) {
	rest := b[consumed:]
	switch {
	case len(rest) == 0:
		c.releaseInput()
	case consumed == 0 && len(c.input) > 0: // b is the kept input
	case len(c.input) > 0 && cap(c.input) <= 2*max(len(rest), 1<<minPooledBits):
		c.input = append(c.input[:0], rest...)
	case len(rest) <= smallInput:
		small := append(make([]byte, 0, len(rest)), rest...)
		c.releaseInput()
		c.input = small
	default:
		fitting := append(c.loop.buffers.get(len(rest)), rest...)
		c.releaseInput()
		c.input = fitting
	}
}
