package respserver_test

import (
	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// reset ends a client's connection while the loop stands still, and waits until the kernel knows.
func (w *world) reset(c *client) {
	w.t.Helper()
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	w.until(w.f.Hung)
}

// until waits for what comes soon unless something is broken.
func (w *world) until(ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatal("it does not come")
		}
	}
}

// onLoop waits for something that the loop knows.
func (w *world) onLoop(ok func() bool) {
	w.t.Helper()
	w.until(func() (yes bool) { w.f.OnLoop(func() { yes = ok() }); return yes })
}

func (w *world) nothingKept() {
	w.t.Helper()
	w.f.OnLoop(func() {
		if b, r, i := w.f.Kept(); b != 0 || r != 0 || i != 0 {
			w.t.Errorf("%d bytes, %d requests and %d ids are kept", b, r, i)
		}
	})
}

// A client resets its connection under its own commands: the write of the first answer fails, and
// what is behind it is neither begun nor trips the front.
func TestResetUnderTheFirstAnswer(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	c.say(respnode.Command("PING"))
	c.expect("+PONG")
	w.f.OnLoop(func() {
		c.say(respnode.Command("PING") + get("1") + respnode.Command("PING"))
		w.reset(c)
	})
	w.onLoop(func() bool { return w.f.Clients() == 0 })
	w.nothingKept()
	w.f.OnLoop(func() {
		if n := w.f.Begun(); n > 0 {
			t.Errorf("%d requests were begun", n)
		}
	})
}

// Answers that come between a write that failed and the end of its connection take their requests
// out once, not a second time with the connection.
func TestAnswersAfterAFailedWrite(t *testing.T) {
	w := start(t, 256)
	w.node.SetDefault(respnode.Behavior{Hang: true})
	c := w.client()
	c.say(get("1") + get("2") + get("3"))
	w.onLoop(func() bool { return w.f.Queued() == 3 })
	w.f.OnLoop(func() {
		w.reset(c)
		w.f.FinishAll("-BUSY 1\r\n")
	})
	w.onLoop(func() bool { return w.f.Clients() == 0 })
	w.nothingKept()
}

// A client that always has a request open is closed at a planned end all the same: what was read is
// answered, what comes behind it is not begun, and its connection ends in order.
func TestPlannedEndOfABusyClient(t *testing.T) {
	w := start(t, 256)
	w.node.SetDefault(respnode.Behavior{Delay: 50 * time.Millisecond})
	c := w.client()
	c.say(get("0"))
	if err := w.node.Await(1, patience); err != nil {
		t.Fatal(err)
	}
	w.f.Stop()
	said := 1
	for answered := 0; ; answered++ {
		c.Write([]byte(get(w.id()))) // one behind the one that is open; it may cross the end
		said++
		got, err := respnode.ReadReply(c.in)
		if err != nil {
			break
		}
		if got[0] != '$' {
			t.Fatalf("answer %d: %q", answered, got)
		}
		if said > 1000 {
			t.Fatal("it goes on for ever")
		}
	}
	w.ended()
	if seen, _ := w.node.Log(); len(seen) >= said {
		t.Errorf("%d at the node of %d that were sent: what crossed the end was begun", len(seen), said)
	}
}

// ended waits for the front's end.
func (w *world) ended() {
	w.t.Helper()
	select {
	case err := <-w.end:
		if err != nil {
			w.t.Error(err)
		}
	case <-time.After(patience):
		w.t.Error("it does not end")
	}
}

// What is still open shortly before the platform kills the dispatcher gets its answer, and the
// request behind it is not begun.
func TestPlannedEndOfASilentNode(t *testing.T) {
	w := start(t, 256)
	w.node.SetDefault(respnode.Behavior{Hang: true})
	c := w.client()
	c.say(respnode.Command("OBJ.PUT", piece, "1", fields("c", "c=write", "d", "d=60000"), "body"))
	if err := w.node.Await(1, patience); err != nil {
		t.Fatal(err)
	}
	w.f.OnLoop(func() { c.say(respnode.Command("PING")) })
	w.onLoop(func() bool { return w.f.Queued() == 2 })
	w.f.Stop()
	w.f.Advance(600 * time.Millisecond) // the last who come have come
	w.f.Sweep()
	w.f.Advance(50 * time.Millisecond)
	w.f.Sweep()
	c.say(get("late"))
	w.f.Advance(2900 * time.Millisecond) // 3 s and 0.7 s after it was told, it may be killed
	w.f.Sweep()
	c.expect("-ERR failed")
	c.expect("+PONG")
	if _, err := c.in.ReadByte(); err == nil {
		t.Error("the connection goes on")
	}
	c.Close()
	w.ended()
	if seen, _ := w.node.Log(); len(seen) != 1 {
		t.Errorf("%d commands at the node, want 1", len(seen))
	}
}

