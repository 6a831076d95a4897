package forwarder

import (
	"testing"
	"time"

	"chalkstand/dispatch"
)

// When the dispatcher cancels an attempt, the forwarder closes its connection and sends the
// next attempt on another one. The attempt of a request that is not replayable continues.
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
			t.Fatalf("notReplayable = %v: connection is closed = %v, want closed only if replayable", c.notReplayable, closed)
		}
		if lost.sent != c.sent || lost.responses != 0 {
			t.Fatalf("notReplayable = %v: sent %d times, want %d; got %d responses, want 0",
				c.notReplayable, lost.sent, c.sent, lost.responses)
		}
	}
}

// A node cannot have executed a request that was not written completely. The forwarder
// sends such a request again, even if it is not idempotent.
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
			t.Fatalf("unsent = %v: sent %d times, want %d; response %#v", c.unsent, r.sent, c.sent, r.response)
		}
	}
}

// recordResults returns a pointer to a slice. Each attempt result that the forwarder
// reports to the dispatcher is appended to the slice.
func recordResults(h *harness) *[]dispatch.AttemptResult {
	results := &[]dispatch.AttemptResult{}
	h.f.Trace = func(_ time.Duration, ev dispatch.Event, _ []dispatch.Action) {
		if completed, ok := ev.(dispatch.AttemptCompleted); ok {
			*results = append(*results, completed.Result)
		}
	}
	return results
}

// If a connection is lost before any byte of the request was written, the same attempt
// continues on another connection.
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
		t.Fatalf("got %d and %d responses, want 1 each and the second on a new connection",
			first.responses, second.responses)
	}
	if len(*results) != 2 || (*results)[1] != dispatch.OK {
		t.Fatalf("results of attempts = %v, want two with dispatch.OK as the second", *results)
	}

	// The attempt does not continue if the node started draining in the meantime.
	third := h.startRead(3)
	conn = third.conn
	h.removeConn(h.conns[conn])
	h.setNode("a", 0, dispatch.Draining)
	h.handle(ConnectionLost{Conn: conn, Stale: true})
	if third.sent != 1 || len(h.conns) != 0 {
		t.Fatalf("draining node: sent %d times over %d connections, want once and no connection left",
			third.sent, len(h.conns))
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
		t.Fatal("connection was reused before ReuseDelay had passed")
	}
	other := h.completeDial()
	h.now += ms
	if r := h.startRead(3); r.conn != conn || other == conn {
		t.Fatalf("sent on connection %d, want %d", r.conn, conn)
	}
}

// MaxConns limits the connections to all nodes together. At the limit, the forwarder closes
// the connection that has been idle the longest. If none is idle, it reports the attempt as
// NotSent, because the node is not at fault.
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
		t.Fatalf("got %d connections, want 2; the oldest is open = %v, want false",
			h.f.Conns(), h.conns[first] != nil)
	}
	h.start(10, readClass, 1, "", false)
	h.start(11, readClass, 2, "", false)
	h.start(12, readClass, 0, "", false)
	if last := (*results)[len(*results)-1]; h.f.Conns() != 2 || last != dispatch.NotSent {
		t.Fatalf("got %d connections and result %d of the last attempt, want 2 and NotSent", h.f.Conns(), last)
	}
}

// The forwarder closes idle connections to a node that is draining, has restarted, or has
// moved to another address.
func TestIdleConnectionsOfChangedNodeAreClosed(t *testing.T) {
	for name, update := range map[string]Node{
		"draining":  {Addr: "a", Node: dispatch.Node{ID: "a", State: dispatch.Draining}},
		"restarted": {Addr: "a", Node: dispatch.Node{ID: "a", Started: time.Second}},
		"moved":     {Addr: "b", Node: dispatch.Node{ID: "a"}},
	} {
		h := newHarness(t, testConfig())
		h.setNode("a", 0, dispatch.Ready)
		h.startRead(1)
		h.complete(h.completeDial())
		h.handle(EndpointUpdate{Kind: dispatch.Delta, Nodes: []Node{update}})
		if h.f.Conns() != 0 || len(h.conns) != 0 {
			t.Errorf("%s: got %d connections, want 0", name, h.f.Conns())
		}
	}
}

// A dial can complete after its request has ended. The connection then carries the next
// request. A connection that the forwarder does not know is closed.
func TestLateDialCompletion(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	r := h.startRead(1)
	r.canceled = true
	h.handle(ClientCanceled{ID: 1})
	h.completeDial()
	if next := h.startRead(2); next.sent != 1 || h.f.Conns() != 1 {
		t.Fatalf("sent %d times over %d connections, want once over 1 connection", next.sent, h.f.Conns())
	}
	actions := h.f.Handle(h.now, DialCompleted{Conn: 99, OK: true})
	if len(actions) == 0 || actions[0] != (CloseConn{Conn: 99}) {
		t.Fatalf("DialCompleted of an unknown connection causes %v, want CloseConn", actions)
	}
}
