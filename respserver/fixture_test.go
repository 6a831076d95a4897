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

// testTimeout limits each wait for an event. Unless the code is broken, the event occurs much sooner.
const testTimeout = 20 * time.Second

// fixture holds a running server, the fake node and fake discovery that it uses, and its clients.
type fixture struct {
	t         *testing.T
	server    *respserver.Server
	cfg       respserver.Config
	node      *respnode.Node
	discovery *fakediscovery.Server
	runErr    chan error // receives the error that Run returns
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

// configText returns the JSON text of a configuration. known is the JSON text of an endpoint list.
func configText(listen, discovery, known string, sockets int) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":64,"sockets":%d},`+"\n"+`"known":%s,"settings":%s}`,
		listen, discovery, sockets, known, settingsText)
}

// startFixture runs a server until the test ends. sockets is the server's limit on file descriptors.
func startFixture(t *testing.T, sockets int) *fixture {
	t.Helper()
	return startEditedFixture(t, sockets, func(text string) string { return text })
}

// startEditedFixture is like startFixture. It passes the JSON text of the configuration through edit.
func startEditedFixture(t *testing.T, sockets int, edit func(string) string) *fixture {
	t.Helper()
	f := &fixture{t: t, runErr: make(chan error, 1)}
	f.node = startNode(t)
	f.discovery = startDiscovery(t)
	known := fakediscovery.Document(41, true, readyEndpoint("s1", f.node))
	text := edit(configText(freeAddr(t), f.discovery.Addr(), known, sockets))
	cfg, err := respserver.ParseConfig([]byte(text))
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

// readyEndpoint returns the entry of a ready node for an endpoint list.
func readyEndpoint(id string, node *respnode.Node) fakediscovery.Endpoint {
	return fakediscovery.Endpoint{ID: id, Addr: node.Addr(), State: "Ready"}
}

// listen opens a listener on a free local port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// freeAddr returns a local address on which no process listens.
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

// waitFor polls a condition until it holds.
func (f *fixture) waitFor(condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("timed out waiting for a condition")
		}
	}
}

// waitOnLoop evaluates a condition on the event loop repeatedly until the condition holds.
func (f *fixture) waitOnLoop(condition func() bool) {
	f.t.Helper()
	f.waitFor(func() (holds bool) {
		f.server.RunOnLoop(func() { holds = condition() })
		return holds
	})
}

// waitForCommands waits until the node has received count commands.
func (f *fixture) waitForCommands(count int) {
	f.t.Helper()
	if err := f.node.AwaitCommands(count, testTimeout); err != nil {
		f.t.Fatal(err)
	}
}

// waitForStop waits until Run returns and checks that it returns no error.
func (f *fixture) waitForStop() {
	f.t.Helper()
	select {
	case err := <-f.runErr:
		if err != nil {
			f.t.Error(err)
		}
	case <-time.After(testTimeout):
		f.t.Error("timed out waiting for Run to return")
	}
}

// advance advances the server's clock and runs a sweep.
func (f *fixture) advance(by time.Duration) {
	f.t.Helper()
	f.server.AdvanceClock(by)
	f.server.Sweep()
}

// expectCommands checks the number of commands that the node has received.
func (f *fixture) expectCommands(want int) {
	f.t.Helper()
	if commands := f.node.Commands(); len(commands) != want {
		f.t.Errorf("the node received %d commands, want %d: %v", len(commands), want, commands)
	}
}

// expectNothingRetained checks that the server has no registered request and retains no bytes.
func (f *fixture) expectNothingRetained() {
	f.t.Helper()
	f.server.RunOnLoop(func() {
		if bytes, requests, ids := f.server.Retained(); bytes != 0 || requests != 0 || ids != 0 {
			f.t.Errorf("the server retains %d bytes, %d requests and %d ids, want none", bytes, requests, ids)
		}
	})
}

// sendUpdate waits until the discovery has an open watch and sends a line on its open watches.
func (f *fixture) sendUpdate(discovery *fakediscovery.Server, line string) {
	f.t.Helper()
	f.waitFor(func() bool { return discovery.Send(line) > 0 })
}

// withDiscovery returns the server's configuration with another address of discovery.
func (f *fixture) withDiscovery(addr string) respserver.Config {
	cfg := f.cfg
	cfg.Discovery = netip.MustParseAddrPort(addr)
	return cfg
}

// client is the client side of a connection to the server.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

// client opens a connection to the server that is closed when the test ends.
func (f *fixture) client() *client {
	f.t.Helper()
	c := f.dial()
	f.t.Cleanup(func() { _ = c.Close() }) // Close fails if the test has already closed the connection
	return c
}

// dial opens a connection to the server that the caller must close.
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

// resetClient resets a client's connection and waits until the kernel reports the reset. It must be
// called on the event loop, so that the loop does not handle the reset in the meantime.
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

// expectReply reads a reply and checks that it begins with prefix.
func (c *client) expectReply(prefix string) {
	c.t.Helper()
	if got, err := respnode.ReadReply(c.in); err != nil || !strings.HasPrefix(got, prefix) {
		c.t.Errorf("got reply %q (error %v), want one that begins with %q", got, err, prefix)
	}
}

// expectPong sends PING and checks the reply.
func (c *client) expectPong() {
	c.t.Helper()
	c.send(respnode.Command("PING"))
	c.expectReply("+PONG")
}

// expectClosed checks that the server closes the connection without another reply.
func (c *client) expectClosed() {
	c.t.Helper()
	if b, err := c.in.ReadByte(); err == nil {
		c.t.Errorf("got byte %q, want the end of the connection", b)
	}
}

// pieceID identifies the piece that all requests of these tests address.
const pieceID = "7f3a9c21e0b4d655"

// nextID returns a request id that the test has not used before.
func (f *fixture) nextID() string {
	f.lastID++
	return fmt.Sprintf("%016x", f.lastID)
}

// fieldList returns the fields of a typical request. replacements are pairs of a field's name and the
// text that replaces the field.
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

// replyTo returns the beginning of the expected reply to the OBJ.GET request with an id.
func replyTo(id string) string {
	return "$" + respnode.Value([]string{"OBJ.GET", pieceID, id})
}

// largeValue is a bulk string of 64 KiB, and largeValueReply is a node's reply with this value.
var (
	largeValue      = respnode.Bulk(strings.Repeat("v", 64<<10))
	largeValueReply = "*3\r\n" + largeValue + "$-1\r\n$-1\r\n"
)

// slowReader returns a client that reads none of its replies. The server holds more bytes of replies
// for this client than the kernel accepts.
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
