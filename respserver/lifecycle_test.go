package respserver_test

import (
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
	if ended, open := f.server.Watches(); open == 0 || ended < open {
		t.Errorf("%d of %d watches have ended", ended, open)
	}
}
