// Package testfd counts the open file descriptors of the test process, so that tests can detect descriptor
// leaks. A test that uses this package must not run in parallel with other tests of its own package, because
// the count includes the descriptors that those tests open.
package testfd

import (
	"os"
	"testing"
	"time"
)

// awaitTimeout limits how long Await waits for goroutines that close descriptors in the background.
const awaitTimeout = 10 * time.Second

// Count returns the number of open file descriptors of the process.
func Count(tb testing.TB) int {
	tb.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		tb.Fatal(err)
	}
	return len(entries)
}

// Await waits until the process has at most as many open file descriptors as at an earlier time. The argument
// before is the result of Count at that time. Await stops the test if the wait exceeds awaitTimeout.
func Await(tb testing.TB, before int) {
	tb.Helper()
	for deadline := time.Now().Add(awaitTimeout); Count(tb) > before; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("open file descriptors: got %d, want at most %d", Count(tb), before)
		}
	}
}
