package respserver_test

import (
	"strings"
	"testing"

	"chalkstand/fake/respnode"
)

// hangingWrite is a write without a reply from the node. The server gives it a failure after its
// timeout of 2.5 s. The write is not idempotent, so the server does not retry it.
func hangingWrite(id string) string {
	return respnode.Command("OBJ.PUT", pieceID, id, fieldList("c", "c=write"), "body")
}

// A client that sends commands at full speed behind an open request makes the server keep only a
// bounded number of replies. Without the bound, the server exceeds its memory limit within a second.
// The client still gets a reply to each command.
func TestRepliesBehindOpenRequestAreBounded(t *testing.T) {
	const pings = 100_000
	f := startFixture(t, 256)
	f.node.SetNext(respnode.Behavior{Hang: true})
	c := f.client()
	c.send(hangingWrite("1"))
	f.waitForCommands(1)
	go c.send(strings.Repeat(respnode.Command("PING"), pings)) // the write blocks while the server does not read
	f.waitOnLoop(func() bool { return f.server.ClientsPaused() || f.server.PendingReplies() > 64 })
	f.server.RunOnLoop(func() {
		bytes, _, _ := f.server.Retained()
		if entries := f.server.PendingReplies(); bytes > 32<<10 || entries > 64 {
			t.Errorf("the server keeps %d bytes in %d entries for one client, want at most 32 KiB in 64", bytes, entries)
		}
	})
	c.expectReply("-ERR failed")
	for range pings {
		got, err := respnode.ReadReply(c.in)
		if err != nil || !strings.HasPrefix(got, "+PONG") {
			t.Fatalf("got reply %q (error %v), want +PONG", got, err)
		}
	}
	f.expectNothingRetained()
}

// Large replies that wait for an earlier one stay within the memory for retained bytes, however many
// requests are open. An error takes the place of a reply that does not fit.
func TestLargeRepliesBehindOpenRequestAreBounded(t *testing.T) {
	const reads, maxRetained = 60, 1 << 20
	f := startFixture(t, 256)
	f.server.RunOnLoop(func() { f.server.SetMaxRetainedBytes(maxRetained) })
	f.node.SetDefault(respnode.Behavior{Reply: largeValueReply})
	f.node.SetNext(respnode.Behavior{Hang: true})
	c := f.client()
	c.send(hangingWrite("write"))
	f.waitForCommands(1)
	for range reads {
		c.send(getCommand(f.nextID()))
	}
	f.waitOnLoop(func() bool {
		bytes, requests, _ := f.server.Retained()
		if bytes > maxRetained+reads<<10 {
			t.Errorf("the server retains %d bytes, want at most %d and the arguments of the requests", bytes, maxRetained)
			return true
		}
		return f.server.StartedRequests() == reads+1 && requests == 1
	})
	c.expectReply("-ERR failed")
	values := 0
	for range reads {
		got, err := respnode.ReadReply(c.in)
		switch {
		case err == nil && got[0] == '$':
			values++
		case err != nil || !strings.HasPrefix(got, "-ERR failed"):
			t.Fatalf("got reply %.40q (error %v), want a value or an error", got, err)
		}
	}
	if values < 10 {
		t.Errorf("got %d values of 64 KiB, want at least 10 within 1 MiB", values)
	}
	f.expectNothingRetained()
}

// Replies that clients do not read stay within their memory, however many requests of one connection are
// open. Other clients are still served.
func TestUnreadRepliesAreBounded(t *testing.T) {
	const reads, maxRetained = 60, 1 << 20
	f := startFixture(t, 256)
	f.server.RunOnLoop(func() { f.server.SetMaxRetainedBytes(maxRetained) })
	f.node.SetDefault(respnode.Behavior{Reply: largeValueReply})
	clients := []*client{f.client(), f.client()}
	for _, c := range clients {
		c.expectPong()
	}
	if err := f.server.ShrinkSendBuffers(); err != nil {
		t.Fatal(err)
	}
	for range reads {
		for _, c := range clients {
			c.send(getCommand(f.nextID()))
		}
	}
	largest := 0
	f.waitOnLoop(func() bool {
		largest = max(largest, f.server.UnsentBytes())
		return f.server.PendingReplies() == 0 && f.server.UnsentBytes() > 0
	})
	if largest > maxRetained+len(clients)*len(largeValue) {
		t.Errorf("the server keeps %d unsent bytes, want at most %d and a reply per client", largest, maxRetained)
	}
	other := f.client()
	other.send(getCommand("other"))
	other.expectReply("$v")
	for _, c := range append(clients, other) {
		closeOrFail(t, c)
	}
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
	f.expectNothingRetained()
	f.server.RunOnLoop(func() {
		if n := f.server.CountedUnsentBytes(); n != 0 {
			t.Errorf("the server counts %d unsent bytes without a client, want 0", n)
		}
	})
}
