package eventloop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// A posted function runs behind the batch of events that its wake-up came in: one that closes a connection and opens
// another would otherwise have a later event of the batch, for the old descriptor, noted for the new connection.
func TestPostedCallsRunBehindTheirBatch(t *testing.T) {
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}()
	oldFD, _ := socketPair(t)
	newFD, _ := socketPair(t)
	closed := make(chan error, 2)
	previous, err := l.Add(oldFD, &echo{closed: closed})
	if err != nil {
		t.Fatal(err)
	}
	var next *Conn
	l.Post(func() {
		previous.Close()
		if err := unix.Dup3(newFD, oldFD, unix.O_CLOEXEC); err != nil { // it gets the number that is free now
			t.Error(err)
		}
		closeFD(newFD)
		if next, err = l.Add(oldFD, &echo{closed: closed}); err != nil {
			t.Error(err)
		}
	})
	l.handleEvent(unix.EpollEvent{Fd: int32(l.wakeFD), Events: unix.EPOLLIN})
	l.handleEvent(unix.EpollEvent{Fd: int32(oldFD), Events: unix.EPOLLRDHUP})
	l.runDeferred()
	if next == nil || next.FD() != oldFD {
		t.Fatalf("the posted function did not open a connection on descriptor %d", oldFD)
	}
	if next.PeerClosed() {
		t.Error("an event of the old connection was noted for the new one")
	}
}
