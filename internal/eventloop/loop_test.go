package eventloop

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// A loop that has ended rejects posted functions and keeps none. It does not write to the numbers of
// its closed descriptors, which other files may have by then.
func TestStoppedLoopLeavesDescriptorsAlone(t *testing.T) {
	l := newLoop(t)
	l.Stop()
	var files []*os.File
	for range 16 { // the pipes get the descriptor numbers of the ended loop
		r, w, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, r, w)
	}
	for range 4 {
		l.Post(func() { t.Error("a function posted after the end of the loop ran, want it rejected") })
		l.Stop()
	}
	if len(l.posted) > 0 {
		t.Fatal("the ended loop keeps a posted function, want none")
	}
	for _, f := range files {
		fds := []unix.PollFd{{Fd: int32(f.Fd()), Events: unix.POLLIN}}
		if n, _ := unix.Poll(fds, 0); n > 0 && fds[0].Revents&unix.POLLIN != 0 {
			t.Fatal("the ended loop wrote bytes to the descriptor of another file")
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
