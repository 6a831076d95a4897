package respserver_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
)

// The server replies to each command, and it sends object commands to the node with their arguments.
func TestCommands(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.send(respnode.Command("PING"))
	c.send(respnode.Command("CLIENT", "SETNAME", "x"))
	c.send(respnode.Command("SELECT", "0"))
	c.send(respnode.Command("HELLO", "3"))
	for _, want := range []string{"+PONG", "+OK", "+OK", "-ERR"} {
		c.expectReply(want)
	}
	c.send(getCommand("1"))
	c.expectReply(replyTo("1"))
	c.send(putCommand("2", strings.Repeat("b", 64<<10)))
	c.expectReply(replyTo("2"))
	commands := f.node.Commands()
	if len(commands) != 2 {
		t.Fatalf("the node received %d commands, want 2", len(commands))
	}
	get, put := commands[0], commands[1]
	if put[0] != "OBJ.PUT" || len(put[4]) != 64<<10 {
		t.Errorf("the node received %q with %d bytes, want OBJ.PUT with 64 KiB", put[0], len(put[4]))
	}
	if get[1] != pieceID || get[2] != "1" {
		t.Errorf("the node received %q, want the piece and id of the request", get[:3])
	}
	timeoutMS := 0
	format := "c=read,t=gold,d=%d,volume=00000003b4d60021,units=2,shard=0,hosts=1"
	if _, err := fmt.Sscanf(get[3], format, &timeoutMS); err != nil || timeoutMS < 1 || timeoutMS > 2500 {
		t.Errorf("the node received the fields %q, want those of the request with d from 1 to 2500", get[3])
	}
}

// The server runs the commands of a connection concurrently and sends the replies in the order of the
// commands.
func TestPipelinedRepliesInOrder(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	f.node.SetNext(respnode.Behavior{Hang: true}, respnode.Behavior{})
	// The first request is a write, which is not idempotent. The server would retry a read that a later
	// request has overtaken.
	c.send(respnode.Command("OBJ.PUT", pieceID, "slow", fieldList("c", "c=write", "d", "d=400"), "body"))
	f.waitForCommands(1)
	c.send(getCommand("quick") + respnode.Command("PING"))
	f.waitForCommands(2)
	c.expectReply("-")
	c.expectReply(replyTo("quick"))
	c.expectReply("+PONG")
}

// The server replies with an error to an invalid command and does not send it to a node.
func TestInvalidCommands(t *testing.T) {
	f := startFixture(t, 256)
	getWith := func(fields ...string) string {
		return respnode.Command(append([]string{"OBJ.GET", pieceID, f.nextID()}, fields...)...)
	}
	for name, invalid := range map[string]string{
		"empty id":           respnode.Command("OBJ.GET", pieceID, "", fieldList()),
		"short piece":        respnode.Command("OBJ.GET", "short", f.nextID(), fieldList()),
		"unknown class":      getWith(fieldList("c", "c=none")),
		"class of writes":    getWith(fieldList("c", "c=write")),
		"unknown plan":       getWith(fieldList("t", "t=none")),
		"deadline is a word": getWith(fieldList("d", "d=soon")),
		"negative deadline":  getWith(fieldList("d", "d=-5")),
		"deadline is NaN":    getWith(fieldList("d", "d=NaN")),
		"short volume":       getWith(fieldList("volume", "volume=1")),
		"too many units":     getWith(fieldList("units", "units=9")),
		"no units":           getWith(fieldList("units", "units=0")),
		"unknown shard":      getWith(fieldList("shard", "shard=2")),
		"no hosts":           getWith(fieldList("hosts", "hosts=0")),
		"field given twice":  getWith(fieldList() + ",c=read"),
		"fields missing":     getWith("c=read,t=gold"),
		"no fields":          getWith(),
		"unknown command":    respnode.Command("OBJ.DEL", pieceID),
	} {
		t.Run(name, func(t *testing.T) {
			c := f.client()
			c.t = t
			c.send(invalid)
			c.expectReply("-ERR ")
			c.expectPong()
		})
	}
	f.expectCommands(0)
}

// The server rejects a request with the id of an open request, which is not affected, and of an earlier request
// that was sent to a node.
func TestDuplicateRequestID(t *testing.T) {
	f := startFixture(t, 256)
	f.node.SetDefault(respnode.Behavior{Delay: 100 * time.Millisecond})
	a, b := f.client(), f.client()
	a.send(getCommand("same"))
	f.waitForCommands(1)
	b.send(getCommand("same"))
	b.expectReply("-ERR id")
	a.expectReply(replyTo("same"))
	b.send(getCommand("same"))
	b.expectReply("-ERR id")
	f.expectCommands(1)
}

// The server releases the memory of replaced nodes, old volumes, closed connections and finished
// requests. The heap must not grow by more than 256 KiB between 100 and 700 rounds of changes.
func TestChurn(t *testing.T) {
	f := startFixture(t, 256)
	f.waitFor(func() bool { return f.discovery.Send("") > 0 })
	version := 41
	churn := func(rounds int) {
		for range rounds {
			version++
			f.churnRound(version)
		}
		f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
	}
	churn(100)
	before := f.heapBytes()
	churn(600)
	after := f.heapBytes()
	t.Logf("heap: %.0f KiB after 100 rounds, %.0f KiB after 700", before/1024, after/1024)
	if after > before+256<<10 {
		t.Error("the heap grew by more than 256 KiB between 100 and 700 rounds")
	}
	f.expectNothingRetained()
	f.server.RunOnLoop(func() {
		if n := f.server.NodeConnCount(); n > 8 {
			t.Errorf("got %d open connections to nodes, want at most 8", n)
		}
	})
}

// churnRound replaces the node of the previous version with a new node. It then sends requests for new
// volumes on a new client connection.
func (f *fixture) churnRound(version int) {
	f.t.Helper()
	added := readyEndpoint(fmt.Sprintf("s%d", version), f.node)
	added.StartedMS = int64(version)
	removed := fakediscovery.Endpoint{ID: fmt.Sprintf("s%d", version-1), Addr: f.node.Addr(), State: "Gone"}
	f.discovery.Send(fakediscovery.Document(version, false, added, removed))
	f.waitOnLoop(func() bool { return f.server.EndpointVersion() == int64(version) })
	c := f.dial() // f.client would register a cleanup function each time, which grows the heap
	for range 3 {
		id := f.nextID()
		volume := fmt.Sprintf("volume=%016x", f.lastID)
		c.send(respnode.Command("OBJ.GET", pieceID, id, fieldList("volume", volume)))
		got, err := respnode.ReadReply(c.in)
		if err != nil || !strings.HasPrefix(got, "$") && !strings.HasPrefix(got, "-BUSY") {
			f.t.Fatalf("got reply %q (error %v), want a value or BUSY", got, err)
		}
	}
	closeOrFail(f.t, c)
	f.server.AdvanceClock(time.Second) // the dispatcher forgets a volume after half a minute without requests
}

// heapBytes returns the size of the live heap in bytes. It first clears the commands that the node has
// recorded, so that they do not count.
func (f *fixture) heapBytes() float64 {
	var stats runtime.MemStats
	f.node.ClearCommands()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
