package eventloop

import (
	"os"

	"golang.org/x/sys/unix"
)

// acceptBatch bounds how many connections are accepted in one time slice.
const acceptBatch = 4

// Listen accepts connections on fd, a listening socket that the loop takes over. accept owns the
// descriptors that it is called with. Accepting takes time slices that are charged to flow f: a
// client that opens connections without end gets no more of the loop than that flow. On the
// loop only.
func (l *Loop) Listen(fd int, f *Flow, accept func(fd int, sa unix.Sockaddr)) error {
	if err := unix.SetNonblock(fd, true); err != nil {
		return os.NewSyscallError("setnonblock", err)
	}
	c := &Conn{loop: l, fd: fd, flow: f, accept: accept, starting: true}
	if err := watch(l.epollFD, fd, listenInterest); err != nil {
		return os.NewSyscallError("epoll_ctl", err)
	}
	l.listeners[fd] = c
	return nil
}

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

// StopListening closes all listening sockets. Connections in their accept queues are accepted
// before, as the close would reset them. On the loop only.
func (l *Loop) StopListening() {
	for fd, c := range l.listeners {
		for c.readable = true; c.readable; {
			c.acceptPending()
		}
		closeFD(fd)
		c.fd = -1
		delete(l.listeners, fd)
	}
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
