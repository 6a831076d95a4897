package relayfront_test

import (
	"net"
	"testing"
	"time"

	"chalkstand/standin/relay"
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
	c.say(relay.Command("PING"))
	c.expect("+PONG")
	w.f.OnLoop(func() {
		c.say(relay.Command("PING") + get("1") + relay.Command("PING"))
		w.reset(c)
	})
	w.onLoop(func() bool { return w.f.Clients() == 0 })
	w.nothingKept()
	if seen, _ := w.node.Seen(); len(seen) > 0 {
		t.Errorf("at the node: %v", seen)
	}
}

// Answers that come between a write that failed and the end of its connection take their requests
// out once, not a second time with the connection.
func TestAnswersAfterAFailedWrite(t *testing.T) {
	w := start(t, 256)
	w.node.Usually(relay.Order{Hang: true})
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