// Connections that wait to be accepted when the listener closes are accepted and served.
func TestPlannedEndEmptiesTheAcceptQueue(t *testing.T) {
	w := start(t, 256)
	w.f.Stop()
	w.f.Advance(490 * time.Millisecond)
	var late *client
	w.f.OnLoop(func() { // it comes while the loop stands, and is found by the sweep that closes the listener
		late = w.client()
		late.say(get("late"))
		w.f.CloseListener()
	})
	late.expect(answer("late"))
	w.f.Advance(100 * time.Millisecond)
	late.Close()
	w.ended()
}

// A client that leaves while its connection is not read is noticed: its requests end.
func TestLeavingAPausedConnection(t *testing.T) {
	w := start(t, 256)
	w.node.SetDefault(respnode.Behavior{Hang: true})
	c := w.client()
	c.say(get("1"))
	w.onLoop(func() bool { return w.f.Queued() == 1 })
	w.f.PauseClients()
	c.say(get("2"))
	c.Close()
	w.onLoop(func() bool { return w.f.Clients() == 0 })
	w.nothingKept()
	if seen, _ := w.node.Log(); len(seen) > 1 {
		t.Errorf("at the node: %v", seen)
	}
}

// What is read from a client that is known to have left is not begun.
func TestCommandsOfWhoHasLeft(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	c.say(respnode.Command("PING"))
	c.expect("+PONG")
	w.f.OnLoop(func() {
		c.say(get("1"))
		c.Close()
		w.until(w.f.Hung)
	})
	w.onLoop(func() bool { return w.f.Clients() == 0 })
	if seen, _ := w.node.Log(); len(seen) > 0 {
		t.Errorf("at the node: %v", seen)
	}
}

// A command may come in pieces over seconds; one that stops coming has its connection closed.
func TestSlowWriters(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	text := get("1")
	for i := 0; i < len(text); i += 40 {
		if i > 0 {
			w.onLoop(func() bool { return w.f.Parts() == 1 })
			w.f.Advance(2 * time.Second)
			w.f.Sweep()
		}
		c.say(text[i:min(i+40, len(text))])
	}
	c.expect(answer("1"))
	c.say(text[:40])
	w.onLoop(func() bool { return w.f.Parts() == 1 })
	w.f.Advance(2600 * time.Millisecond)
	w.f.Sweep()
	if b, err := c.in.ReadByte(); err == nil {
		t.Errorf("%q: the connection goes on", b)
	}
	w.onLoop(func() bool { return w.f.Clients() == 0 })
	c = w.client()
	sent := 0
	for ; sent < len(text) && w.f.Ahead(sent == 0); sent += 10 { // in time, and yet without end
		c.Write([]byte(text[sent : sent+10]))
		w.onLoop(func() bool { return w.f.Parts() == 1 || w.f.Clients() == 0 && sent > 0 })
		w.f.Advance(2 * time.Second)
		w.f.Sweep()
	}
	if sent >= 100 {
		t.Errorf("%d bytes of a command came over %d s", sent, sent/5)
	}
}

// slowReader asks for so much that the kernel does not take all of it, and reads nothing.
func (w *world) slowReader(requests int) *client {
	w.node.SetDefault(respnode.Behavior{Reply: "*3\r\n" + respnode.Bulk(strings.Repeat("v", 64<<10)) + "$-1\r\n$-1\r\n"})
	c := w.client()
	c.say(respnode.Command("PING"))
	c.expect("+PONG")
	w.f.NarrowClients()
	for range requests {
		c.say(get(w.id()))
	}
	w.onLoop(func() bool { return w.f.Queued() == 0 && w.f.Pending() > 0 })
	return c
}

// Who does not read its answers is closed after a while.
func TestAnswersThatNobodyReads(t *testing.T) {
	w := start(t, 256)
	w.slowReader(60)
	w.f.Advance(9 * time.Second)
	w.f.Sweep()
	w.onLoop(func() bool { return w.f.Clients() == 1 })
	w.f.Advance(2 * time.Second)
	w.f.Sweep()
	w.onLoop(func() bool { return w.f.Clients() == 0 })
}

// Who reads slowly gets its answers whole at a planned end, and an end in order.
func TestPlannedEndOfASlowReader(t *testing.T) {
	w := start(t, 256)
	c := w.slowReader(60)
	w.f.Stop()
	w.f.Advance(600 * time.Millisecond)
	w.f.Sweep()
	w.f.Advance(100 * time.Millisecond)
	w.f.Sweep()
	w.f.Advance(time.Second) // longer than it lingers
	w.f.Sweep()
	n, err := io.Copy(io.Discard, c.in)
	if each := int64(len(respnode.Bulk(strings.Repeat("v", 64<<10)))); n%each != 0 || n == 0 || err != nil {
		t.Errorf("%d bytes came, %d each (%v)", n, each, err)
	}
}

// What comes on a connection that a planned end has half closed is read and thrown away.
func TestBehindAPlannedEnd(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	c.say(respnode.Command("PING"))
	c.expect("+PONG")
	w.f.Stop()
	w.f.Advance(600 * time.Millisecond)
	w.f.Sweep()
	w.f.Advance(100 * time.Millisecond)
	w.f.Sweep()
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Fatalf("it ends with %v", err)
	}
	c.say(get("late"))
	w.onLoop(func() bool { return w.f.Clients() == 0 || w.f.Quiet() })
	w.f.OnLoop(func() {
		if n := w.f.Clients(); n != 1 {
			t.Errorf("%d connections: what came was left unread, and the close reset it", n)
		}
		if w.f.Begun() > 0 {
			t.Error("it was begun")
		}
	})
}

