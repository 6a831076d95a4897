package netloop

import (
	"bytes"
	"io"
	"net"
	"os"
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
	e.most = max(e.most, c.Pending()+c.Kept())
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
	l.Do(func() {
		if err := l.Listen(fd, func(fd int, _ unix.Sockaddr) { l.Add(fd, h) }); err != nil {
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
	if err := <-h.closed; err != ErrLeft {
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
		l.Do(func() { t.Error("run after the end") })
		l.Stop()
	}
	if len(l.queue) > 0 {
		t.Fatal("work that nobody will do is kept")
	}
	for _, f := range files {
		var fds = []unix.PollFd{{Fd: int32(f.Fd()), Events: unix.POLLIN}}
		if n, _ := unix.Poll(fds, 0); n > 0 && fds[0].Revents&unix.POLLIN != 0 {
			t.Fatal("bytes were written to somebody else's descriptor")
		}
		f.Close()
	}
}
