package respserver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
	"chalkstand/respserver"
)

// testTimeout bounds the wait for what comes much sooner unless something is broken.
const testTimeout = 20 * time.Second

// fixture is a server between its clients, a fake node and a fake discovery.
type fixture struct {
	t         *testing.T
	server    *respserver.Server
	cfg       respserver.Config
	node      *respnode.Node
	discovery *fakediscovery.Server
	runErr    chan error // receives the result of Run
	lastID    int
}

const settingsText = `{"me":0,"peers_total":1,"discovery":"on_request","areas":["a"],"kinds":["m"],"round_ms":1.0,
"limits":{"cancel":true,"conn_idle_ms":15000.0,"connect_timeout_ms":250.0,"max_retry_after_ms":2000.0,
"try_limit":3,"max_open":20000},
"classes":[{"name":"read","credit":3.0,"slo_ms":1000.0,"deadline_ms":3000.0,"effect":"idempotent","group":"all"},
{"name":"write","credit":2.0,"slo_ms":1000.0,"deadline_ms":3000.0,"effect":"at_most_once"}],
"policies":[{"name":"gold","base_rate":100.0,"guaranteed":1000.0,"weight":1.0,"value_factor":1.0}],
"family_info":{"largest":8,"usual_units":2.0,"slots_total":2,"class_writes":[false,true]},
"unknown":{"x":[1,{"y":null}]}}`

// configText returns a configuration. known is the JSON text of an endpoint list.
func configText(listen, discovery, known string, sockets int) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":64,"sockets":%d},`+"\n"+`"known":%s,"settings":%s}`,
		listen, discovery, sockets, known, settingsText)
}

// startFixture runs a server with that many file descriptors until the test ends.
func startFixture(t *testing.T, sockets int) *fixture {
	t.Helper()
	f := &fixture{t: t, runErr: make(chan error, 1)}
	f.node = startNode(t)
	f.discovery = startDiscovery(t)
	known := fakediscovery.Document(41, true, readyEndpoint("s1", f.node))
	cfg, err := respserver.ParseConfig([]byte(configText(freeAddr(t), f.discovery.Addr(), known, sockets)))
	if err != nil {
		t.Fatal(err)
	}
	f.cfg = cfg
	if f.server, err = respserver.New(cfg, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	go func() { f.runErr <- f.server.Run() }()
	t.Cleanup(f.server.Shutdown)
	return f
}

func startNode(t *testing.T) *respnode.Node {
	t.Helper()
	node, err := respnode.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	return node
}

func startDiscovery(t *testing.T) *fakediscovery.Server {
	t.Helper()
	server, err := fakediscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return server
}

// readyEndpoint returns the entry of a node that is ready.
func readyEndpoint(id string, node *respnode.Node) fakediscovery.Endpoint {
	return fakediscovery.Endpoint{ID: id, Addr: node.Addr(), State: "Ready"}
}

// listen opens a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// freeAddr returns an address on which nobody listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	addr := ln.Addr().String()
	closeOrFail(t, ln)
	return addr
}

func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// waitFor waits until a condition holds.
func (f *fixture) waitFor(condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("timed out waiting for a condition")
		}
	}
}

// waitOnLoop waits until a condition holds that is evaluated on the event loop.
func (f *fixture) waitOnLoop(condition func() bool) {
	f.t.Helper()
	f.waitFor(func() (holds bool) {
		f.server.RunOnLoop(func() { holds = condition() })
		return holds
	})
}

// waitForCommands waits until the node has received that many commands.
func (f *fixture) waitForCommands(count int) {
	f.t.Helper()
	if err := f.node.AwaitCommands(count, testTimeout); err != nil {
		f.t.Fatal(err)
	}
}

// waitForStop waits until Run returns.
func (f *fixture) waitForStop() {
	f.t.Helper()
	select {
	case err := <-f.runErr:
		if err != nil {
			f.t.Error(err)
		}
	case <-time.After(testTimeout):
		f.t.Error("the server does not stop")
	}
}

// advance advances the server's clock and checks its time-outs.
func (f *fixture) advance(by time.Duration) {
	f.t.Helper()
	f.server.AdvanceClock(by)
	f.server.Sweep()
}

// expectCommands checks how many commands the node has received.
func (f *fixture) expectCommands(want int) {
	f.t.Helper()
	if commands := f.node.Commands(); len(commands) != want {
		f.t.Errorf("%d commands at the node, want %d: %v", len(commands), want, commands)
	}
}

