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

// A loop that ends while a dial is in progress does not leak the socket of the dial.
func TestDialClosesItsSocketWhenTheLoopEnds(t *testing.T) {
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

// PostOrDrop calls exactly one of its two functions, no matter when the loop ends.
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
			t.Fatalf("posted calls: got %d run and %d dropped, want %d in all", run.Load(), dropped.Load(), calls)
		}
	}
}

// A loop that has ended rejects and closes each socket that is added to it. Otherwise a connection that
// is opened while the loop closes its other connections would stay open.
func TestEndedLoopRejectsSockets(t *testing.T) {
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
			t.Errorf("Add on an ended loop: got error %v, want ErrEnded", err)
		}
		if _, err := l.Listen(fds[1], nil, nil); !errors.Is(err, ErrEnded) {
			t.Errorf("Listen on an ended loop: got error %v, want ErrEnded", err)
		}
	}
	testfd.Await(t, before)
}

// Close on a loop that never ran closes all descriptors and drops the posted functions.
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
	l.PostOrDrop(func() { t.Error("Close ran a posted function, want it dropped") }, func() { dropped = true })
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if !dropped {
		t.Error("Close did not drop the posted function")
	}
	testfd.Await(t, before+1) // the peer's socket stays open until the test ends
}

// A closed listener accepts no more connections. The other listeners on its loop still accept them.
func TestListenerClose(t *testing.T) {
	l := newLoop(t)
	flow := make(chan *Flow, 1)
	l.Post(func() { flow <- l.Flow("(new)", fairshare.FlowConfig{}, nil) })
	newConns := <-flow
	var addrs []string
	var listeners []*Listener
	for range 2 {
		ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		fd, err := DuplicateFD(ln.(*net.TCPListener))
		if err := errors.Join(err, ln.Close()); err != nil {
			t.Fatal(err)
		}
		opened := make(chan *Listener, 1)
		l.Post(func() {
			listener, err := l.Listen(fd, newConns, func(fd int, _ unix.Sockaddr) { closeFD(fd) })
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
		t.Error("dial to the closed listener: got no error, want one")
	}
	dialTCP(t, addrs[1])
}
