package eventloop

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"chalkstand/fairshare"
)

// runLoop runs a loop until the test ends and checks that Run returns no error.
func runLoop(t *testing.T, l *Loop) {
	t.Helper()
	result := make(chan error, 1)
	go func() { result <- l.Run() }()
	t.Cleanup(func() {
		l.Stop()
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
}

// newLoop opens a loop with the default options and runs it until the test ends.
func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := NewLoop(0)
	if err != nil {
		t.Fatal(err)
	}
	runLoop(t, l)
	return l
}

// listen runs a loop that accepts connections and handles them with h. It returns the listening
// address.
func listen(t *testing.T, h Handler) string {
	t.Helper()
	l := newLoop(t)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fd, err := DuplicateFD(ln.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	accept := func(fd int, _ unix.Sockaddr) {
		if _, err := l.Add(fd, h); err != nil {
			t.Error(err)
		}
	}
	l.Post(func() {
		if _, err := l.Listen(fd, l.Flow("(new)", fairshare.FlowConfig{}, nil), accept); err != nil {
			t.Error(err)
		}
	})
	return addr
}

// dialTCP connects to an address. The connection is closed when the test ends.
func dialTCP(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // Close fails if the test has already closed the connection
	return c.(*net.TCPConn)
}

// socketPair returns a socket for a loop and its peer. The peer is closed when the test ends.
func socketPair(t *testing.T) (fd, peer int) {
	t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := unix.Close(fds[1]); err != nil {
			t.Error(err)
		}
	})
	return fds[0], fds[1]
}

// writeFD writes all of b to a descriptor in one call.
func writeFD(t *testing.T, fd int, b []byte) {
	t.Helper()
	if n, err := unix.Write(fd, b); n != len(b) {
		t.Fatalf("wrote %d bytes, want %d (error %v)", n, len(b), err)
	}
}
