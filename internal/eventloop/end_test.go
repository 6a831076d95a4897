package eventloop

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chalkstand/fairshare"
	"chalkstand/internal/testfd"
)

// A loop that ends while a dial is in progress does not leak the dial's socket.
func TestDialClosesItsSocketWhereTheLoopEnds(t *testing.T) {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	before := testfd.Count(t)
	for range 100 {
		l, err := NewLoop(0)
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- l.Run() }()
		l.Dial(ln.Addr().String(), time.Second, func(fd int, err error) {
			if err == nil {
				closeFD(fd)
			}
		})
		l.Stop()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	testfd.Await(t, before)
}

// Of a posted call exactly one function is called, whenever the loop ends.
func TestPostOrDropCallsOneFunction(t *testing.T) {
	for range 200 {
		l, err := NewLoop(0)
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- l.Run() }()
		const calls = 50
		var run, dropped atomic.Int32
		posted := make(chan struct{})
		go func() {
			defer close(posted)
			for range calls {
				l.PostOrDrop(func() { run.Add(1) }, func() { dropped.Add(1) })
			}
		}()
		l.Stop()
		<-posted
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		if run.Load()+dropped.Load() != calls {
			t.Fatalf("%d run and %d dropped of %d", run.Load(), dropped.Load(), calls)
		}
	}
}

// What is put on a loop that ends is closed: a connection that is opened while others are closed
// would be left open.
func TestEndedLoopTakesNothing(t *testing.T) {
	before := testfd.Count(t)
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.Add(fds[0], nil); !errors.Is(err, ErrEnded) {
			t.Errorf("Add: %v", err)
		}
		if _, err := l.Listen(fds[1], nil, nil); !errors.Is(err, ErrEnded) {
			t.Errorf("Listen: %v", err)
		}
	}
	testfd.Await(t, before)
}

// A loop on which Run was never called leaves no descriptor open, and drops what was posted.
func TestCloseWithoutRun(t *testing.T) {
	before := testfd.Count(t)
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	fd, _ := socketPair(t)
	if _, err := l.Add(fd, &echo{closed: make(chan error, 1)}); err != nil {
		t.Fatal(err)
	}
	dropped := false
	l.PostOrDrop(func() { t.Error("run") }, func() { dropped = true })
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if !dropped {
		t.Error("not dropped")
	}
	testfd.Await(t, before+1) // the peer is closed with the test
}

// A listener that is closed accepts nothing more; the others of its loop do.
func TestListenerClose(t *testing.T) {
	l := newLoop(t)
	flow := make(chan *Flow, 1)
	l.Post(func() { flow <- l.Flow("(new)", fairshare.FlowConfig{}, nil) })
	newcomers := <-flow
	var addrs []string
	var listeners []*Listener
	for range 2 {
		ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		fd, err := Detach(ln.(*net.TCPListener))
		if err := errors.Join(err, ln.Close()); err != nil {
			t.Fatal(err)
		}
		opened := make(chan *Listener, 1)
		l.Post(func() {
			listener, err := l.Listen(fd, newcomers, func(fd int, _ unix.Sockaddr) { closeFD(fd) })
			if err != nil {
				t.Error(err)
			}
			opened <- listener
		})
		addrs, listeners = append(addrs, ln.Addr().String()), append(listeners, <-opened)
	}
	closed := make(chan struct{})
	l.Post(func() {
		listeners[0].Close()
		listeners[0].Close()
		close(closed)
	})
	<-closed
	if c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addrs[0]); err == nil {
		c.Close()
		t.Error("the closed listener accepts")
	}
	dialTCP(t, addrs[1])
}
