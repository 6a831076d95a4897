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

// Connect opens a TCP connection on the loop itself, without a goroutine and with a single
// descriptor. It calls OnOpen, or OnClose with the reason of the failure. The caller bounds how
// long that takes, by Close. On the loop only.
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

// sockaddrOf returns an address in the kernel's form, with its address family.
func sockaddrOf(to netip.AddrPort) (family int, sa unix.Sockaddr) {
	if to.Addr().Unmap().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
}

// finishConnect asks the kernel how a connect in progress has ended.
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

// Dial connects in the background, within timeout, and calls done on the loop with the socket
// or an error. Where the loop ends first, the socket is closed and done is not called. It resolves
// host names, which Connect does not.
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
	defer func() { _ = conn.Close() }() // the duplicate lives on
	return Detach(conn.(*net.TCPConn))
}

// Detach duplicates the descriptor of a net.Conn or net.Listener, non-blocking, for use on a loop.
// The caller closes the original.
func Detach(from interface{ File() (*os.File, error) }) (int, error) {
	f, err := from.File()
	if err != nil {
		return -1, err
	}
	defer func() { _ = f.Close() }() // the duplicate lives on
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
