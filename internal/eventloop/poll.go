package eventloop

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// pollNow looks for events without waiting. A call that cannot block need not tell
// Go's scheduler of it, which costs more than the call.
func pollNow(epoll int, events []unix.EpollEvent) (int, error) {
	n, _, errno := unix.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll), uintptr(unsafe.Pointer(&events[0])), uintptr(len(events)), 0, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}
