package respserver_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"chalkstand/fake/respnode"
)

// secondReply is a complete reply that a node sends without a request.
const secondReply = "*3\r\n$3\r\nbad\r\n$-1\r\n$-1\r\n"

// The server never uses bytes that a node sends after its reply as the reply to another request.
func TestInputAfterNodeReply(t *testing.T) {
	for name, trailer := range map[string]string{
		"second reply":      secondReply,
		"noise":             "\x00\x13noise",
		"start of a second": "*3\r\n$3\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := startFixture(t, 256)
			c := f.client()
			for i := range 20 {
				f.node.SetNext(respnode.Behavior{Trailer: trailer})
				id := strconv.Itoa(i)
				c.send(getCommand(id))
				c.expectReply(replyTo(id))
			}
			if opened := f.node.ConnsOpened(); opened != 20 {
				t.Errorf("the server opened %d connections for 20 replies with a trailer, want 20", opened)
			}
		})
	}
}

// expectAmbiguousAttempt checks that the server treats an attempt with this outcome as one that the
// node may have executed. The server retries a read, and a request that is not idempotent fails. The
// client receives no part of the outcome.
func expectAmbiguousAttempt(t *testing.T, outcome respnode.Behavior) {
	t.Helper()
	f := startFixture(t, 256)
	c := f.client()
	f.node.SetNext(outcome)
	c.send(getCommand("1"))
	c.expectReply(replyTo("1"))
	f.node.SetNext(outcome)
	c.send(putCommand("2", "body"))
	c.expectReply("-ERR")
	f.expectCommands(3)
}

// The server treats a malformed reply as a failed attempt that the node may have executed.
func TestMalformedNodeReplies(t *testing.T) {
	for name, reply := range map[string]string{
		"noise":            "\x00\x01 noise\r\n",
		"wrong count":      "*2\r\n%v$-1\r\n",
		"huge length":      "*3\r\n$3000000000\r\nxxxx",
		"unterminated":     "+" + strings.Repeat("x", 4096),
		"null value":       "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
		"length too short": "*3\r\n$2\r\nvalue\r\n$-1\r\n$-1\r\n",
		"other kind":       "+OK\r\n",
	} {
		t.Run(name, func(t *testing.T) { expectAmbiguousAttempt(t, respnode.Behavior{Reply: reply}) })
	}
}

// The server treats a truncated or absent reply as a failed attempt that the node may have executed.
func TestTruncatedNodeReplies(t *testing.T) {
	for name, outcome := range map[string]respnode.Behavior{
		"within a line":      {Reply: "*3\r\n$5", Close: true},
		"within the value":   {Reply: "*3\r\n$5\r\nab", Close: true},
		"reset":              {Close: true, Reset: true},
		"reset within reply": {Reply: "*3\r\n%v", Close: true, Reset: true},
	} {
		t.Run(name, func(t *testing.T) { expectAmbiguousAttempt(t, outcome) })
	}
}

// The server forwards a complete reply even if the node closes the connection after it.
func TestCloseAfterNodeReply(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	f.node.SetNext(respnode.Behavior{Reply: "*3\r\n%v$-1\r\n$-1\r\n", Close: true})
	c.send(putCommand("1", "body"))
	c.expectReply(replyTo("1"))
}

// The server forwards the value of a reply even if the load report in the same reply is invalid.
func TestInvalidLoadReportIgnored(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	for i, reply := range []string{
		"*3\r\n%v$-1\r\n$-1\r\n",
		"*3\r\n%v$9\r\nused=many\r\n$2\r\n==\r\n",
		"*3\r\n%v$20\r\nused=NaN,cost=-1e99,\r\n$14\r\ninflight=seven\r\n",
	} {
		f.node.SetNext(respnode.Behavior{Reply: reply})
		id := strconv.Itoa(i)
		c.send(getCommand(id))
		c.expectReply(replyTo(id))
	}
}

// The server retries a request that a node has rejected. If a node closes the connection instead, the
// server retries the request only if it is idempotent.
func TestRetries(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	f.node.SetNext(respnode.Behavior{Reply: "-BUSY\r\n"})
	c.send(putCommand("1", "x"))
	c.expectReply("$")
	f.node.SetNext(respnode.Behavior{Close: true})
	c.send(getCommand("2"))
	c.expectReply("$")
	f.node.SetNext(respnode.Behavior{Reply: "-ERR failed used=3 inflight=1,queue=0\r\n"})
	c.send(putCommand("3", "x"))
	c.expectReply("-ERR failed")
	f.node.SetNext(respnode.Behavior{Close: true})
	c.send(putCommand("4", "x"))
	c.expectReply("-ERR failed")
	f.expectCommands(6)
}

// expectConnClosedAfter passes a node's reply to the server in one read while a request is in flight.
// It checks that the server closes the node's connection before it handles any other event.
func expectConnClosedAfter(t *testing.T, reply, want string) {
	t.Helper()
	f := startFixture(t, 256)
	f.node.SetDefault(respnode.Behavior{Hang: true})
	c := f.client()
	c.send(putCommand("1", "body"))
	f.waitForCommands(1)
	f.server.RunOnLoop(func() {
		f.server.ReceiveNodeReply(reply)
		f.expectNoNodeConns()
	})
	c.expectReply(want)
}

// expectNoNodeConns checks that no node connection is open. It must be called on the event loop.
func (f *fixture) expectNoNodeConns() {
	f.t.Helper()
	if n := f.server.NodeConnCount(); n != 0 {
		f.t.Errorf("got %d open connections to nodes, want none", n)
	}
}

// The server closes a connection if a read contains bytes after a reply. This is the first of its
// three checks for input that does not belong to a reply. Each check has its own test.
func TestInputAfterReplyInSameRead(t *testing.T) {
	expectConnClosedAfter(t, "*3\r\n$4\r\ngood\r\n$-1\r\n$-1\r\n"+secondReply, "$good")
}

// The server closes the connection after an error reply, which may be noise that looks like an error.
func TestErrorReplyClosesConnection(t *testing.T) {
	expectConnClosedAfter(t, "-ERR failed\r\n", "-ERR failed")
}

// The server closes a connection that receives input without a request in flight. This is the second
// of its three checks for input that does not belong to a reply.
func TestInputOnIdleConnection(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.send(getCommand("1"))
	c.expectReply(replyTo("1"))
	f.waitOnLoop(func() bool { return f.server.NodeConnCount() == 1 })
	f.node.WriteAll(secondReply)
	f.waitOnLoop(func() bool { return !f.server.UnreadNodeInput() })
	f.server.RunOnLoop(f.expectNoNodeConns)
}

// The server asks the kernel for unread input before it writes a request, because it would mistake
// such input for the reply to the request. This is the third of its three checks for input that does
// not belong to a reply.
func TestUnreadInputBeforeSend(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.send(getCommand("1"))
	c.expectReply(replyTo("1"))
	f.waitOnLoop(func() bool { return f.server.NodeConnCount() == 1 })
	f.server.AdvanceClock(100 * time.Millisecond) // longer than the reuse delay of the connection
	f.server.RunOnLoop(func() {
		f.node.WriteAll(secondReply)
		f.waitFor(f.server.UnreadNodeInput)
		f.server.ReceiveCommand(getCommand("2"))
	})
	c.expectReply(replyTo("2"))
}
