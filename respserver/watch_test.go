package respserver_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
	"chalkstand/respserver"
)

// expectRequestsReach sends requests until one has reached a node. Some may fail meanwhile.
func (f *fixture) expectRequestsReach(node *respnode.Node) {
	f.t.Helper()
	before := len(node.Commands())
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		c := f.client()
		c.send(getCommand(f.nextID()))
		if _, err := respnode.ReadReply(c.in); err != nil {
			f.t.Fatal(err)
		}
		if len(node.Commands()) > before {
			return
		}
		if time.Now().After(end) {
			f.t.Fatal("no request reaches the node: the endpoint list was not applied")
		}
	}
}

// Updates are applied, failures of discovery survived, and after a change of its address discovery is
// polled there from the known version on.
func TestDiscovery(t *testing.T) {
	f := startFixture(t, 256)
	second := startNode(t)
	f.expectRequestsReach(f.node)
	f.sendUpdate(f.discovery, "")
	draining := fakediscovery.Endpoint{ID: "s1", Addr: f.node.Addr(), State: "Terminating"}
	f.sendUpdate(f.discovery, fakediscovery.Document(42, false, draining, readyEndpoint("s2", second)))
	f.expectRequestsReach(second)
	gone := fakediscovery.Endpoint{ID: "s2", Addr: second.Addr(), State: "Gone"}
	f.sendUpdate(f.discovery, fakediscovery.Document(7, false, gone)) // stale
	f.expectRequestsReach(second)
	f.discovery.FailCalls(1)
	f.sendUpdate(f.discovery, "{bad")
	moved := startDiscovery(t)
	f.server.Reload(loadConfigFile(t, configText(f.cfg.Listen.String(), moved.Addr(), "null", 256)))
	ready := readyEndpoint("s1", f.node)
	ready.StartedMS = 1
	f.sendUpdate(moved, fakediscovery.Document(43, true, ready))
	f.expectRequestsReach(f.node)
	if calls := moved.Calls(); len(calls) != 1 || calls[0] != "42" {
		t.Errorf("polled from the versions %q, want 42", calls)
	}
}

// loadConfigFile writes a configuration to a file and loads it.
func loadConfigFile(t *testing.T, text string) respserver.Config {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := respserver.LoadConfig(file)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// silentDiscovery returns an address where connections are opened and nothing is sent.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	t.Cleanup(func() { closeOrFail(t, ln) })
	return ln.Addr().String()
}

// The address of discovery changes twice, to where there is no response: the watch that has received
// an update stays open.
func TestDiscoveryAddressChangesTwice(t *testing.T) {
	f := startFixture(t, 256)
	f.sendUpdate(f.discovery, fakediscovery.Document(42, true, readyEndpoint("s1", f.node)))
	f.waitOnLoop(func() bool { return f.server.EndpointVersion() == 42 })
	for range 2 {
		f.server.Reload(f.movedTo(silentDiscovery(t)))
	}
	f.server.RunOnLoop(func() {})
	draining := fakediscovery.Endpoint{ID: "s1", Addr: f.node.Addr(), State: "Terminating"}
	f.discovery.Send(fakediscovery.Document(43, false, draining))
	f.waitOnLoop(func() bool { return f.server.EndpointVersion() == 43 })
}

// The address of discovery changes while the first watch is being opened: the new address is polled at
// once, and after its first update the close of the previous watch has no effect.
func TestDiscoveryAddressChangesDuringFirstWatch(t *testing.T) {
	f := startFixture(t, 256)
	moved := startDiscovery(t)
	f.server.Reload(f.movedTo(moved.Addr()))
	f.sendUpdate(moved, fakediscovery.Document(43, true, readyEndpoint("s1", f.node)))
	f.waitOnLoop(func() bool { return f.server.EndpointVersion() == 43 })
	f.discovery.CloseWatches()
	c := f.client()
	c.send(getCommand("1"))
	c.expectReply(replyTo("1"))
	if calls := moved.Calls(); len(calls) != 1 {
		t.Errorf("%d calls at the new address, want 1", len(calls))
	}
}
