package eventloop

import (
	"bytes"
	"chalkstand/fairshare"
	"io"
	"net"
	"os"
	"slices"
	"testing"

	"golang.org/x/sys/unix"
)

// echo sends back what it gets, holding its reader back while that waits.
type echo struct {
	most   int
	closed chan error
}

func (e *echo) OnData(c *Conn, b []byte) int {
	c.Write(b)
	e.most = max(e.most, c.Pending()+c.Buffered())
	if c.Pending() > 0 {
		c.Pause()
	}
	return len(b)
}
func (e *echo) OnDrained(c *Conn)          { c.Resume() }
func (e *echo) OnClose(_ *Conn, err error) { e.closed <- err }

func start(t *testing.T, h Handler) (*Loop, string) {
	t.Helper()
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fd, err := Detach(ln.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	go l.Run()
	t.Cleanup(l.Stop)
	l.Post(func() {
		if err := l.Listen(fd, l.Flow("(new)", fairshare.FlowConfig{}, nil), func(fd int, _ unix.Sockaddr) { l.Add(fd, h) }); err != nil {
			t.Error(err)
		}
	})
	return l, addr
}

// A peer that sends and does not read is held back, and what is held is bounded.
func TestBackPressure(t *testing.T) {
	h := &echo{closed: make(chan error, 1)}
	_, addr := start(t, h)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	data := bytes.Repeat([]byte("line seven "), 4<<20/11)
	go c.Write(data)
	got := make([]byte, len(data))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, data) {
		t.Fatal("what came back differs", err)
	}
	c.Close()
	if err := <-h.closed; err != ErrPeerClosed {
		t.Fatal(err)
	}
	if h.most > 2*ReadSize {
		t.Fatalf("%d bytes held", h.most)
	}
}

// After its end a loop takes no more work, keeps none, and leaves its old
// descriptors alone: they may be another's by then.
func TestEndedLoopWritesToNobody(t *testing.T) {
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	l.Stop()
	var files []*os.File
	for range 16 { // these get the numbers that the loop had
		r, w, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, r, w)
	}
	for range 4 {
		l.Post(func() { t.Error("run after the end") })
		l.Stop()
	}
	if len(l.queue) > 0 {
		t.Fatal("work that nobody will do is kept")
	}
	for _, f := range files {
		fds := []unix.PollFd{{Fd: int32(f.Fd()), Events: unix.POLLIN}}
		if n, _ := unix.Poll(fds, 0); n > 0 && fds[0].Revents&unix.POLLIN != 0 {
			t.Fatal("bytes were written to somebody else's descriptor")
		}
		f.Close()
	}
}

// taker takes what comes and notes whose it was.
type taker struct {
	name string
	log  *[]string
	done chan struct{}
	left int
}

func (h *taker) OnData(c *Conn, b []byte) int {
	*h.log = append(*h.log, h.name)
	if h.left -= len(b); h.left <= 0 {
		h.done <- struct{}{}
	}
	return len(b)
}
func (h *taker) OnDrained(*Conn)      {}
func (h *taker) OnClose(*Conn, error) {}

// What waits on a loop has its turn by the weight of its flow, however many
// connections others have.
func TestTurnsByFlow(t *testing.T) {
	o := DefaultOptions
	o.Quantum = ReadSize
	o.FairShare.ByteTime = 1000 // the bytes decide, not how long a turn took
	l, err := NewLoopWith(0, o)
	if err != nil {
		t.Fatal(err)
	}
	var log []string
	const crowd, each = 16, 2
	done := make(chan struct{}, crowd+1)
	add := func(name string) {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { unix.Close(fds[1]) })
		for range each { // all is there before the loop runs
			if n, err := unix.Write(fds[1], make([]byte, ReadSize)); n != ReadSize {
				t.Fatal(n, err)
			}
		}
		c, err := l.Add(fds[0], &taker{name, &log, done, each * ReadSize})
		if err != nil {
			t.Fatal(err)
		}
		c.AssignFlow(l.Flow(name, fairshare.FlowConfig{Weight: 1}, nil))
	}
	for range crowd {
		add("crowd")
	}
	add("one")
	go l.Run()
	for range crowd + 1 {
		<-done
	}
	l.Stop()
	if len(log) != (crowd+1)*each {
		t.Fatalf("%d turns", len(log))
	}
	last := slices.Index(log, "one")
	for i, name := range log {
		if name == "one" {
			last = i
		}
	}
	if last > 2*each {
		t.Errorf("one beside a crowd had its last of %d turns as the %dth: %v", each, last+1, log)
	}
}

// A paused connection's handler hears of the next bytes, once.
type waiter struct {
	taker
	heard chan struct{}
}

func (h *waiter) OnReadable(*Conn) { h.heard <- struct{}{} }

func TestReadable(t *testing.T) {
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(l.Stop)
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fds[1])
	var log []string
	h := &waiter{taker{"x", &log, make(chan struct{}, 1), 2}, make(chan struct{}, 4)}
	var c *Conn
	ready := make(chan bool)
	l.Post(func() {
		c, _ = l.Add(fds[0], h)
		c.Pause()
		ready <- c.Readable()
	})
	if <-ready {
		t.Fatal("readable, with nothing sent")
	}
	unix.Write(fds[1], []byte("a"))
	<-h.heard
	unix.Write(fds[1], []byte("b"))
	l.Post(func() { ready <- c.Readable() })
	if !<-ready || len(h.heard) != 0 {
		t.Fatal("not readable, or heard twice")
	}
	l.Post(c.Resume)
	<-h.done
}

// bytewise takes a byte a call, and answers it once its peer has reset the connection.
type bytewise struct {
	calls  int
	within chan struct{}
	closed chan error
}

func (h *bytewise) OnData(c *Conn, _ []byte) int {
	if h.calls++; h.calls == 1 {
		close(h.within)
		unix.Poll([]unix.PollFd{{Fd: int32(c.FD())}}, 20_000) // milliseconds; the reset ends it
	}
	c.Write([]byte("x"))
	return 1
}
func (h *bytewise) OnDrained(*Conn)            {}
func (h *bytewise) OnClose(_ *Conn, err error) { h.closed <- err }

// Behind a write that failed nothing more of what was read is shown.
func TestNothingIsShownBehindAFailedWrite(t *testing.T) {
	h := &bytewise{within: make(chan struct{}), closed: make(chan error, 1)}
	_, addr := start(t, h)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte("abc"))
	<-h.within
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	if err := <-h.closed; err == nil || h.calls != 1 {
		t.Errorf("%d calls, and an end by %v", h.calls, err)
	}
}
