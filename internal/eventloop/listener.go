package eventloop

import (
	"os"

	"golang.org/x/sys/unix"
)

// acceptBatch bounds how many connections are accepted in one time slice.
const acceptBatch = 4

// Listener is a listening socket on a loop.
type Listener struct {
	conn *Conn
}

// Listen accepts connections on fd, a listening socket that the loop takes over. accept owns the
// descriptors that it is called with. Accepting takes time slices that are charged to flow f: a
// client that opens connections without end gets no more of the loop than that flow. The error is
// ErrEnded, or that of a system call; fd is closed then. On the loop only.
func (l *Loop) Listen(fd int, f *Flow, accept func(fd int, sa unix.Sockaddr)) (*Listener, error) {
	if l.ended {
		closeFD(fd)
		return nil, ErrEnded
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		closeFD(fd)
		return nil, os.NewSyscallError("setnonblock", err)
	}
	c := &Conn{loop: l, fd: fd, flow: f, accept: accept, starting: true}
	if err := watch(l.epollFD, fd, listenInterest); err != nil {
		closeFD(fd)
		return nil, os.NewSyscallError("epoll_ctl", err)
	}
	l.listeners[fd] = c
	return &Listener{conn: c}, nil
}

// Close closes the socket, if it is open. Connections in its accept queue are accepted before, as
// the close would reset them. On the loop only.
func (ln *Listener) Close() { ln.conn.stopListening() }

// RetryAccept accepts again on listening sockets where accepting failed for want of descriptors
// or memory. The kernel does not report again what waits there. On the loop only.
func (l *Loop) RetryAccept() {
	for _, c := range l.listeners {
		if c.acceptFailed {
			c.acceptFailed = false
			c.readable = true
			l.schedule(c)
		}
	}
}

// StopListening closes all listening sockets, as Listener.Close does. On the loop only.
func (l *Loop) StopListening() {
	for _, c := range l.listeners {
		c.stopListening()
	}
}

// stopListening accepts what is in the accept queue of a listening socket and closes it.
func (c *Conn) stopListening() {
	if c.fd < 0 {
		return
	}
	for c.readable = true; c.readable; {
		c.acceptPending()
	}
	c.closeListener()
}

// closeListener closes a listening socket.
func (c *Conn) closeListener() {
	delete(c.loop.listeners, c.fd)
	closeFD(c.fd)
	c.fd = -1
}

// acceptPending accepts up to acceptBatch connections from the accept queue.
func (c *Conn) acceptPending() {
	for range acceptBatch {
		fd, sa, err := unix.Accept4(c.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			c.accept(fd, sa)
		case unix.EINTR, unix.ECONNABORTED:
			// That peer has left; the next one may be in the queue.
		default:
			c.readable = false
			c.acceptFailed = err != unix.EAGAIN
			return
		}
	}
}
