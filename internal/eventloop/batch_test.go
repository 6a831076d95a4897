package eventloop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// A posted function runs after the batch of events that contains its wake-up. Otherwise, if the function closed a
// connection and opened another with the same descriptor, the loop would record a later event of the old connection
// for the new one.
func TestPostedCallsRunAfterTheirBatch(t *testing.T) {
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
		if err := unix.Dup3(newFD, oldFD, unix.O_CLOEXEC); err != nil { // the socket gets the number of the closed one
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
		t.Fatalf("the posted function opened no connection on descriptor %d, want one", oldFD)
	}
	if next.PeerClosed() {
		t.Error("the loop recorded an event of the old connection for the new one")
	}
}
