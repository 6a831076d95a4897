package respserver_test

import (
	"os"
	"runtime"
	"strings"
	"testing"

	"go.uber.org/zap"

	"chalkstand/respserver"
)

func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// A server that cannot listen leaves no event loop open.
func TestFailedNewLeavesNothingOpen(t *testing.T) {
	f := startFixture(t, 256)
	f.waitFor(func() bool { return len(f.discovery.Calls()) > 0 })
	before := openDescriptors(t)
	for range 5 {
		if _, err := respserver.New(f.cfg, zap.NewNop()); err == nil {
			t.Fatal("two servers on one address")
		}
	}
	f.waitFor(func() bool { return openDescriptors(t) <= before })
}

// When Run returns, the goroutine of the discovery watch has ended.
func TestWatchEndsWithTheServer(t *testing.T) {
	f := startFixture(t, 256)
	f.waitFor(func() bool { return len(f.discovery.Calls()) > 0 })
	f.server.Shutdown()
	f.server.RunOnLoop(f.server.EndGracePeriod)
	f.waitForStop()
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	if strings.Contains(string(stacks), "internal/discovery.Watch") {
		t.Errorf("the watch goes on:\n%s", stacks)
	}
}
