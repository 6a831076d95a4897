package respserver_test

import (
	"testing"

	"go.uber.org/zap"

	"chalkstand/internal/testfd"
	"chalkstand/respserver"
)

// New leaves no descriptor of an event loop open when the server's address is in use.
func TestFailedNewLeavesNothingOpen(t *testing.T) {
	f := startFixture(t, 256)
	f.waitFor(func() bool { return len(f.discovery.Calls()) > 0 })
	before := testfd.Count(t)
	for range 5 {
		if _, err := respserver.New(f.cfg, zap.NewNop()); err == nil {
			t.Fatal("New on an address in use: got no error, want one")
		}
	}
	testfd.Await(t, before)
}

// The goroutine of the discovery watch has ended when Run returns.
func TestWatchEndsWithTheServer(t *testing.T) {
	f := startFixture(t, 256)
	f.waitFor(func() bool { return len(f.discovery.Calls()) > 0 })
	f.server.Shutdown()
	f.server.RunOnLoop(f.server.EndGracePeriod)
	f.waitForStop()
	if ended, open := f.server.Watches(); open == 0 || ended < open {
		t.Errorf("after Run, %d of %d watches have ended, want all of at least one", ended, open)
	}
}
