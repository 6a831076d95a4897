package gateway_test

import (
	"testing"

	"golang.org/x/sys/unix"

	"chalkstand/gateway"
	"chalkstand/internal/testfd"
	kit "chalkstand/internal/testkit"
)

// TestFailedNewLeavesNothingOpen checks that New closes the event loops that it has already opened when
// it fails for lack of file descriptors.
func TestFailedNewLeavesNothingOpen(t *testing.T) {
	var oldLimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &oldLimit); err != nil {
		t.Fatal(err)
	}
	openFiles := testfd.Count(t)
	s := kit.Settings(1)
	s.EmbeddedNodes = nil
	s.Loops = 64
	lowered := unix.Rlimit{Cur: uint64(openFiles + 20), Max: oldLimit.Max}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	g, err := gateway.New(s)
	if restoreErr := unix.Setrlimit(unix.RLIMIT_NOFILE, &oldLimit); restoreErr != nil {
		t.Fatal(restoreErr)
	}
	if err == nil {
		g.Close()
		t.Fatal("New succeeded with 20 free descriptors for 64 loops, want an error")
	}
	testfd.Await(t, openFiles)
}
