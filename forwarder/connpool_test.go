package forwarder

import (
	"testing"
	"time"

	"chalkstand/dispatch"
)

// An attempt that the dispatcher cancels ends with its connection, and the next attempt
// goes out on another; a request that is not replayable waits on.
func TestCanceledAttemptIsSentAgain(t *testing.T) {
	for _, c := range []struct {
		notReplayable bool
		sent          int
	}{
		{notReplayable: false, sent: 2},
		{notReplayable: true, sent: 1},
	} {
		h := newHarness(t, testConfig())
		h.setNode("a", 0, dispatch.Ready)
		for i := 1; i <= 4; i++ { // the dispatcher learns the node's latency
			r := h.startRead(i)
			if i == 1 {
				h.completeDial()
			}
			h.advance(5 * ms)
			h.complete(r.conn)
		}
		lost := h.start(5, readClass, 0, "", c.notReplayable)
		conn := lost.conn
		h.advance(50 * ms)
		later := h.startRead(6)
		h.completeDial()
		h.advance(5 * ms)
		h.complete(later.conn)
		h.advance(2 * ms)
		if closed := h.conns[conn] == nil; closed == c.notReplayable {
			t.Fatalf("not replayable %v: its connection is closed: %v", c.notReplayable, closed)
		}
		if lost.sent != c.sent || lost.responses != 0 {
			t.Fatalf("not replayable %v: sent %d times, want %d; %d responses",
				c.notReplayable, lost.sent, c.sent, lost.responses)
		}
	}
}

// A request that was not wholly written was never executed: even one that is not
// idempotent is sent again.
func TestUnsentRequestIsSentAgain(t *testing.T) {
	for _, c := range []struct {
		unsent bool
		sent   int
	}{
		{unsent: true, sent: 2},
		{unsent: false, sent: 1},
	} {
		h := newHarness(t, testConfig())
		h.setNode("a", 0, dispatch.Ready)
		r := h.start(1, unsafeClass, 0, "", false)
		h.loseConn(ConnectionLost{Conn: h.completeDial(), Unsent: c.unsent})
		h.advance(30 * ms)
		if c.unsent {
			h.completeDial()
		}
		if r.sent != c.sent {
			t.Fatalf("unsent %v: sent %d times, want %d (%#v)", c.unsent, r.sent, c.sent, r.response)
		}
	}
}

// recordResults returns a slice that grows with each result of an attempt that is reported
// to the dispatcher.
func recordResults(h *harness) *[]dispatch.AttemptResult {
	results := &[]dispatch.AttemptResult{}
	h.f.Trace = func(_ time.Duration, ev dispatch.Event, _ []dispatch.Action) {
		if completed, ok := ev.(dispatch.AttemptCompleted); ok {
			*results = append(*results, completed.Result)
		}
	}
	return results
}

// A connection that is lost before anything was written on it costs no attempt.
func TestStaleConnectionIsReplaced(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	results := recordResults(h)
	first := h.startRead(1)
	conn := h.completeDial()
	h.complete(conn)
	second := h.startRead(2)
	h.removeConn(h.conns[second.conn])
	h.handle(ConnectionLost{Conn: conn, Stale: true})
	h.completeDial()
	h.complete(second.conn)
	if first.responses != 1 || second.responses != 1 || second.conn == conn {
		t.Fatalf("%d and %d responses", first.responses, second.responses)
	}
	if len(*results) != 2 || (*results)[1] != dispatch.OK {
		t.Fatalf("results of attempts: %v", *results)
	}

	// Nothing is sent to a node that is draining by now.
	third := h.startRead(3)
	conn = third.conn
	h.removeConn(h.conns[conn])
	h.setNode("a", 0, dispatch.Draining)
	h.handle(ConnectionLost{Conn: conn, Stale: true})
	if third.sent != 1 || len(h.conns) != 0 {
		t.Fatalf("sent %d times, %d connections", third.sent, len(h.conns))
	}
}

func TestReuseDelay(t *testing.T) {
	cfg := testConfig()
	cfg.ReuseDelay = 20 * ms
	h := newHarness(t, cfg)
	h.setNode("a", 0, dispatch.Ready)
	h.startRead(1)
	conn := h.completeDial()
	h.complete(conn)
	h.now += 19 * ms
	if r := h.startRead(2); r.sent != 0 {
		t.Fatal("reused before the delay")
	}
	other := h.completeDial()
	h.now += ms
	if r := h.startRead(3); r.conn != conn || other == conn {
		t.Fatalf("on connection %d, want %d", r.conn, conn)
	}
}

// The connections to all nodes together are bounded: the one idle for the longest is
// evicted. Where none is idle an attempt is not sent, which is no fault of its node.
func TestConnectionsOverAllNodesAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MaxConns = 2
	h := newHarness(t, cfg)
	results := recordResults(h)
	for shard, id := range []string{"a", "b", "c"} {
		h.setNode(id, shard, dispatch.Ready)
	}
	var first ConnID
	for i := range 3 {
		r := h.start(i, readClass, i, "", false)
		conn := h.completeDial()
		if i == 0 {
			first = conn
		}
		h.now += ms
		h.complete(r.conn)
	}
	if h.f.Conns() != 2 || h.conns[first] != nil {
		t.Fatalf("%d connections, the oldest open: %v", h.f.Conns(), h.conns[first] != nil)
	}
	h.start(10, readClass, 1, "", false)
	h.start(11, readClass, 2, "", false)
	h.start(12, readClass, 0, "", false)
	if last := (*results)[len(*results)-1]; h.f.Conns() != 2 || last != dispatch.NotSent {
		t.Fatalf("%d connections, the attempt's result is %d", h.f.Conns(), last)
	}
}

// Idle connections to a node that is draining, or that is another process now, are closed.
func TestIdleConnectionsOfChangedNodeAreClosed(t *testing.T) {
	for name, update := range map[string]Node{
		"draining":   {Addr: "a", Node: dispatch.Node{ID: "a", State: dispatch.Draining}},
		"restarted":  {Addr: "a", Node: dispatch.Node{ID: "a", Started: time.Second}},
		"at another": {Addr: "b", Node: dispatch.Node{ID: "a"}},
	} {
		h := newHarness(t, testConfig())
		h.setNode("a", 0, dispatch.Ready)
		h.startRead(1)
		h.complete(h.completeDial())
		h.handle(EndpointUpdate{Kind: dispatch.Delta, Nodes: []Node{update}})
		if h.f.Conns() != 0 || len(h.conns) != 0 {
			t.Errorf("%s: %d connections", name, h.f.Conns())
		}
	}
}

// A connection that was dialed for a request which has ended carries the next one; one
// that the forwarder no longer knows is closed.
func TestDialThatCompletesLate(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	r := h.startRead(1)
	r.canceled = true
	h.handle(ClientCanceled{ID: 1})
	h.completeDial()
	if next := h.startRead(2); next.sent != 1 || h.f.Conns() != 1 {
		t.Fatalf("sent %d times over %d connections", next.sent, h.f.Conns())
	}
	actions := h.f.Handle(h.now, DialCompleted{Conn: 99, OK: true})
	if len(actions) == 0 || actions[0] != (CloseConn{Conn: 99}) {
		t.Fatalf("%v", actions)
	}
}
