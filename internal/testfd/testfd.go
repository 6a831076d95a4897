// Package testfd counts the descriptors of the test process, to show that none is leaked. Its tests must not run in
// parallel with others of their package.
package testfd

import (
	"os"
	"testing"
	"time"
)

// awaitLimit is how long Await waits for descriptors that are closed in the background.
const awaitLimit = 10 * time.Second

// Count returns how many descriptors the process has.
func Count(tb testing.TB) int {
	tb.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		tb.Fatal(err)
	}
	return len(entries)
}

// Await waits until the process has no more descriptors than before, and fails the test otherwise.
func Await(tb testing.TB, before int) {
	tb.Helper()
	for deadline := time.Now().Add(awaitLimit); Count(tb) > before; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("%d descriptors, %d before", Count(tb), before)
		}
	}
}
