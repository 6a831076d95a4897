package respserver_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"chalkstand/fake/respnode"
)

// The tests advance the server's clock by these durations to reach the phases of a graceful shutdown.
const (
	pastGracePeriod = 600 * time.Millisecond // until after the server has closed the listener
	pastAcceptQueue = 100 * time.Millisecond // from then until the server has drained its connections
)

// passGracePeriod advances the clock until a graceful shutdown has half-closed idle connections.
func (f *fixture) passGracePeriod() {
	f.t.Helper()
	f.advance(pastGracePeriod)
	f.advance(pastAcceptQueue)
}

// During a graceful shutdown, the server replies to open requests and serves clients that connect
// within the grace period. Then it stops.
func TestShutdown(t *testing.T) {
	f := startFixture(t, 256)
	f.node.SetDefault(respnode.Behavior{Delay: 700 * time.Millisecond})
	c, idle := f.client(), f.client()
	idle.expectPong()
	c.send(getCommand("before"))
	f.waitForCommands(1)
	f.server.Shutdown()
	late := f.client()
	late.send(getCommand("after"))
	c.expectReply(replyTo("before"))
	late.expectReply(replyTo("after"))
	for _, cl := range []*client{c, late, idle} {
		cl.expectClosed()
	}
	f.waitForStop()
}

// A graceful shutdown also closes the connection of a client that always has an open request. The
// server replies to the commands that it has read and does not start later ones. The client reads an
// end of file.
func TestShutdownWithBusyClient(t *testing.T) {
	f := startFixture(t, 256)
	f.node.SetDefault(respnode.Behavior{Delay: 50 * time.Millisecond})
	c := f.client()
	c.send(getCommand("0"))
	f.waitForCommands(1)
	f.server.Shutdown()
	sent := 1
	for replies := 0; ; replies++ {
		_, _ = c.Write([]byte(getCommand(f.nextID()))) // the write fails after the server has closed the connection
		sent++
		got, err := respnode.ReadReply(c.in)
		if err != nil {
			break
		}
		if got[0] != '$' {
			t.Fatalf("reply %d: got %q, want a bulk string", replies, got)
		}
		if sent > 1000 {
			t.Fatal("the connection is still open after 1000 commands, want it closed by the shutdown")
		}
	}
	f.waitForStop()
	if commands := f.node.Commands(); len(commands) >= sent {
		t.Errorf("the node received %d commands of %d, want fewer: the server started a command after the close",
			len(commands), sent)
	}
}

// Requests that are still open shortly before the forced termination get a final reply. The server
// does not start a command that arrives after the grace period.
func TestShutdownWithHungNode(t *testing.T) {
	f := startFixture(t, 256)
	f.node.SetDefault(respnode.Behavior{Hang: true})
	c := f.client()
	c.send(respnode.Command("OBJ.PUT", pieceID, "1", fieldList("c", "c=write", "d", "d=60000"), "body"))
	f.waitForCommands(1)
	f.server.RunOnLoop(func() { c.send(respnode.Command("PING")) })
	f.waitOnLoop(func() bool { return f.server.PendingReplies() == 2 })
	f.server.Shutdown()
	f.advance(pastGracePeriod)
	f.advance(50 * time.Millisecond)
	c.send(getCommand("late"))
	f.advance(2900 * time.Millisecond) // the forced termination is 3.7 s after the start of the shutdown
	c.expectReply("-ERR failed")
	c.expectReply("+PONG")
	c.expectClosed()
	closeOrFail(t, c)
	f.waitForStop()
	f.expectCommands(1)
}

// The server pauses a connection whose client does not read its replies. A graceful shutdown must not
// half-close this connection before the commands that the server has read are started, because these
// commands would get no reply.
func TestShutdownWaitsForPausedClient(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.expectPong()
	f.server.PauseClients()
	c.send(getCommand("paused"))
	f.server.Shutdown()
	f.passGracePeriod()
	f.server.ResumeClients()
	c.expectReply(replyTo("paused"))
	f.advance(pastAcceptQueue)
	c.expectClosed()
	closeOrFail(t, c)
	f.waitForStop()
}

// The server accepts and serves the connections that are in the accept queue when it closes the
// listener.
func TestShutdownServesAcceptQueue(t *testing.T) {
	f := startFixture(t, 256)
	f.server.Shutdown()
	f.server.AdvanceClock(490 * time.Millisecond)
	var late *client
	f.server.RunOnLoop(func() { // the client connects while the event loop is blocked
		late = f.client()
		late.send(getCommand("late"))
		f.server.EndGracePeriod()
	})
	late.expectReply(replyTo("late"))
	f.server.AdvanceClock(100 * time.Millisecond)
	closeOrFail(t, late)
	f.waitForStop()
}

// During a graceful shutdown, a client that reads slowly still gets complete replies and an end of
// file.
func TestShutdownWithSlowReader(t *testing.T) {
	f := startFixture(t, 256)
	c := f.slowReader()
	f.server.Shutdown()
	f.passGracePeriod()
	f.advance(600 * time.Millisecond) // longer than the linger timeout
	n, err := io.Copy(io.Discard, c.in)
	if size := int64(len(largeValue)); n%size != 0 || n == 0 || err != nil {
		t.Errorf("got %d bytes, want a positive multiple of the reply size %d (error %v, want none)", n, size, err)
	}
}

