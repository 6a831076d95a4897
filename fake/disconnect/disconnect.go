// Package disconnect tells fake nodes when the peer of a connection has closed it, though bytes that it sent before
// are unread.
package disconnect

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollInterval is how often a connection is checked.
const pollInterval = 5 * time.Millisecond

// Watch calls onClose once its peer has closed a connection, unless ended is closed before. It returns when
// either has happened, or when the connection is closed on this side.
func Watch(conn syscall.Conn, ended <-chan struct{}, onClose func()) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ended:
			return
		case <-t.C:
		}
		closed, err := peerClosed(raw)
		if err != nil {
			return
		}
		if closed {
			onClose()
			return
		}
	}
}

// peerClosed reports whether the peer of a connection has closed it. The error is that of a connection that is
// closed on this side.
func peerClosed(raw syscall.RawConn) (bool, error) {
	closed := false
	err := raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(events, 0)
		closed = err == nil && ready > 0
	})
	return closed, err
}
