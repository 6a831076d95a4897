// Package disconnect detects for fake nodes that the peer of a connection has closed it, even while bytes that the
// peer sent earlier are still unread.
package disconnect

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollInterval is the time between two checks of a connection.
const pollInterval = 5 * time.Millisecond

// Watch waits until the peer closes a connection, and then calls onClose. It returns without a call of onClose if
// the ended channel is closed first, or if the connection is closed locally.
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

// peerClosed reports whether the peer of a connection has closed it. It returns an error if the connection is closed
// locally.
func peerClosed(raw syscall.RawConn) (bool, error) {
	closed := false
	err := raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(events, 0)
		closed = err == nil && ready > 0
	})
	return closed, err
}
