package forwarder

import (
	"errors"
	"slices"
	"testing"
	"time"

	"chalkstand/dispatch"
)

func TestInvalidConfigNamesItsField(t *testing.T) {
	for _, c := range []struct {
		field  string
		change func(*Config)
	}{
		{"MaxConnsPerNode", func(c *Config) { c.MaxConnsPerNode = 0 }},
		{"MaxStreamsPerNode", func(c *Config) { c.MaxStreamsPerNode = -1 }},
		{"MaxStreamsPerNode", func(c *Config) { c.MaxStreamsPerNode = c.MaxConnsPerNode }},
		{"MaxConns", func(c *Config) { c.MaxConns = -1 }},
		{"ReuseDelay", func(c *Config) { c.ReuseDelay = -1 }},
		{"IdleTimeout", func(c *Config) { c.IdleTimeout = 0 }},
		{"MaxConnAge", func(c *Config) { c.MaxConnAge = 0 }},
		{"DialTimeout", func(c *Config) { c.DialTimeout = 0 }},
		{"MaxRequests", func(c *Config) { c.MaxRequests = 0 }},
		{"ResponseMargin", func(c *Config) { c.ResponseMargin = -1 }},
		{"ResponseMargin", func(c *Config) { c.ResponseMargin = time.Second }},
	} {
		cfg := testConfig()
		c.change(&cfg)
		_, err := New(cfg)
		if invalid := (*ConfigError)(nil); !errors.As(err, &invalid) || invalid.Field != c.field {
			t.Errorf("%s: %v", c.field, err)
		}
	}
}

func TestConnectionIsReused(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	for i := 1; i <= 3; i++ {
		r := h.startRead(i)
		if i == 1 {
			h.completeDial()
		}
		h.now += ms
		h.complete(r.conn)
		if r.responses != 1 || r.sent != 1 {
			t.Fatalf("request %d: %+v", i, r)
		}
	}
	if h.f.Conns() != 1 || h.f.Requests() != 0 {
		t.Fatalf("%d connections, %d requests", h.f.Conns(), h.f.Requests())
	}
	h.advance(3 * time.Second)
	if h.f.Conns() != 0 {
		t.Fatal("an idle connection stays open")
	}
}

// A read whose node stalls ends at its deadline, its connection is closed, and a response
// that arrives later has no effect.
func TestLateResponseIsIgnored(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	r := h.startRead(1)
	conn := h.completeDial()
	h.advance(995 * ms)
	if r.responses != 1 || h.conns[conn] != nil {
		t.Fatalf("responses %d, connection open: %v", r.responses, h.conns[conn] != nil)
	}
	if actions := h.complete(conn); len(actions) > 0 {
		t.Fatalf("a late response causes %v", actions)
	}
}

func TestDrainWhileDialing(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	r := h.startRead(1)
	h.setNode("b", 0, dispatch.Ready)
	h.setNode("a", 0, dispatch.Draining)
	h.completeDial() // to a, which must not be used any more
	if r.sent != 0 {
		t.Fatal("sent to the draining node")
	}
	h.advance(50 * ms)
	if len(h.conns) != 1 {
		t.Fatalf("connections: %d, want one to b", len(h.conns))
	}
	h.completeDial()
	if r.sent != 1 || h.conns[r.conn].node != "b" {
		t.Fatalf("sent %d times", r.sent)
	}
}

func TestNotReplayableIsNotSentAgain(t *testing.T) {
	for name, end := range map[string]func(*harness, ConnID){
		"connection lost": func(h *harness, c ConnID) { h.loseConn(ConnectionLost{Conn: c}) },
		"server error": func(h *harness, c ConnID) {
			h.handle(ResponseCompleted{Conn: c, Info: ResponseInfo{Result: dispatch.ServerError}})
		},
		"timeout": func(h *harness, _ ConnID) { h.advance(2 * time.Second) },
	} {
		h := newHarness(t, testConfig())
		h.setNode("a", 0, dispatch.Ready)
		r := h.start(1, writeClass, 0, "k", true)
		end(h, h.completeDial())
		if _, failed := r.response.(Fail); !failed || r.sent != 1 {
			t.Fatalf("%s: response %#v, sent %d times", name, r.response, r.sent)
		}
	}
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	r := h.start(1, writeClass, 0, "k", true)
	h.handle(ResponseCompleted{Conn: h.completeDial(), Info: ResponseInfo{Result: dispatch.Rejected}})
	if _, rejected := r.response.(Reject); !rejected || h.f.Requests() != 0 {
		t.Fatalf("rejected by its node: %#v", r.response)
	}
}

// The time that a slow client takes does not count as its node's latency.
func TestSlowClientDoesNotCountAsLatency(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	slow := h.start(1, unsafeClass, 0, "", true)
	conn := h.completeDial()
	h.handle(BodyStreaming{ID: 1})
	h.advance(5 * time.Second)
	if slow.responses != 0 {
		t.Fatal("ended while its client sends")
	}
	quick := h.startRead(2)
	h.complete(h.completeDial())
	if _, ok := quick.response.(ForwardResponse); !ok {
		t.Fatalf("beside a slow client: %#v", quick.response)
	}
	h.handle(BodySent{ID: 1})
	h.complete(conn)
	if _, ok := slow.response.(ForwardResponse); !ok {
		t.Fatalf("the slow client: %#v", slow.response)
	}
}

