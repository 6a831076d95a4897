package eventloop

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"golang.org/x/sys/unix"
)

// echo sends received bytes back and pauses its connection while bytes wait to be written.
type echo struct {
	maxHeld int // maximum number of bytes in the connection's buffers
	closed  chan error
}

func (e *echo) OnData(c *Conn, b []byte) int {
	c.Write(b)
	e.maxHeld = max(e.maxHeld, c.BufferedOutput()+c.BufferedInput())
	if c.BufferedOutput() > 0 {
		c.Pause()
	}
	return len(b)
}
func (e *echo) OnDrained(c *Conn)          { c.Resume() }
func (e *echo) OnClose(_ *Conn, err error) { e.closed <- err }

// The loop stops reading from a peer that sends without reading, so that the connection buffers at
// most 2*ReadSize bytes.
func TestBackPressure(t *testing.T) {
	h := &echo{closed: make(chan error, 1)}
	c := dialTCP(t, listen(t, h))
	data := bytes.Repeat([]byte("line seven "), 4<<20/11)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(data)
		written <- err
	}()
	got := make([]byte, len(data))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, data) {
		t.Fatal("the echoed bytes differ from the sent bytes, or the read failed with error", err)
	}
	if err := errors.Join(<-written, c.Close()); err != nil {
		t.Fatal(err)
	}
	if err := <-h.closed; !errors.Is(err, ErrPeerClosed) || errors.Unwrap(err) != nil {
		t.Fatalf("OnClose got error %v, want ErrPeerClosed, not wrapped", err)
	}
	if h.maxHeld > 2*ReadSize {
		t.Fatalf("the connection buffered up to %d bytes, want at most 2*ReadSize", h.maxHeld)
	}
}

// readableWaiter sends a value on readable for each call of OnReadable.
type readableWaiter struct {
	consumer
	readable chan struct{}
}

func (h *readableWaiter) OnReadable(*Conn) { h.readable <- struct{}{} }

// The loop notifies the handler of a paused connection exactly once when the next bytes arrive.
func TestReadable(t *testing.T) {
	l := newLoop(t)
	fd, peer := socketPair(t)
	var log []string
	h := &readableWaiter{
		consumer: consumer{name: "x", log: &log, done: make(chan struct{}, 1), remaining: 2},
		readable: make(chan struct{}, 4),
	}
	var c *Conn
	ready := make(chan bool)
	l.Post(func() {
		var err error
		if c, err = l.Add(fd, h); err != nil {
			t.Error(err)
			ready <- true
			return
		}
		c.Pause()
		ready <- c.Readable()
	})
	if <-ready {
		t.Fatal("Readable before the peer sent a byte: got true, want false")
	}
	writeFD(t, peer, []byte("a"))
	<-h.readable
	writeFD(t, peer, []byte("b"))
	l.Post(func() { ready <- c.Readable() })
	if !<-ready || len(h.readable) != 0 {
		t.Fatal("after the second byte: got Readable false or a second OnReadable, want true and one call in all")
	}
	l.Post(c.Resume)
	<-h.done
}

// byteResponder consumes one byte per call of OnData and writes a byte back. The first call waits until
// the peer has reset the connection.
type byteResponder struct {
	calls    int
	inOnData chan struct{}
	closed   chan error
}

func (h *byteResponder) OnData(c *Conn, _ []byte) int {
	if h.calls++; h.calls == 1 {
		close(h.inOnData)
		// The call waits for the reset for at most 20 s. Its result does not matter, because the test
		// checks that the write after it fails.
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(c.FD())}}, 20_000)
	}
	c.Write([]byte("x"))
	return 1
}
func (h *byteResponder) OnDrained(*Conn)            {}
func (h *byteResponder) OnClose(_ *Conn, err error) { h.closed <- err }

// After a failed write, the loop passes no further bytes to the handler.
func TestNoDataAfterFailedWrite(t *testing.T) {
	h := &byteResponder{inOnData: make(chan struct{}), closed: make(chan error, 1)}
	c := dialTCP(t, listen(t, h))
	if _, err := c.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	<-h.inOnData
	if err := errors.Join(c.SetLinger(0), c.Close()); err != nil {
		t.Fatal(err)
	}
	if err := <-h.closed; err == nil || h.calls != 1 {
		t.Errorf("got %d calls of OnData and error %v in OnClose, want 1 call and an error", h.calls, err)
	}
}
