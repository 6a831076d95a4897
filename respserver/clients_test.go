package respserver_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"chalkstand/fake/respnode"
)

// The server replies with an error to input that is not a RESP command, even before the announced
// bytes have arrived. It then closes the connection and discards further input.
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
		go func() { _, _ = c.Write(make([]byte, 1<<20)) }() // the write may fail when the server closes the connection
		if _, err := c.in.ReadByte(); err == nil {
			t.Errorf("%q: got another byte after the error reply, want the end of the connection", malformed)
		}
	}
	f.expectCommands(0)
}

// A client continues to send after a protocol error. It reads the whole error reply and an end of
// file. The server must read all input, because closing a socket with unread input resets the
// connection.
func TestProtocolErrorReplyIsNotReset(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.send("nonsense\r\n" + string(make([]byte, 256<<10)))
	c.expectReply("-ERR Protocol error")
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the error reply: got %v, want EOF", err)
	}
	f.server.RunOnLoop(func() {})
	if _, err := c.Write([]byte("more")); err != nil {
		t.Errorf("write after the half-close: got %v, want no error", err)
	}
}

// A client resets its connection before the server has read its commands. The write of the first
// reply fails, and the server does not start the commands after it.
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
			t.Errorf("the server started %d requests, want none", n)
		}
	})
}

// After a failed write, further requests of the client finish before its connection is closed. Each
// of these requests is removed only once, and not again when the connection closes.
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

// The server notices that a client closes its connection while the connection is paused. It ends the
// client's requests.
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
		t.Errorf("the node received the commands %v, want at most the first", commands)
	}
}

// The server does not start a command that it reads after the kernel has reported that the client
// closed its connection.
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

// The parts of a command may arrive over several seconds. The server closes a connection that stays
// silent for too long within a command.
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

// The server closes the connection of a client that sends parts of a command regularly but does not
// complete the command in time.
func TestPartialCommandTimeout(t *testing.T) {
	f := startFixture(t, 256)
	text := getCommand("1")
	c := f.client()
	connected := func() (found bool) {
		f.server.RunOnLoop(func() { found = f.server.ClientCount() > 0 })
		return found
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
		t.Errorf("the server accepted %d bytes of a command over %d s, want fewer than 100", sent, sent/5)
	}
}

// The server closes the connection of a client that does not read its replies for unreadReplyTimeout.
func TestUnreadReplyTimeout(t *testing.T) {
	f := startFixture(t, 256)
	f.slowReader()
	f.advance(9 * time.Second)
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 1 })
	f.advance(2 * time.Second)
	f.waitOnLoop(func() bool { return f.server.ClientCount() == 0 })
}

// The server evicts idle connections in favor of new ones. Half of the idle connections have sent one
// request, and the other half none.
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

// The server closes a connection within 3 s if its client sends no whole command.
func TestSilentClientsClosed(t *testing.T) {
	f := startFixture(t, 256)
	start := time.Now()
	for _, part := range []string{"", "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n"} {
		c := f.client()
		c.send(part)
		if _, err := c.in.ReadByte(); err == nil {
			t.Errorf("%q: got a reply, want a closed connection", part)
		}
	}
	if elapsed := time.Since(start); elapsed > 2*3*time.Second {
		t.Errorf("the server closed two silent connections after %v, want at most 6 s", elapsed)
	}
}

// All connections up to the limit are in use, each by a partial command. The server closes a new
// connection and keeps the others. After the connections become idle, the server evicts one of them
// for a new connection.
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
	excess := f.client()
	excess.expectClosed()
	for _, c := range clients {
		c.send(ping[5:])
		c.expectReply("+PONG")
	}
	f.client().expectPong()
}