// expectNothingRetained checks that no request is registered and nothing is kept for one.
func (f *fixture) expectNothingRetained() {
	f.t.Helper()
	f.server.RunOnLoop(func() {
		if bytes, requests, ids := f.server.Retained(); bytes != 0 || requests != 0 || ids != 0 {
			f.t.Errorf("%d bytes, %d requests and %d ids are retained", bytes, requests, ids)
		}
	})
}

// sendUpdate sends a line on the open watches of a discovery, once there is one.
func (f *fixture) sendUpdate(discovery *fakediscovery.Server, line string) {
	f.t.Helper()
	f.waitFor(func() bool { return discovery.Send(line) > 0 })
}

// movedTo returns the configuration with discovery at another address.
func (f *fixture) movedTo(addr string) respserver.Config {
	cfg := f.cfg
	cfg.Discovery = netip.MustParseAddrPort(addr)
	return cfg
}

// client is a client's end of a connection.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

// client opens a connection that is closed when the test ends.
func (f *fixture) client() *client {
	f.t.Helper()
	c := f.dial()
	f.t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	return c
}

// dial opens a connection that the caller closes.
func (f *fixture) dial() *client {
	f.t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(f.t.Context(), "tcp", f.server.Addr())
	if err != nil {
		f.t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		f.t.Fatal(err)
	}
	return &client{Conn: conn, t: f.t, in: bufio.NewReader(conn)}
}

// resetClient resets a client's connection while the event loop stands still, and waits until the
// kernel knows of it.
func (f *fixture) resetClient(c *client) {
	f.t.Helper()
	if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		f.t.Fatal(err)
	}
	closeOrFail(f.t, c)
	f.waitFor(f.server.ClientHangup)
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Error(err)
	}
}

// expectReply reads a reply and checks its beginning.
func (c *client) expectReply(prefix string) {
	c.t.Helper()
	if got, err := respnode.ReadReply(c.in); err != nil || !strings.HasPrefix(got, prefix) {
		c.t.Errorf("reply %q (%v), want %q", got, err, prefix)
	}
}

// expectPong sends PING and checks the reply.
func (c *client) expectPong() {
	c.t.Helper()
	c.send(respnode.Command("PING"))
	c.expectReply("+PONG")
}

// expectClosed checks that the server closes the connection without a further reply.
func (c *client) expectClosed() {
	c.t.Helper()
	if b, err := c.in.ReadByte(); err == nil {
		c.t.Errorf("read %q, want the end of the connection", b)
	}
}

// pieceID is the piece that all requests are for.
const pieceID = "7f3a9c21e0b4d655"

// nextID returns a request id that was not used before.
func (f *fixture) nextID() string {
	f.lastID++
	return fmt.Sprintf("%016x", f.lastID)
}

// fieldList returns the fields of a usual request. replacements are pairs of a field's name and the
// text that stands in its place.
func fieldList(replacements ...string) string {
	list := ",c=read,t=gold,d=2500,volume=00000003b4d60021,units=2,shard=0,hosts=1"
	for i := 0; i+1 < len(replacements); i += 2 {
		from := strings.Index(list, ","+replacements[i]+"=") + 1
		end := strings.IndexByte(list[from:]+",", ',') + from
		list = list[:from] + replacements[i+1] + list[end:]
	}
	return list[1:]
}

func getCommand(id string) string { return respnode.Command("OBJ.GET", pieceID, id, fieldList()) }

func putCommand(id, body string) string {
	fields := fieldList("c", "c=write,k=5c0f6e1a2b3d4c59")
	return respnode.Command("OBJ.PUT", pieceID, id, fields, body)
}

// replyTo returns the reply to the request with an id.
func replyTo(id string) string {
	return "$" + respnode.Value([]string{"OBJ.GET", pieceID, id})
}

// largeValueReply is a node's reply with a value of 64 KiB, of which largeValue is a bulk string.
var (
	largeValue      = respnode.Bulk(strings.Repeat("v", 64<<10))
	largeValueReply = "*3\r\n" + largeValue + "$-1\r\n$-1\r\n"
)

// slowReader returns a client that reads nothing, with more replies than the kernel takes.
func (f *fixture) slowReader() *client {
	f.t.Helper()
	f.node.SetDefault(respnode.Behavior{Reply: largeValueReply})
	c := f.client()
	c.expectPong()
	if err := f.server.ShrinkSendBuffers(); err != nil {
		f.t.Fatal(err)
	}
	for range 60 {
		c.send(getCommand(f.nextID()))
	}
	f.waitOnLoop(func() bool { return f.server.PendingReplies() == 0 && f.server.UnsentBytes() > 0 })
	return c
}
