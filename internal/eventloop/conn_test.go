package eventloop

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"golang.org/x/sys/unix"
)

// echo sends back what it receives and pauses its connection while that waits to be written.
type echo struct {
	maxHeld int // bytes
	closed  chan error
}

func (e *echo) OnData(c *Conn, b []byte) int {
	c.Write(b)
	e.maxHeld = max(e.maxHeld, c.Pending()+c.Buffered())
	if c.Pending() > 0 {
		c.Pause()
	}
	return len(b)
}
func (e *echo) OnDrained(c *Conn)          { c.Resume() }
func (e *echo) OnClose(_ *Conn, err error) { e.closed <- err }

// A peer that sends and does not read is held back, and what is buffered is bounded.
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
		t.Fatal("what came back differs", err)
	}
	if err := errors.Join(<-written, c.Close()); err != nil {
		t.Fatal(err)
	}
	if err := <-h.closed; !errors.Is(err, ErrPeerClosed) || errors.Unwrap(err) != nil {
		t.Fatalf("closed with %v, want ErrPeerClosed itself", err)
	}
	if h.maxHeld > 2*ReadSize {
		t.Fatalf("%d bytes held", h.maxHeld)
	}
}

// readableWaiter counts calls of OnReadable.
type readableWaiter struct {
	consumer
	readable chan struct{}
}

func (h *readableWaiter) OnReadable(*Conn) { h.readable <- struct{}{} }

// The handler of a paused connection is notified of the next bytes, once.
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
		t.Fatal("readable, with nothing sent")
	}
	writeFD(t, peer, []byte("a"))
	<-h.readable
	writeFD(t, peer, []byte("b"))
	l.Post(func() { ready <- c.Readable() })
	if !<-ready || len(h.readable) != 0 {
		t.Fatal("not readable, or notified twice")
	}
	l.Post(c.Resume)
	<-h.done
}

// byteAnswerer consumes one byte a call and answers it after its peer has reset the connection.
type byteAnswerer struct {
	calls  int
	within chan struct{}
	closed chan error
}

func (h *byteAnswerer) OnData(c *Conn, _ []byte) int {
	if h.calls++; h.calls == 1 {
		close(h.within)
		// Waits for the reset, at most 20 s; the write's failure is what the test checks.
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(c.FD())}}, 20_000)
	}
	c.Write([]byte("x"))
	return 1
}
func (h *byteAnswerer) OnDrained(*Conn)            {}
func (h *byteAnswerer) OnClose(_ *Conn, err error) { h.closed <- err }

// After a write has failed, nothing more of what was read is passed to the handler.
func TestNoDataAfterFailedWrite(t *testing.T) {
	h := &byteAnswerer{within: make(chan struct{}), closed: make(chan error, 1)}
	c := dialTCP(t, listen(t, h))
	if _, err := c.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	<-h.within
	if err := errors.Join(c.SetLinger(0), c.Close()); err != nil {
		t.Fatal(err)
	}
	if err := <-h.closed; err == nil || h.calls != 1 {
		t.Errorf("%d calls, closed with %v", h.calls, err)
	}
}
