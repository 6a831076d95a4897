package eventloop

import (
	"errors"
	"os"
	"unsafe"

	"golang.org/x/sys/unix"
)

// A loop registers these interest masks with epoll once per descriptor. Sockets are edge-triggered:
// the kernel reports only changes, and the Conn remembers whether it is readable or writable. A
// connection that waits for a time slice therefore costs no system calls.
const (
	edgeTriggered  uint32 = unix.EPOLLET & 0xffffffff
	connInterest   uint32 = unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | edgeTriggered
	listenInterest uint32 = unix.EPOLLIN | edgeTriggered
	wakeInterest   uint32 = unix.EPOLLIN
)

// These masks group epoll events by their meaning for a connection. An error or a hang-up makes the
// connection readable and writable, because the next system call returns the error.
const (
	writableEvents   uint32 = unix.EPOLLOUT | unix.EPOLLERR | unix.EPOLLHUP
	peerClosedEvents uint32 = unix.EPOLLRDHUP | unix.EPOLLERR | unix.EPOLLHUP
	readableEvents   uint32 = unix.EPOLLIN | peerClosedEvents
)

// watch registers a descriptor and its interest mask with an epoll instance.
func watch(epollFD, fd int, interest uint32) error {
	ev := unix.EpollEvent{Fd: int32(fd), Events: interest}
	return unix.EpollCtl(epollFD, unix.EPOLL_CTL_ADD, fd, &ev)
}

// poll asks the kernel for events and returns their number. timeout is in milliseconds, and -1 waits
// without a time limit.
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

// pollNow asks for events without waiting. It makes a raw system call: the call cannot block, and
// entering the Go scheduler would cost more than the call itself.
func pollNow(epollFD int, events []unix.EpollEvent) (int, error) {
	n, _, errno := unix.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epollFD),
		uintptr(unsafe.Pointer(&events[0])), uintptr(len(events)), 0, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

// closeFD closes a descriptor. It ignores the result, because Linux releases the descriptor even if
// close returns an error.
func closeFD(fd int) { _ = unix.Close(fd) }
