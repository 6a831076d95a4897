package eventloop

import (
	"errors"
	"os"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Interest is registered with epoll once per descriptor and is edge-triggered: the kernel
// reports changes only, and the connection remembers what it can do. A connection that waits
// for a time slice then costs no system calls.
const (
	edgeTriggered  uint32 = unix.EPOLLET & 0xffffffff
	connInterest   uint32 = unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | edgeTriggered
	listenInterest uint32 = unix.EPOLLIN | edgeTriggered
	wakeInterest   uint32 = unix.EPOLLIN
)

// Events by what they mean for a connection. An error or a hang-up makes it readable and
// writable: the next system call returns the reason.
const (
	writableEvents   uint32 = unix.EPOLLOUT | unix.EPOLLERR | unix.EPOLLHUP
	peerClosedEvents uint32 = unix.EPOLLRDHUP | unix.EPOLLERR | unix.EPOLLHUP
	readableEvents   uint32 = unix.EPOLLIN | peerClosedEvents
)

// watch registers a descriptor with an epoll instance.
func watch(epollFD, fd int, interest uint32) error {
	ev := unix.EpollEvent{Fd: int32(fd), Events: interest}
	return unix.EpollCtl(epollFD, unix.EPOLL_CTL_ADD, fd, &ev)
}

// poll asks the kernel for events and returns how many there are. timeout is in milliseconds;
// -1 waits without bound.
func (l *Loop) poll(timeout int) (int, error) {
	var n int
	var err error
	if timeout == 0 {
		n, err = pollNow(l.epollFD, l.events[:])
	} else {
		n, err = unix.EpollWait(l.epollFD, l.events[:], timeout)
	}
	if errors.Is(err, unix.EINTR) {
		return 0, nil
	}
	if err != nil {
		return 0, os.NewSyscallError("epoll_wait", err)
	}
	return n, nil
}

// pollNow asks for events without waiting. A call that cannot block need not enter Go's
// scheduler as a system call, which would cost more than the call itself.
func pollNow(epollFD int, events []unix.EpollEvent) (int, error) {
	n, _, errno := unix.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epollFD),
		uintptr(unsafe.Pointer(&events[0])), uintptr(len(events)), 0, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

// closeFD closes a descriptor. Linux releases it whatever close returns, so there is nothing
// to do about an error.
func closeFD(fd int) { _ = unix.Close(fd) }
