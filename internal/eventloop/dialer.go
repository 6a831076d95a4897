package eventloop

import (
	"context"
	"net"
	"net/netip"
	"os"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Connect starts to open a TCP connection on the loop itself, without a goroutine and with a single
// descriptor. The loop calls OnOpen when the connection is established, or OnClose with the error when
// it fails. Connect has no timeout: the caller calls Close to give up. It must be called on the loop.
func (l *Loop) Connect(to netip.AddrPort, h ConnectHandler) (*Conn, error) {
	family, sa := sockaddrOf(to)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS && err != unix.EINTR {
		closeFD(fd)
		return nil, os.NewSyscallError("connect", err)
	}
	c, err := l.Add(fd, h)
	if err == nil {
		c.connecting = true
	}
	return c, err
}

// sockaddrOf converts an address to a socket address and its address family.
func sockaddrOf(to netip.AddrPort) (family int, sa unix.Sockaddr) {
	if to.Addr().Unmap().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
}

// finishConnect asks the kernel for the result of a connect. It calls OnOpen on success and closes the
// connection on failure.
func (c *Conn) finishConnect() {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		c.close(os.NewSyscallError("connect", err))
		return
	}
	c.connecting = false
	c.Handler.(ConnectHandler).OnOpen(c)
}

// Dial connects to addr in the background, with a timeout, and calls done on the loop with the socket
// or an error. If the loop ends first, Dial closes the socket and does not call done. Unlike Connect,
// Dial resolves host names.
func (l *Loop) Dial(addr string, timeout time.Duration, done func(fd int, err error)) {
	go func() {
		fd, err := dial(addr, timeout)
		l.PostOrDrop(func() { done(fd, err) }, func() {
			if err == nil {
				closeFD(fd)
			}
		})
	}()
}

// dial connects to a TCP address and returns the socket's descriptor.
func dial(addr string, timeout time.Duration) (int, error) {
	d := net.Dialer{Timeout: timeout}
	conn, err := d.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return -1, err
	}
	defer func() { _ = conn.Close() }() // the duplicate that DuplicateFD returns stays open
	return DuplicateFD(conn.(*net.TCPConn))
}

// DuplicateFD returns a non-blocking duplicate of the descriptor of a net.Conn or net.Listener, for
// use on a loop. The caller closes the original.
func DuplicateFD(from interface{ File() (*os.File, error) }) (int, error) {
	f, err := from.File()
	if err != nil {
		return -1, err
	}
	defer func() { _ = f.Close() }() // the duplicate fd stays open
	fd, err := unix.FcntlInt(f.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	runtime.KeepAlive(f)
	if err != nil {
		return -1, os.NewSyscallError("dup", err)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		closeFD(fd)
		return -1, os.NewSyscallError("setnonblock", err)
	}
	return fd, nil
}