// No watch is opened in a planned end.
func TestNoWatchInAPlannedEnd(t *testing.T) {
	w := start(t, 256)
	w.until(func() bool { return w.disc.Send("") > 0 })
	w.f.Stop()
	w.disc.EndWatches()
	w.onLoop(func() bool { return !w.f.Watching() })
	w.f.Advance(time.Second) // the dispatcher asks anew
	w.ended()
	if calls := w.disc.Calls(); len(calls) != 1 {
		t.Errorf("%d calls", len(calls))
	}
}

// Who sends on behind what can't be read gets its error, whole, and then an end in order: nothing
// of what came is left unread, which would reset the connection.
func TestErrorIsReadBehindAFlood(t *testing.T) {
	w := start(t, 256)
	c := w.client()
	c.say("nonsense\r\n" + string(make([]byte, 256<<10)))
	c.expect("-ERR Protocol error")
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("it ends with %v", err)
	}
	w.f.OnLoop(func() {})
	if _, err := c.Write([]byte("more")); err != nil {
		t.Errorf("it is reset at once: %v", err)
	}
}

// silentDiscovery takes connections and says nothing.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// Discovery moves twice, to where nobody answers: the watch that has told something is followed on.
func TestTwoMovesBeforeTheNewWatchTells(t *testing.T) {
	w := start(t, 256)
	w.until(func() bool {
		return w.disc.Send(fakediscovery.Document(42, true, fakediscovery.Endpoint{ID: "s1", Addr: w.node.Addr(), State: "Ready"})) > 0
	})
	w.onLoop(func() bool { return w.f.Version() == 42 })
	for range 2 {
		next := w.cfg
		next.Discovery = netip.MustParseAddrPort(silentDiscovery(t))
		w.f.Reload(next)
	}
	w.f.OnLoop(func() {})
	w.disc.Send(fakediscovery.Document(43, false, fakediscovery.Endpoint{ID: "s1", Addr: w.node.Addr(), State: "Terminating"}))
	w.onLoop(func() bool { return w.f.Version() == 43 })
}

// Discovery moves while its first watch is still being opened: the new place is asked at once, and
// once it has told something the old one's end is no news.
func TestMoveWhileTheFirstWatchOpens(t *testing.T) {
	w := start(t, 256)
	next := w.cfg
	moved, err := fakediscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(moved.Stop)
	next.Discovery = netip.MustParseAddrPort(moved.Addr())
	w.f.Reload(next)
	w.until(func() bool {
		return moved.Send(fakediscovery.Document(43, true, fakediscovery.Endpoint{ID: "s1", Addr: w.node.Addr(), State: "Ready"})) > 0
	})
	w.onLoop(func() bool { return w.f.Version() == 43 })
	w.disc.EndWatches()
	c := w.client()
	c.say(get("1"))
	c.expect(answer("1"))
	if calls := moved.Calls(); len(calls) != 1 {
		t.Errorf("%d calls at the new place", len(calls))
	}
}

// A second SIGTERM does not begin the end anew, and SIGHUP during it opens no watch.
func TestSignalsInAPlannedEnd(t *testing.T) {
	w := start(t, 256)
	w.until(func() bool { return w.disc.Send("") > 0 })
	w.f.Stop()
	var first, second time.Duration
	w.f.OnLoop(func() { first = w.f.StoppedAt() })
	w.f.Advance(300 * time.Millisecond)
	w.f.Stop()
	moved, err := fakediscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(moved.Stop)
	next := w.cfg
	next.Discovery = netip.MustParseAddrPort(moved.Addr())
	w.f.Reload(next)
	w.f.OnLoop(func() {
		if second = w.f.StoppedAt(); !w.f.Watching() {
			t.Error("the watch that stood is given up")
		}
	})
	if first == 0 || second != first {
		t.Errorf("it was told to end at %v, and then at %v", first, second)
	}
	w.f.Advance(500 * time.Millisecond)
	w.ended()
	if calls := moved.Calls(); len(calls) > 0 {
		t.Errorf("%d calls at the new place", len(calls))
	}
}

// Where every connection is in use, be it in the middle of a command, one more is closed, and none of
// the others is; once one is unused, it makes room.
func TestAcceptingAtTheBound(t *testing.T) {
	w := start(t, 64)
	bound := w.f.MostClients()
	var all []*client
	text := respnode.Command("PING")
	for range bound {
		c := w.client()
		c.say(text[:5])
		all = append(all, c)
		w.onLoop(func() bool { return w.f.Parts() == len(all) })
	}
	beyond := w.client()
	if _, err := beyond.in.ReadByte(); err == nil {
		t.Error("a connection beyond the bound is served")
	}
	for _, c := range all {
		c.say(text[5:])
		c.expect("+PONG")
	}
	c := w.client()
	c.say(text)
	c.expect("+PONG")
}
