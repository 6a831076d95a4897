package respserver_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"chalkstand/fake/respnode"
)

// secondReply is a whole reply that no request asked for.
const secondReply = "*3\r\n$3\r\nbad\r\n$-1\r\n$-1\r\n"

// What a node sends beside its reply is never taken for the reply to another request.
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
				t.Errorf("%d connections for 20 replies with a trailer", opened)
			}
		})
	}
}

// expectAmbiguousAttempt checks that an attempt with that outcome may have been executed: a read is
// retried, a request that is not idempotent fails, and the client sees nothing of the outcome.
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

// A malformed reply is a failed attempt that may have been executed.
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

// A reply that ends within a line or within its value, or does not start, is a failed attempt that
// may have been executed.
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

// A whole reply counts, whatever follows on its connection.
func TestCloseAfterNodeReply(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	f.node.SetNext(respnode.Behavior{Reply: "*3\r\n%v$-1\r\n$-1\r\n", Close: true})
	c.send(putCommand("1", "body"))
	c.expectReply(replyTo("1"))
}

// The value of a reply is forwarded, even where the load report beside it is invalid.
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

// A request that a node rejected is retried, and an idempotent one also if its connection was closed.
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

// expectConnClosedAfter makes the server read a node's reply in one read while a request is in flight
// and checks that the node's connection is closed before anything else is handled.
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

// expectNoNodeConns is called on the event loop.
func (f *fixture) expectNoNodeConns() {
	f.t.Helper()
	if n := f.server.NodeConnCount(); n != 0 {
		f.t.Errorf("%d connections to nodes are open, want none", n)
	}
}

// There are three guards against input beside a reply, each tested alone. The first: input behind a
// reply in the same read ends the connection.
func TestInputBehindReplyInSameRead(t *testing.T) {
	expectConnClosedAfter(t, "*3\r\n$4\r\ngood\r\n$-1\r\n$-1\r\n"+secondReply, "$good")
}

// An error ends its connection: it may be noise in the form of one.
func TestErrorReplyClosesConnection(t *testing.T) {
	expectConnClosedAfter(t, "-ERR failed\r\n", "-ERR failed")
}

// The second guard: input on a connection without a request in flight ends it.
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

// The third guard: before a request is written the kernel is asked for input that the event loop has
// not read. It would be taken for the reply to the request.
func TestUnreadInputBeforeSend(t *testing.T) {
	f := startFixture(t, 256)
	c := f.client()
	c.send(getCommand("1"))
	c.expectReply(replyTo("1"))
	f.waitOnLoop(func() bool { return f.server.NodeConnCount() == 1 })
	f.server.AdvanceClock(100 * time.Millisecond) // beyond the connection's reuse delay
	f.server.RunOnLoop(func() {
		f.node.WriteAll(secondReply)
		f.waitFor(f.server.UnreadNodeInput)
		f.server.ReceiveCommand(getCommand("2"))
	})
	c.expectReply(replyTo("2"))
}
