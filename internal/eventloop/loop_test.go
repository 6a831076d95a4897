package eventloop

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// After its end a loop accepts no posted functions, keeps none, and does not write to its old
// descriptors, which may be another file's by then.
func TestStoppedLoopLeavesDescriptorsAlone(t *testing.T) {
	l := newLoop(t)
	l.Stop()
	var files []*os.File
	for range 16 { // these get the numbers that the loop had
		r, w, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, r, w)
	}
	for range 4 {
		l.Post(func() { t.Error("run after the end") })
		l.Stop()
	}
	if len(l.posted) > 0 {
		t.Fatal("a function that will never run is kept")
	}
	for _, f := range files {
		fds := []unix.PollFd{{Fd: int32(f.Fd()), Events: unix.POLLIN}}
		if n, _ := unix.Poll(fds, 0); n > 0 && fds[0].Revents&unix.POLLIN != 0 {
			t.Fatal("bytes were written to another file's descriptor")
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