// The server reads and discards input on a connection that it has half-closed.
func TestInputAfterHalfCloseDiscarded(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.expectPong()
	f.server.Shutdown()
	f.passGracePeriod()
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("read after the half-close: got %v, want EOF", err)
	}
	c.send(getCommand("late"))
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 || f.server.ClientInputRead() })
	f.server.RunOnLoop(func() {
		if n := f.server.ClientCount(); n != 1 {
			t.Errorf("got %d connections, want 1: the server left input unread, and the close reset the connection", n)
		}
		if f.server.StartedRequests() > 0 {
			t.Error("the server started a command that arrived after the half-close")
		}
	})
}

// The server opens no discovery watch during a graceful shutdown.
func TestNoWatchDuringShutdown(t *testing.T) {
	f := startFixture(t, 256)
	f.sendUpdate(f.discovery, "")
	f.server.Shutdown()
	f.discovery.CloseWatches()
	f.waitOnLoop(func() bool { return !f.server.WatchOpen() })
	f.server.AdvanceClock(time.Second) // the dispatcher asks for a new watch
	f.waitForStop()
	if calls := f.discovery.Calls(); len(calls) != 1 {
		t.Errorf("got %d calls to discovery, want 1", len(calls))
	}
}

// A second call of Shutdown, as after a second SIGTERM, does not restart the graceful shutdown. A call
// of Reload during the shutdown, as after a SIGHUP, opens no watch.
func TestSignalsDuringShutdown(t *testing.T) {
	f := startFixture(t, 256)
	f.sendUpdate(f.discovery, "")
	f.server.Shutdown()
	var first, second time.Duration
	f.server.RunOnLoop(func() { first = f.server.ShutdownStarted() })
	f.server.AdvanceClock(300 * time.Millisecond)
	f.server.Shutdown()
	moved := startDiscovery(t)
	f.server.Reload(f.withDiscovery(moved.Addr()))
	f.server.RunOnLoop(func() {
		second = f.server.ShutdownStarted()
		if !f.server.WatchOpen() {
			t.Error("Reload during the shutdown closed the open watch")
		}
	})
	if first == 0 || second != first {
		t.Errorf("start of the shutdown: got %v, then %v after the second call, want the same time, not 0", first, second)
	}
	f.server.AdvanceClock(500 * time.Millisecond)
	f.waitForStop()
	if calls := moved.Calls(); len(calls) > 0 {
		t.Errorf("got %d calls to discovery at the new address, want none", len(calls))
	}
}

// A client is in the middle of a command when a graceful shutdown begins, and it has an open request
// before that. The server reads the rest of the command and replies to both. Before the fix, it read the
// rest, discarded it and half-closed the connection without a reply.
func TestShutdownWaitsForPartialCommand(t *testing.T) {
	f := startFixture(t, 256)
	f.node.SetNext(respnode.Behavior{Hang: true})
	alone, behind := f.client(), f.client()
	text := putCommand("alone", "body")
	alone.send(text[:len(text)/2])
	next := getCommand("next")
	open := respnode.Command("OBJ.PUT", pieceID, "open", fieldList("c", "c=write", "d", "d=900"), "body")
	behind.send(open + next[:len(next)/2])
	f.waitOnLoop(func() bool { return f.server.PartialCommands() == 2 })
	f.server.Shutdown()
	f.passGracePeriod()
	f.advance(time.Second) // past the timeout of the open request
	behind.expectReply("-ERR failed")
	alone.send(text[len(text)/2:])
	behind.send(next[len(next)/2:])
	alone.expectReply("$")
	behind.expectReply(replyTo("next"))
	f.advance(pastAcceptQueue)
	for _, c := range []*client{alone, behind} {
		c.expectClosed()
		closeOrFail(t, c)
	}
	f.waitForStop()
	f.expectCommands(3)
}

// A command is still incomplete shortly before the forced termination. The server rejects it, so that
// its client gets a reply, and sends nothing to a node when the rest arrives.
func TestPartialCommandBeforeForcedTermination(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	text := getCommand("1")
	c.send(text[:len(text)-20])
	f.waitOnLoop(func() bool { return f.server.PartialCommands() == 1 })
	f.server.Shutdown()
	f.passGracePeriod()
	f.advance(1400 * time.Millisecond)
	c.send(text[len(text)-20 : len(text)-2]) // keeps the connection from its silence timeout
	f.waitOnLoop(func() bool { return f.server.BufferedInput() == len(text)-2 })
	f.advance(1450 * time.Millisecond) // the forced termination is 3.7 s after the start of the shutdown
	c.expectReply("-BUSY")
	c.send(text[len(text)-2:])
	c.expectClosed()
	closeOrFail(t, c)
	f.waitForStop()
	f.expectCommands(0)
}
