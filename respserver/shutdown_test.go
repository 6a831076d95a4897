package respserver_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"chalkstand/fake/respnode"
)

// Clock advances of a graceful shutdown.
const (
	pastGracePeriod = 600 * time.Millisecond // the listener is closed
	pastAcceptQueue = 100 * time.Millisecond // after that, connections are drained
)

// passGracePeriod advances a graceful shutdown until idle connections are half-closed.
func (f *fixture) passGracePeriod() {
	f.t.Helper()
	f.advance(pastGracePeriod)
	f.advance(pastAcceptQueue)
}

// A graceful shutdown replies to open requests, serves clients that still come, and stops.
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

// A client with a request open at all times is closed too: what was read is replied to, commands
// behind it are not started, and its connection ends in order.
func TestShutdownWithBusyClient(t *testing.T) {
	f := startFixture(t, 256)
	f.node.SetDefault(respnode.Behavior{Delay: 50 * time.Millisecond})
	c := f.client()
	c.send(getCommand("0"))
	f.waitForCommands(1)
	f.server.Shutdown()
	sent := 1
	for replies := 0; ; replies++ {
		_, _ = c.Write([]byte(getCommand(f.nextID()))) // behind an open request; it may cross the close
		sent++
		got, err := respnode.ReadReply(c.in)
		if err != nil {
			break
		}
		if got[0] != '$' {
			t.Fatalf("reply %d: %q", replies, got)
		}
		if sent > 1000 {
			t.Fatal("the connection stays open")
		}
	}
	f.waitForStop()
	if commands := f.node.Commands(); len(commands) >= sent {
		t.Errorf("%d commands at the node of %d that were sent: what crossed the close was started",
			len(commands), sent)
	}
}

// What is open shortly before the forced termination gets its final reply, and a command behind the
// grace period is not started.
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
	f.advance(2900 * time.Millisecond) // the forced termination is 3.7 s after the start
	c.expectReply("-ERR failed")
	c.expectReply("+PONG")
	c.expectClosed()
	closeOrFail(t, c)
	f.waitForStop()
	f.expectCommands(1)
}

// A connection that is paused, as its client does not read, is not half-closed before its commands that were read
// are started: they would be dropped without a reply.
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

// Connections in the accept queue when the listener closes are accepted and served.
func TestShutdownServesAcceptQueue(t *testing.T) {
	f := startFixture(t, 256)
	f.server.Shutdown()
	f.server.AdvanceClock(490 * time.Millisecond)
	var late *client
	f.server.RunOnLoop(func() { // it connects while the event loop stands still
		late = f.client()
		late.send(getCommand("late"))
		f.server.EndGracePeriod()
	})
	late.expectReply(replyTo("late"))
	f.server.AdvanceClock(100 * time.Millisecond)
	closeOrFail(t, late)
	f.waitForStop()
}

// A client that reads slowly gets whole replies and an orderly end.
func TestShutdownWithSlowReader(t *testing.T) {
	f := startFixture(t, 256)
	c := f.slowReader()
	f.server.Shutdown()
	f.passGracePeriod()
	f.advance(time.Second) // beyond the linger time-out
	n, err := io.Copy(io.Discard, c.in)
	if size := int64(len(largeValue)); n%size != 0 || n == 0 || err != nil {
		t.Errorf("%d bytes in replies of %d (%v)", n, size, err)
	}
}

// Input on a connection that was half-closed is read and discarded.
func TestInputAfterHalfCloseDiscarded(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.expectPong()
	f.server.Shutdown()
	f.passGracePeriod()
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection ends with %v, want EOF", err)
	}
	c.send(getCommand("late"))
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 || f.server.ClientInputRead() })
	f.server.RunOnLoop(func() {
		if n := f.server.ClientCount(); n != 1 {
			t.Errorf("%d connections, want 1: input was left unread, and the close reset the connection", n)
		}
		if f.server.StartedRequests() > 0 {
			t.Error("the command was started")
		}
	})
}

// No discovery watch is opened during a graceful shutdown.
func TestNoWatchDuringShutdown(t *testing.T) {
	f := startFixture(t, 256)
	f.sendUpdate(f.discovery, "")
	f.server.Shutdown()
	f.discovery.CloseWatches()
	f.waitOnLoop(func() bool { return !f.server.WatchOpen() })
	f.server.AdvanceClock(time.Second) // the dispatcher polls again
	f.waitForStop()
	if calls := f.discovery.Calls(); len(calls) != 1 {
		t.Errorf("%d calls to discovery, want 1", len(calls))
	}
}

// A second SIGTERM does not start the graceful shutdown anew, and SIGHUP during it opens no watch.
func TestSignalsDuringShutdown(t *testing.T) {
	f := startFixture(t, 256)
	f.sendUpdate(f.discovery, "")
	f.server.Shutdown()
	var first, second time.Duration
	f.server.RunOnLoop(func() { first = f.server.ShutdownStarted() })
	f.server.AdvanceClock(300 * time.Millisecond)
	f.server.Shutdown()
	moved := startDiscovery(t)
	f.server.Reload(f.movedTo(moved.Addr()))
	f.server.RunOnLoop(func() {
		second = f.server.ShutdownStarted()
		if !f.server.WatchOpen() {
			t.Error("the open watch was closed")
		}
	})
	if first == 0 || second != first {
		t.Errorf("the shutdown started at %v and then at %v", first, second)
	}
	f.server.AdvanceClock(500 * time.Millisecond)
	f.waitForStop()
	if calls := moved.Calls(); len(calls) > 0 {
		t.Errorf("%d calls at the new address, want none", len(calls))
	}
}
