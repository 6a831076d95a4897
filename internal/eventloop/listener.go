package eventloop

import (
	"os"

	"golang.org/x/sys/unix"
)

// acceptBatch is the maximum number of connections that a listener accepts in one time slice.
const acceptBatch = 4

// Listener is a listening socket on a loop.
type Listener struct {
	conn *Conn
}

// Listen accepts connections on fd, a listening socket of which the loop takes ownership. The loop
// calls accept with each new connection, and accept takes ownership of that descriptor. The loop
// charges the time slices for accepting connections to flow f, so that a client that opens many
// connections uses no more of the loop than the share of this flow. If Listen fails, it closes fd and
// returns ErrEnded or the error of a system call. It must be called on the loop.
func (l *Loop) Listen(fd int, f *Flow, accept func(fd int, sa unix.Sockaddr)) (*Listener, error) {
	if l.ended {
		closeFD(fd)
		return nil, ErrEnded
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		closeFD(fd)
		return nil, os.NewSyscallError("setnonblock", err)
	}
	c := &Conn{loop: l, fd: fd, flow: f, accept: accept, newWork: true}
	if err := watch(l.epollFD, fd, listenInterest); err != nil {
		closeFD(fd)
		return nil, os.NewSyscallError("epoll_ctl", err)
	}
	l.listeners[fd] = c
	return &Listener{conn: c}, nil
}

// Close closes the listening socket if it is open. It first accepts the connections in the accept
// queue, because closing the socket would reset them. It must be called on the loop.
func (ln *Listener) Close() { ln.conn.stopListening() }

// RetryAccept tries to accept connections again on the listening sockets on which accept failed for
// lack of descriptors or memory. The kernel does not report the connections in their accept queues a
// second time. RetryAccept must be called on the loop.
func (l *Loop) RetryAccept() {
	for _, c := range l.listeners {
		if c.acceptFailed {
			c.acceptFailed = false
			c.readable = true
			l.schedule(c)
		}
	}
}

// StopListening closes all listening sockets as Listener.Close does. It must be called on the loop.
func (l *Loop) StopListening() {
	for _, c := range l.listeners {
		c.stopListening()
	}
}

// stopListening accepts the connections in the accept queue of a listening socket and closes the
// socket.
func (c *Conn) stopListening() {
	if c.fd < 0 {
		return
	}
	for c.readable = true; c.readable; {
		c.acceptPending()
	}
	c.closeListener()
}

// closeListener closes a listening socket and removes it from the loop.
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
			// A signal interrupted the call, or the peer has left. The queue may hold more connections.
		default:
			c.readable = false
			c.acceptFailed = err != unix.EAGAIN
			return
		}
	}
}
