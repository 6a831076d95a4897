package respserver_test

import (
	"strings"
	"testing"
	"time"

	"chalkstand/fake/respnode"
)

// partialPut returns most of a command that writes 64 KiB.
func partialPut(id string) string {
	put := putCommand(id, strings.Repeat("x", 64<<10))
	return put[:len(put)-1<<10]
}

// Incomplete commands of all clients together stay within their limit. The client that has waited the
// longest is rejected first, and a client that completes its command is served.
func TestPartialCommandsAreBounded(t *testing.T) {
	const stopped, limit = 20, 512 << 10
	f := startFixture(t, 256)
	f.server.RunOnLoop(func() { f.server.SetMaxPartialBytes(limit) })
	var clients []*client
	for range stopped {
		c := f.client()
		c.send(partialPut(f.nextID()))
		clients = append(clients, c)
		f.waitOnLoop(func() bool { return f.server.ClientInputRead() || f.server.BufferedInput() > 0 })
	}
	f.waitOnLoop(func() bool {
		if held := f.server.BufferedInput(); held > limit {
			t.Errorf("the server holds %d bytes of incomplete commands, want at most %d", held, limit)
		}
		return f.server.PartialCommands() < stopped
	})
	clients[0].expectReply("-BUSY")
	clients[0].expectClosed()
	sound := f.client()
	sound.send(putCommand("sound", strings.Repeat("x", 64<<10)))
	sound.expectReply("$")
	for _, c := range append(clients, sound) {
		_ = c.Close() // the server may have closed the connection
	}
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
	f.expectNothingRetained()
	f.server.RunOnLoop(func() {
		if n := f.server.CountedPartialBytes(); n != 0 {
			t.Errorf("the server counts %d bytes of incomplete commands without a client, want 0", n)
		}
	})
}

// Incomplete replies of all nodes together stay within their limit. The connection that has waited the
// longest is closed first.
func TestPartialNodeRepliesAreBounded(t *testing.T) {
	const reads, limit = 20, 128 << 10
	f := startFixture(t, 256)
	f.server.RunOnLoop(func() { f.server.SetMaxNodeBytes(limit) })
	f.node.SetDefault(respnode.Behavior{Reply: largeValueReply[:60<<10]})
	for range reads {
		f.client().send(getCommand(f.nextID()))
	}
	f.waitOnLoop(func() bool {
		if held := f.server.NodeBytes(); held > limit {
			t.Errorf("the server holds %d bytes of incomplete replies, want at most %d", held, limit)
		}
		return f.server.EvictedNodeConns() > 0
	})
}

// A request is not sent again under the id of an earlier one whose client has left.
func TestRepeatedIDAfterClientLeft(t *testing.T) {
	f := startFixture(t, 256)
	f.node.SetDefault(respnode.Behavior{Hang: true})
	first := f.client()
	first.send(getCommand("same"))
	f.waitForCommands(1)
	closeOrFail(t, first)
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
	second := f.client()
	second.send(getCommand("same"))
	second.expectReply("-ERR id")
	f.expectCommands(1)
}

// At the connection limit, a new client takes the place of one that has stopped within its command, and that
// client gets a reply.
func TestStalledCommandMakesRoom(t *testing.T) {
	f := startFixture(t, 64)
	var stalled []*client
	f.server.RunOnLoop(func() { f.server.SetMaxPartialBytes(1 << 20) })
	for range f.server.MaxClientConns() {
		c := f.client()
		c.send(getCommand(f.nextID())[:50])
		stalled = append(stalled, c)
	}
	f.waitOnLoop(func() bool { return f.server.PartialCommands() == f.server.MaxClientConns() })
	f.server.AdvanceClock(600 * time.Millisecond)
	f.client().expectPong()
	rejected := 0
	for _, c := range stalled {
		if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if reply, err := respnode.ReadReply(c.in); err == nil && strings.HasPrefix(reply, "-BUSY") {
			rejected++
		}
	}
	if rejected != 1 {
		t.Errorf("stalled clients with a BUSY reply: got %d, want 1", rejected)
	}
}