// Beyond the bound a stream counts in the dispatcher's concurrency until its end.
func TestStreamsAreBounded(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	var conns []ConnID
	for i := range 3 {
		r := h.startRead(i + 1)
		conn := h.completeDial()
		r.streaming = true
		h.handle(ResponseHeaders{Conn: conn, Info: okInfo()})
		conns = append(conns, conn)
	}
	n := h.f.nodes["a"]
	if n.streamCount != 2 || h.f.requests[3].resultReported || !h.f.requests[2].resultReported {
		t.Fatalf("%d streams", n.streamCount)
	}
	for _, conn := range conns {
		h.complete(conn)
	}
	if n.streamCount != 0 || h.f.Requests() != 0 {
		t.Fatalf("%d streams, %d requests left", n.streamCount, h.f.Requests())
	}
}

func TestStreamedResponseThatBreaksOffIsAborted(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	r := h.startRead(1)
	conn := h.completeDial()
	r.streaming = true
	h.handle(ResponseHeaders{Conn: conn, Info: okInfo()})
	h.advance(10 * time.Second)
	h.removeConn(h.conns[conn])
	actions := h.handle(ConnectionLost{Conn: conn})
	if len(actions) == 0 || actions[0] != (AbortResponse{ID: 1}) || r.sent != 1 {
		t.Fatalf("%v", actions)
	}
}

// The forwarder itself stops what the dispatcher never does: a second attempt while one is
// in flight.
func TestSecondAttemptInFlightIsIgnored(t *testing.T) {
	h := newHarness(t, testConfig())
	h.setNode("a", 0, dispatch.Ready)
	r := h.startRead(1)
	h.completeDial()
	h.f.actions = nil
	h.f.startAttempt(dispatch.SendAttempt{ID: 1, Node: "a"})
	if len(h.f.actions) > 0 || len(h.f.dispatcherEvents) > 0 ||
		r.sent != 1 || h.f.Conns() != 1 || h.f.requests[1].stage != stageInFlight {
		t.Fatalf("a second attempt causes %v", h.f.actions)
	}
}

// The forwarder itself stops an attempt at a node that is draining or unknown.
func TestAttemptAtUnusableNodeIsNotSent(t *testing.T) {
	for _, state := range []dispatch.NodeState{dispatch.Draining, dispatch.Removed} {
		h := newHarness(t, testConfig())
		h.setNode("a", 0, dispatch.Ready)
		h.startRead(1)
		h.complete(h.completeDial())
		h.f.requests[2] = &request{
			req:      dispatch.Request{ID: 2},
			class:    &h.f.cfg.Dispatch.Classes[readClass],
			attempt:  -1,
			deadline: h.now + time.Second,
		}
		h.f.nodes["a"].State = state
		if state == dispatch.Removed {
			delete(h.f.nodes, "a")
		}
		h.f.actions = nil
		h.f.startAttempt(dispatch.SendAttempt{ID: 2, Node: "a"})
		if len(h.f.actions) != 0 || h.f.requests[2].stage != stageWaiting {
			t.Fatalf("an attempt at a node in state %d causes %v", state, h.f.actions)
		}
	}
}

func TestRequestsAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MaxRequests = 3
	h := newHarness(t, cfg)
	h.setNode("a", 0, dispatch.Ready)
	for i := range 3 {
		h.startRead(i + 1)
	}
	r := h.startRead(4)
	if r.responses != 1 || r.response != (Reject{ID: 4, RetryAfter: time.Second}) {
		t.Fatalf("%#v", r.response)
	}
}

// The cost of a response is reported to the dispatcher once; a client that cancels is
// charged for what had arrived.
func TestCostCorrection(t *testing.T) {
	h := newHarness(t, testConfig())
	var reported []float64
	h.f.Trace = func(_ time.Duration, ev dispatch.Event, _ []dispatch.Action) {
		if correction, ok := ev.(dispatch.CostCorrection); ok {
			reported = append(reported, correction.Units)
		}
	}
	h.setNode("a", 0, dispatch.Ready)
	h.startRead(1)
	conn := h.completeDial()
	info := okInfo()
	info.Units = 5
	h.handle(ResponseHeaders{Conn: conn, Info: info})
	h.handle(ClientCanceled{ID: 1, Units: 2})
	h.startRead(2)
	conn = h.completeDial()
	h.handle(ResponseCompleted{Conn: conn, Info: info, Reuse: true})
	h.startRead(3)
	h.handle(ClientCanceled{ID: 3, Units: 1e6}) // nothing has arrived yet
	if want := []float64{4, -3, 4}; !slices.Equal(reported, want) {
		t.Errorf("reported %v, want %v", reported, want)
	}
}
