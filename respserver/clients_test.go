package respserver_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"chalkstand/fake/respnode"
)

// What is no RESP command gets an error at once, before the announced bytes have come. The connection
// ends after it, and further input is discarded.
func TestProtocolErrors(t *testing.T) {
	f := startFixture(t, 256)
	for _, malformed := range []string{
		"GET / HTTP/1.1\r\n\r\n",
		"*1\r\n$70000\r\n",
		"*-1\r\n",
		"*999999\r\n",
		"*1\r\n$-7\r\n",
		"*1\r\n$3\r\nabcd\r\n",
		"*99999999999999999999999999999999",
		"\x00\x01\x02",
		"*5\r\n$7\r\nOBJ.PUT\r\n:1\r\n",
	} {
		c := f.client()
		c.send(malformed)
		c.expectReply("-ERR Protocol error")
		go func() { _, _ = c.Write(make([]byte, 1<<20)) }() // any amount; the server may close meanwhile
		if _, err := c.in.ReadByte(); err == nil {
			t.Errorf("%q: the connection stays open", malformed)
		}
	}
	f.expectCommands(0)
}

// A client that sends on behind a protocol error reads the whole error and an orderly end: no input
// is left unread, which would reset the connection.
func TestProtocolErrorReplyIsNotReset(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.send("nonsense\r\n" + string(make([]byte, 256<<10)))
	c.expectReply("-ERR Protocol error")
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ends with %v, want EOF", err)
	}
	f.server.RunOnLoop(func() {})
	if _, err := c.Write([]byte("more")); err != nil {
		t.Errorf("the connection is reset at once: %v", err)
	}
}

// A client resets its connection with commands unread: the write of the first reply fails, and the
// commands behind it are not started.
func TestResetDuringFirstReply(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.expectPong()
	f.server.RunOnLoop(func() {
		c.send(respnode.Command("PING") + getCommand("1") + respnode.Command("PING"))
		f.resetClient(c)
	})
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
	f.expectNothingRetained()
	f.server.RunOnLoop(func() {
		if n := f.server.StartedRequests(); n > 0 {
			t.Errorf("%d requests were started", n)
		}
	})
}

// Replies between a failed write and the close of its connection remove their requests once, not a
// second time with the connection.
func TestRepliesAfterFailedWrite(t *testing.T) {
	f := startFixture(t, 256)
	f.node.SetDefault(respnode.Behavior{Hang: true})
	c := f.client()
	c.send(getCommand("1") + getCommand("2") + getCommand("3"))
	f.waitOnLoop(func() bool { return f.server.PendingReplies() == 3 })
	f.server.RunOnLoop(func() {
		f.resetClient(c)
		f.server.FinishAll("-BUSY 1\r\n")
	})
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
	f.expectNothingRetained()
}

// The close of a client whose connection is not read is noticed, and its requests end.
func TestClientCloseWhilePaused(t *testing.T) {
	f := startFixture(t, 256)
	f.node.SetDefault(respnode.Behavior{Hang: true})
	c := f.client()
	c.send(getCommand("1"))
	f.waitOnLoop(func() bool { return f.server.PendingReplies() == 1 })
	f.server.PauseClients()
	c.send(getCommand("2"))
	closeOrFail(t, c)
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
	f.expectNothingRetained()
	if commands := f.node.Commands(); len(commands) > 1 {
		t.Errorf("commands at the node: %v, want the first at most", commands)
	}
}

// A command is not started if it is read after its client is known to have closed the connection.
func TestNoRequestAfterClientClose(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.expectPong()
	f.server.RunOnLoop(func() {
		c.send(getCommand("1"))
		closeOrFail(t, c)
		f.waitFor(f.server.ClientHangup)
	})
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
	f.expectCommands(0)
}

// The parts of a command may come over seconds; after silence within one the connection is closed.
func TestSilenceWithinCommand(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	text := getCommand("1")
	for i := 0; i < len(text); i += 40 {
		if i > 0 {
			f.waitOnLoop(func() bool { return f.server.PartialCommands() == 1 })
			f.advance(2 * time.Second)
		}
		c.send(text[i:min(i+40, len(text))])
	}
	c.expectReply(replyTo("1"))
	c.send(text[:40])
	f.waitOnLoop(func() bool { return f.server.PartialCommands() == 1 })
	f.advance(2600 * time.Millisecond)
	c.expectClosed()
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
}

// A command whose parts come in time and without end has its connection closed.
func TestPartialCommandTimeout(t *testing.T) {
	f := startFixture(t, 256)
	text := getCommand("1")
	c := f.client()
	connected := func() (yes bool) {
		f.server.RunOnLoop(func() { yes = f.server.ClientCount() > 0 })
		return yes
	}
	sent := 0
	for ; sent < len(text) && (sent == 0 || connected()); sent += 10 {
		_, _ = c.Write([]byte(text[sent : sent+10])) // fails once the server has closed the connection
		f.waitOnLoop(func() bool {
			return f.server.PartialCommands() == 1 || f.server.ClientCount() == 0 && sent > 0
		})
		f.advance(2 * time.Second)
	}
	if sent >= 100 {
		t.Errorf("%d bytes of a command came over %d s", sent, sent/5)
	}
}

// A client that does not read its replies is closed after a while.
func TestUnreadReplyTimeout(t *testing.T) {
	f := startFixture(t, 256)
	f.slowReader()
	f.advance(9 * time.Second)
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 1 })
	f.advance(2 * time.Second)
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
}

// Connections that stay open after one request, or without any, are evicted for others.
func TestIdleClientsEvicted(t *testing.T) {
	f := startFixture(t, 64)
	for i := range 200 {
		c := f.client()
		if i%2 == 0 {
			id := f.nextID()
			c.send(getCommand(id))
			c.expectReply(replyTo(id))
		}
	}
	c := f.client()
	c.send(getCommand("last"))
	c.expectReply(replyTo("last"))
}

// A client that sends no whole command is closed before 3 s have passed.
func TestSilentClientsClosed(t *testing.T) {
	f := startFixture(t, 256)
	start := time.Now()
	for _, part := range []string{"", "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n"} {
		c := f.client()
		c.send(part)
		if _, err := c.in.ReadByte(); err == nil {
			t.Errorf("%q: there is a reply", part)
		}
	}
	if elapsed := time.Since(start); elapsed > 2*3*time.Second {
		t.Errorf("closed after %v", elapsed)
	}
}

// At the connection limit, where all connections are in use, if only by a part of a command, a new
// one is closed and the others stay; once one is idle, it is evicted for a new one.
func TestAcceptAtConnectionLimit(t *testing.T) {
	f := startFixture(t, 64)
	ping := respnode.Command("PING")
	var clients []*client
	for range f.server.MaxClientConns() {
		c := f.client()
		c.send(ping[:5])
		clients = append(clients, c)
		f.waitOnLoop(func() bool { return f.server.PartialCommands() == len(clients) })
	}
	beyond := f.client()
	beyond.expectClosed()
	for _, c := range clients {
		c.send(ping[5:])
		c.expectReply("+PONG")
	}
	f.client().expectPong()
}
