package respserver_test

import (
	"runtime"
	"strings"
	"testing"

	"go.uber.org/zap"

	"chalkstand/internal/testfd"
	"chalkstand/respserver"
)

// A server that cannot listen leaves no event loop open.
func TestFailedNewLeavesNothingOpen(t *testing.T) {
	f := startFixture(t, 256)
	f.waitFor(func() bool { return len(f.discovery.Calls()) > 0 })
	before := testfd.Count(t)
	for range 5 {
		if _, err := respserver.New(f.cfg, zap.NewNop()); err == nil {
			t.Fatal("two servers on one address")
		}
	}
	testfd.Await(t, before)
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
