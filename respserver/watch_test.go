package respserver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
	"chalkstand/respserver"
)

// expectRequestsReach sends requests until one of them has reached a node. Earlier requests may fail.
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
			f.t.Fatal("timed out waiting for a request to reach the node: the server has not applied the endpoint list")
		}
	}
}

// The server applies updates of the endpoint list and tolerates failures of discovery. After a change
// of the address of discovery, the server opens a watch there that starts at the known version.
func TestDiscovery(t *testing.T) {
	f := startFixture(t, 256)
	second := startNode(t)
	f.expectRequestsReach(f.node)
	f.sendUpdate(f.discovery, "")
	draining := fakediscovery.Endpoint{ID: "s1", Addr: f.node.Addr(), State: "Terminating"}
	f.sendUpdate(f.discovery, fakediscovery.Document(42, false, draining, readyEndpoint("s2", second)))
	f.expectRequestsReach(second)
	gone := fakediscovery.Endpoint{ID: "s2", Addr: second.Addr(), State: "Gone"}
	f.sendUpdate(f.discovery, fakediscovery.Document(7, false, gone)) // version 7 is stale
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
		t.Errorf("the server opened watches that start at the versions %q, want one at 42", calls)
	}
}

// The server follows discovery also where the settings call the lists pushed. Before the fix, it used the
// list of its configuration for as long as it ran, and a replaced node got requests for good.
func TestDiscoveryWithPushedLists(t *testing.T) {
	f := startEditedFixture(t, 256, func(text string) string {
		return strings.Replace(text, `"discovery":"on_request"`, `"discovery":"pushed"`, 1)
	})
	successor := startNode(t)
	f.expectRequestsReach(f.node)
	f.sendUpdate(f.discovery, "")
	draining := fakediscovery.Endpoint{ID: "s1", Addr: f.node.Addr(), State: "Terminating"}
	f.sendUpdate(f.discovery, fakediscovery.Document(42, false, draining, readyEndpoint("s2", successor)))
	f.waitOnLoop(func() bool { return f.server.EndpointVersion() == 42 })
	before := len(f.node.Commands())
	f.expectRequestsReach(successor)
	f.expectCommands(before)
	f.discovery.CloseWatches()
	f.waitFor(func() bool { return len(f.discovery.Calls()) == 2 })
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

// silentDiscovery returns an address that accepts connections and never sends a byte.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	t.Cleanup(func() { closeOrFail(t, ln) })
	return ln.Addr().String()
}

// The address of discovery changes twice to addresses that never respond. The server keeps the watch
// that has received an update open.
func TestDiscoveryAddressChangesTwice(t *testing.T) {
	f := startFixture(t, 256)
	f.sendUpdate(f.discovery, fakediscovery.Document(42, true, readyEndpoint("s1", f.node)))
	f.waitOnLoop(func() bool { return f.server.EndpointVersion() == 42 })
	for range 2 {
		f.server.Reload(f.withDiscovery(silentDiscovery(t)))
	}
	f.server.RunOnLoop(func() {})
	draining := fakediscovery.Endpoint{ID: "s1", Addr: f.node.Addr(), State: "Terminating"}
	f.discovery.Send(fakediscovery.Document(43, false, draining))
	f.waitOnLoop(func() bool { return f.server.EndpointVersion() == 43 })
}

// The address of discovery changes while the server opens its first watch. The server opens a watch at
// the new address at once. After the first update from there, the end of the previous watch has no
// effect.
func TestDiscoveryAddressChangesDuringFirstWatch(t *testing.T) {
	f := startFixture(t, 256)
	moved := startDiscovery(t)
	f.server.Reload(f.withDiscovery(moved.Addr()))
	f.sendUpdate(moved, fakediscovery.Document(43, true, readyEndpoint("s1", f.node)))
	f.waitOnLoop(func() bool { return f.server.EndpointVersion() == 43 })
	f.discovery.CloseWatches()
	c := f.client()
	c.send(getCommand("1"))
	c.expectReply(replyTo("1"))
	if calls := moved.Calls(); len(calls) != 1 {
		t.Errorf("got %d calls to discovery at the new address, want 1", len(calls))
	}
}

// floodingDiscovery is a discovery service that sends the same list again and again at full speed. It returns
// its address and the number of lists that it has written.
func floodingDiscovery(t *testing.T, list string, count int) (addr string, sent *atomic.Int32) {
	t.Helper()
	sent = new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range count {
			if _, err := io.WriteString(w, list+"\n"); err != nil {
				return
			}
			sent.Add(1)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), sent
}

// Lists that arrive faster than the event loop applies them wait at the discovery service, not in memory.
func TestListsWaitForEventLoop(t *testing.T) {
	const lists = 20
	list := strings.Replace(fakediscovery.Document(100, false), "[", "["+strings.Repeat(" ", 1<<20), 1) // more than sockets buffer
	addr, sent := floodingDiscovery(t, list, lists)
	f := startFixture(t, 256)
	f.server.Reload(f.withDiscovery(addr))
	f.waitFor(func() bool { return sent.Load() > 0 })
	f.server.RunOnLoop(func() { time.Sleep(time.Second) })
	if n := sent.Load(); n == lists {
		t.Errorf("lists that the server took while its event loop was blocked: got all %d, want fewer", n)
	}
}
