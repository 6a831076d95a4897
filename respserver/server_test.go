package respserver_test

import (
	"bufio"
	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
	"chalkstand/respserver"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

const patience = 20 * time.Second // for what comes sooner unless something is broken

// world is a dispatcher between clients, a node and discovery.
type world struct {
	t    *testing.T
	f    *respserver.Server
	cfg  respserver.Config
	node *respnode.Node
	disc *fakediscovery.Server
	end  chan error
	ids  int
}

const settingsText = `{"me":0,"peers_total":1,"discovery":"on_request","areas":["a"],"kinds":["m"],"round_ms":1.0,
"limits":{"cancel":true,"conn_idle_ms":15000.0,"connect_timeout_ms":250.0,"max_retry_after_ms":2000.0,"try_limit":3,"max_open":20000},
"classes":[{"name":"read","credit":3.0,"slo_ms":1000.0,"deadline_ms":3000.0,"effect":"idempotent","group":"all"},
{"name":"write","credit":2.0,"slo_ms":1000.0,"deadline_ms":3000.0,"effect":"at_most_once"}],
"policies":[{"name":"gold","base_rate":100.0,"guaranteed":1000.0,"weight":1.0,"value_factor":1.0}],
"family_info":{"largest":8,"usual_units":2.0,"slots_total":2,"class_writes":[false,true]},"unknown":{"x":[1,{"y":null}]}}`

func configText(listen, discovery, known string, sockets int) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":%d},
"known":%s,"settings":%s}`, listen, discovery, sockets, known, settingsText)
}

func start(t *testing.T, sockets int) *world {
	t.Helper()
	w := &world{t: t, end: make(chan error, 1)}
	var err error
	if w.node, err = respnode.StartNode(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.node.Stop)
	if w.disc, err = fakediscovery.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.disc.Stop)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	known := fakediscovery.Document(41, true, fakediscovery.Endpoint{ID: "s1", Addr: w.node.Addr(), State: "Ready"})
	if w.cfg, err = respserver.ParseConfig([]byte(configText(addr, w.disc.Addr(), known, sockets))); err != nil {
		t.Fatal(err)
	}
	if w.f, err = respserver.New(w.cfg, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	go func() { w.end <- w.f.Run() }()
	t.Cleanup(w.f.Stop)
	return w
}

type client struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func (w *world) client() *client {
	w.t.Helper()
	c := w.dial()
	w.t.Cleanup(func() { c.Close() })
	return c
}

// dial opens a client's connection, which is the caller's to close.
func (w *world) dial() *client {
	w.t.Helper()
	c, err := net.Dial("tcp", w.f.Addr())
	if err != nil {
		w.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	return &client{w.t, c, bufio.NewReader(c)}
}

func (c *client) say(s string) {
	c.t.Helper()
	if _, err := c.Write([]byte(s)); err != nil {
		c.t.Error(err)
	}
}

func (c *client) expect(prefix string) {
	c.t.Helper()
	if got, err := respnode.ReadReply(c.in); err != nil || !strings.HasPrefix(got, prefix) {
		c.t.Errorf("answered %q (%v), want %q", got, err, prefix)
	}
}

// fields are those of a usual request, with what stands in the place of some.
func fields(instead ...string) string {
	s := ",c=read,t=gold,d=2500,volume=00000003b4d60021,units=2,shard=0,hosts=1"
	for i := 0; i+1 < len(instead); i += 2 {
		from := strings.Index(s, ","+instead[i]+"=") + 1
		end := strings.IndexByte(s[from:]+",", ',') + from
		s = s[:from] + instead[i+1] + s[end:]
	}
	return s[1:]
}

const piece = "7f3a9c21e0b4d655"

func (w *world) id() string {
	w.ids++
	return fmt.Sprintf("%016x", w.ids)
}

func get(id string) string { return respnode.Command("OBJ.GET", piece, id, fields()) }
func answer(id string) string {
	return "$" + respnode.Value([]string{"OBJ.GET", piece, id})
}

func put(id, body string) string {
	return respnode.Command("OBJ.PUT", piece, id, fields("c", "c=write,k=5c0f6e1a2b3d4c59"), body)
}

func TestOnePathThere(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	c.say(respnode.Command("PING") + respnode.Command("CLIENT", "SETNAME", "x") + respnode.Command("SELECT", "0") + respnode.Command("HELLO", "3"))
	for _, want := range []string{"+PONG", "+OK", "+OK", "-ERR"} {
		c.expect(want)
	}
	c.say(get("1"))
	c.expect(answer("1"))
	c.say(put("2", strings.Repeat("b", 64<<10)))
	c.expect("$" + respnode.Value([]string{"", piece, "2"}))
	seen, _ := w.node.Log()
	if len(seen) != 2 || len(seen[1].Words[4]) != 64<<10 || seen[1].Words[0] != "OBJ.PUT" {
		t.Fatalf("%d commands at the node", len(seen))
	}
	before, d, after := "c=read,t=gold,", 0, ",volume=00000003b4d60021,units=2,shard=0,hosts=1"
	if _, err := fmt.Sscanf(seen[0].Words[3], before+"d=%d"+after, &d); err != nil || d < 1 || d > 2500 {
		t.Errorf("at the node: %q", seen[0].Words[3])
	}
	if seen[0].Words[1] != piece || seen[0].Words[2] != "1" {
		t.Errorf("at the node: %q", seen[0].Words[:3])
	}
}

// Commands of one connection run side by side, and their answers leave in their order.
func TestPipelinedAnswersInOrder(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	w.node.Next(respnode.Behavior{Hang: true}, respnode.Behavior{})
	// One that must not run twice: a read would be sent again once the next has overtaken it.
	c.say(respnode.Command("OBJ.PUT", piece, "slow", fields("c", "c=write", "d", "d=400"), "body"))
	if err := w.node.Await(1, patience); err != nil {
		t.Fatal(err)
	}
	c.say(get("quick") + respnode.Command("PING"))
	if err := w.node.Await(2, patience); err != nil {
		t.Fatal(err)
	}
	c.expect("-") // the first has had no answer
	c.expect(answer("quick"))
	c.expect("+PONG")
}

// What can't be done gets an error that says what was expected, and no node hears of it.
func TestBadRequests(t *testing.T) {
	w := start(t, 256)
	for _, bad := range []string{
		respnode.Command("OBJ.GET", piece, "", fields()),
		respnode.Command("OBJ.GET", "short", w.id(), fields()),
		respnode.Command("OBJ.GET", piece, w.id(), fields("c", "c=none")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("c", "c=write")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("t", "t=none")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("d", "d=soon")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("d", "d=-5")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("d", "d=NaN")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("volume", "volume=1")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("units", "units=9")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("units", "units=0")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("shard", "shard=2")),
		respnode.Command("OBJ.GET", piece, w.id(), fields("hosts", "hosts=0")),
		respnode.Command("OBJ.GET", piece, w.id(), fields()+",c=read"),
		respnode.Command("OBJ.GET", piece, w.id(), "c=read,t=gold"),
		respnode.Command("OBJ.GET", piece, w.id()),
		respnode.Command("OBJ.DEL", piece),
	} {
		c := w.client()
		c.say(bad)
		c.expect("-ERR ")
		c.say(respnode.Command("PING"))
		c.expect("+PONG")
	}
	if seen, _ := w.node.Log(); len(seen) > 0 {
		t.Errorf("at the node: %v", seen)
	}
}

// What can't be read gets an error at once, before what it announces has come; the
// connection ends, and what still comes is thrown away.
func TestUnreadable(t *testing.T) {
	w := start(t, 256)
	for _, bad := range []string{
		"GET / HTTP/1.1\r\n\r\n", "*1\r\n$70000\r\n", "*-1\r\n", "*999999\r\n", "*1\r\n$-7\r\n", "*1\r\n$3\r\nabcd\r\n",
		"*99999999999999999999999999999999", "\x00\x01\x02", "*5\r\n$7\r\nOBJ.PUT\r\n:1\r\n",
	} {
		c := w.client()
		c.say(bad)
		c.expect("-ERR Protocol error")
		go c.Write(make([]byte, 1<<20)) // however much it sends
		if _, err := c.in.ReadByte(); err == nil {
			t.Errorf("%q: the connection goes on", bad)
		}
	}
	if seen, _ := w.node.Log(); len(seen) > 0 {
		t.Errorf("at the node: %v", seen)
	}
}

// The id of an open request is refused to another, and the first is not disturbed.
func TestIDOfAnOpenRequest(t *testing.T) {
	w := start(t, 256)
	w.node.SetDefault(respnode.Behavior{Delay: 100 * time.Millisecond})
	a, b := w.client(), w.client()
	a.say(get("same"))
	if err := w.node.Await(1, patience); err != nil {
		t.Fatal(err)
	}
	b.say(get("same"))
	b.expect("-ERR id")
	a.expect(answer("same"))
	b.say(get("same")) // it is over
	b.expect(answer("same"))
}

// Whatever a node sends beside its answer is never taken for the answer to another request.
func TestMoreThanAnAnswer(t *testing.T) {
	for name, after := range map[string]string{"a second copy": "*3\r\n$3\r\nbad\r\n$-1\r\n$-1\r\n", "noise": "\x00\x13noise", "the beginning of another": "*3\r\n$3\r\n"} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 256)
			c := w.client()
			for i := range 20 {
				w.node.Next(respnode.Behavior{Trailer: after})
				id := fmt.Sprint(i)
				c.say(get(id))
				c.expect(answer(id))
			}
			if _, opened := w.node.Log(); opened != 20 {
				t.Errorf("%d connections for 20 answers with more behind", opened)
			}
		})
	}
}

// An answer that is spoilt is a failed attempt that may have run: a read goes out again, what
// must not run twice does not, and neither is served what came.
func TestSpoiltAnswers(t *testing.T) {
	for name, say := range map[string]string{
		"noise": "\x00\x01 noise\r\n", "a wrong count": "*2\r\n%v$-1\r\n", "a huge length": "*3\r\n$3000000000\r\nxxxx",
		"a line without end": "+" + strings.Repeat("x", 4096), "a null value": "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "a length too short": "*3\r\n$2\r\nvalue\r\n$-1\r\n$-1\r\n",
		"another kind": "+OK\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 256)
			c := w.client()
			w.node.Next(respnode.Behavior{Reply: say})
			c.say(get("1"))
			c.expect(answer("1"))
			w.node.Next(respnode.Behavior{Reply: say})
			c.say(put("2", "body"))
			c.expect("-ERR")
			if seen, _ := w.node.Log(); len(seen) != 3 {
				t.Errorf("%d commands at the node, want 3", len(seen))
			}
		})
	}
}

// What is good in an answer counts, whatever can't be read beside the value.
func TestUnreadableFiguresAreLeftOut(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	for i, say := range []string{"*3\r\n%v$-1\r\n$-1\r\n", "*3\r\n%v$9\r\nused=many\r\n$2\r\n==\r\n", "*3\r\n%v$20\r\nused=NaN,cost=-1e99,\r\n$14\r\ninflight=seven\r\n"} {
		w.node.Next(respnode.Behavior{Reply: say})
		id := fmt.Sprint(i)
		c.say(get(id))
		c.expect(answer(id))
	}
}

// A request that a node turned away, or whose connection broke under it, goes out again.
func TestFurtherAttempts(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	w.node.Next(respnode.Behavior{Reply: "-BUSY\r\n"})
	c.say(put("1", "x"))
	c.expect("$")
	w.node.Next(respnode.Behavior{Close: true})
	c.say(get("2"))
	c.expect("$")
	w.node.Next(respnode.Behavior{Reply: "-ERR failed used=3 inflight=1,queue=0\r\n"})
	c.say(put("3", "x"))
	c.expect("-ERR failed")
	w.node.Next(respnode.Behavior{Close: true})
	c.say(put("4", "x"))
	c.expect("-ERR failed")
	if seen, _ := w.node.Log(); len(seen) != 6 {
		t.Errorf("%d commands at the node, want 6", len(seen))
	}
}

// Connections that ask once and stay, or say nothing, make room for those who ask.
func TestIdleClientsMakeRoom(t *testing.T) {
	w := start(t, 64)
	for i := range 200 {
		c := w.client()
		if i%2 == 0 {
			id := w.id()
			c.say(get(id))
			c.expect(answer(id))
		}
	}
	c := w.client()
	c.say(get("last"))
	c.expect(answer("last"))
}

// A client that says nothing whole is closed before 3 s have passed.
func TestSilentClientsAreClosed(t *testing.T) {
	w := start(t, 256)
	began := time.Now()
	for _, part := range []string{"", "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n"} {
		c := w.client()
		c.say(part)
		if _, err := c.in.ReadByte(); err == nil {
			t.Errorf("%q: answered", part)
		}
	}
	if d := time.Since(began); d > 2*3*time.Second {
		t.Errorf("closed after %v", d)
	}
}

// Discovery's changes are followed, its failures survived, and after a move it is asked at
// its new place from the version that is known.
func TestDiscovery(t *testing.T) {
	w := start(t, 256)
	second, err := respnode.StartNode()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Stop)
	told := func(d *fakediscovery.Server, line string) {
		t.Helper()
		for end := time.Now().Add(patience); d.Send(line) == 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("nobody watches")
			}
		}
	}
	reaches := func(n *respnode.Node) {
		t.Helper()
		before, _ := n.Log()
		for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
			id := w.id()
			c := w.client()
			c.say(get(id))
			respnode.ReadReply(c.in)
			if now, _ := n.Log(); len(now) > len(before) {
				return
			}
			if time.Now().After(end) {
				t.Fatal("the list is not followed")
			}
		}
	}
	reaches(w.node)
	told(w.disc, "")
	told(w.disc, fakediscovery.Document(42, false, fakediscovery.Endpoint{ID: "s1", Addr: w.node.Addr(), State: "Terminating"}, fakediscovery.Endpoint{ID: "s2", Addr: second.Addr(), State: "Ready"}))
	reaches(second)
	told(w.disc, fakediscovery.Document(7, false, fakediscovery.Endpoint{ID: "s2", Addr: second.Addr(), State: "Gone"})) // of the past
	reaches(second)
	w.disc.FailCalls(1)
	told(w.disc, "{bad")
	moved, err := fakediscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(moved.Stop)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(configText(w.cfg.Listen.String(), moved.Addr(), "null", 256)), 0o600); err != nil {
		t.Fatal(err)
	}
	next, err := respserver.LoadConfig(file)
	if err != nil {
		t.Fatal(err)
	}
	w.f.Reload(next)
	told(moved, fakediscovery.Document(43, true, fakediscovery.Endpoint{ID: "s1", Addr: w.node.Addr(), State: "Ready", StartedMS: 1}))
	reaches(w.node)
	if calls := moved.Calls(); len(calls) != 1 || calls[0] != "42" {
		t.Errorf("asked from %q, want 42", calls)
	}
}

// A planned end answers what was taken, serves those who still come, and ends.
func TestPlannedEnd(t *testing.T) {
	w := start(t, 256)
	w.node.SetDefault(respnode.Behavior{Delay: 700 * time.Millisecond})
	c, idle := w.client(), w.client()
	idle.say(respnode.Command("PING"))
	idle.expect("+PONG")
	c.say(get("before"))
	if err := w.node.Await(1, patience); err != nil {
		t.Fatal(err)
	}
	w.f.Stop()
	late := w.client()
	late.say(get("after"))
	c.expect(answer("before"))
	late.expect(answer("after"))
	for _, x := range []*client{c, late, idle} {
		if _, err := x.in.ReadByte(); err == nil {
			t.Error("the connection goes on")
		}
	}
	w.ended()
}

// A wrong configuration is told by its field.
func TestBadConfigurations(t *testing.T) {
	good := configText("127.0.0.1:1", "127.0.0.1:2", "null", 256)
	if _, err := respserver.ParseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][3]string{
		{`"127.0.0.1:1"`, `"here"`, "listen"},
		{`"127.0.0.1:2"`, `""`, "discovery"},
		{`"8c1f30d27a5be964"`, `"x"`, "seed"},
		{`"sockets":256`, `"sockets":3`, "limits.sockets"},
		{`"memory_mb":64`, `"memory_mb":1`, "limits.memory_mb"},
		{`"known":null`, `"known":{}`, "known: discovery: version"},
		{`"slo_ms":1000.0`, `"slo_ms":"soon"`, "classes.0.slo_ms"},
		{`"policies":[`, `"none":[`, "Plans"},
		{`{"name"`, `["name"`, "JSON"},
	} {
		_, err := respserver.ParseConfig([]byte(strings.Replace(good, c[0], c[1], 1)))
		if err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s in the place of %s: %v", c[1], c[0], err)
		}
	}
	if _, err := respserver.LoadConfig(filepath.Join(t.TempDir(), "none.json")); err == nil {
		t.Error("a missing file is no error")
	}
}
