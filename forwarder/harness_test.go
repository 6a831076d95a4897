package forwarder

import (
	"testing"
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

const ms = time.Millisecond

// never is the value of harness.wakeAt while no timer is set.
const never time.Duration = 1 << 62

// These constants are the indexes of the request classes in testConfig.
const (
	readClass   = iota
	writeClass  // requests with the same key are executed in order
	unsafeClass // requests are not idempotent
)

// testConfig returns a small configuration with three request classes.
func testConfig() Config {
	return Config{
		Seed:              1,
		MaxConnsPerNode:   4,
		MaxStreamsPerNode: 2,
		IdleTimeout:       2 * time.Second,
		MaxConnAge:        20 * time.Second,
		DialTimeout:       200 * ms,
		ResponseMargin:    5 * ms,
		MaxRequests:       64,
		Dispatch: dispatch.Config{
			DispatcherIndex: 0,
			DispatcherCount: 1,
			CancelAttempts:  true,
			MaxRetryAfter:   time.Second,
			MaxAttempts:     3,
			MeanUnits:       1,
			MaxUnits:        8,
			Quiescence:      50 * ms,
			RoundTrip:       ms,
			RetryBudget:     dispatch.RetryBudget{MinRetries: 3, Ratio: 0.2, Window: 5 * time.Second},
			Classes: []dispatch.Class{
				{Name: "read", LatencyObjective: 200 * ms, Deadline: time.Second},
				{
					Name:             "write",
					LatencyObjective: 300 * ms,
					Deadline:         2 * time.Second,
					Idempotency:      dispatch.Deduplicated,
					DedupScope:       dispatch.DedupPerShard,
					DedupWindow:      2 * time.Second,
					Ordered:          true,
				},
				{
					Name:             "unsafe",
					LatencyObjective: 300 * ms,
					Deadline:         2 * time.Second,
					Idempotency:      dispatch.NonIdempotent,
				},
			},
			Plans: []dispatch.Plan{{Name: "p", Reserve: 1000, Weight: 1}},
		},
	}
}

// harness simulates the clients, nodes and event loops around a Forwarder. It fails the
// test if the Forwarder returns an invalid action.
type harness struct {
	t          *testing.T
	f          *Forwarder
	now        time.Duration
	wakeAt     time.Duration
	conns      map[ConnID]*testConn
	connCount  map[dispatch.NodeID]int
	maxConns   int // maximum number of connections to one node
	nodeStates map[dispatch.NodeID]dispatch.NodeState
	requests   map[dispatch.RequestID]*testRequest
	volume     dispatch.VolumeID // volume of the next request

	entries    map[string]attribution.Entry // last entry of each volume
	entryCount int
}

type testConn struct {
	id      ConnID
	node    dispatch.NodeID
	open    bool
	request *testRequest
}

type testRequest struct {
	id            dispatch.RequestID
	conn          ConnID
	inFlight      bool
	sent          int // number of attempts that were sent
	responses     int
	response      Action
	canceled      bool
	streaming     bool // whether the headers of its response were passed on
	notReplayable bool
	deadline      time.Duration
}

func newHarness(t *testing.T, cfg Config) *harness {
	t.Helper()
	f, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{
		t:          t,
		f:          f,
		wakeAt:     never,
		conns:      map[ConnID]*testConn{},
		connCount:  map[dispatch.NodeID]int{},
		maxConns:   cfg.MaxConnsPerNode,
		nodeStates: map[dispatch.NodeID]dispatch.NodeState{},
		requests:   map[dispatch.RequestID]*testRequest{},
		volume:     "v",
		entries:    map[string]attribution.Entry{},
	}
}

// handle passes an event to the Forwarder, and checks and performs the returned actions.
func (h *harness) handle(ev Event) []Action {
	h.t.Helper()
	actions := append([]Action(nil), h.f.Handle(h.now, ev)...)
	for _, a := range actions {
		h.perform(a)
	}
	return actions
}

func (h *harness) perform(a Action) {
	h.t.Helper()
	switch a := a.(type) {
	case Dial:
		h.dial(a)
	case SendRequest:
		h.send(a)
	case CloseConn:
		if c := h.conns[a.Conn]; c != nil {
			h.removeConn(c)
		}
	case ForwardResponse:
		h.respond(a.ID, a)
		h.freeConn(a.Conn)
	case DiscardResponse:
		h.freeConn(a.Conn)
	case RequestAttributed:
		if r := h.requests[a.ID]; r != nil && r.responses > 0 {
			h.t.Fatalf("request %d: RequestAttributed comes after the response, want before it", a.ID)
		}
		h.entries[a.Entry.Volume] = *a.Entry
		h.entryCount++
	case Reject:
		h.respond(a.ID, a)
		if a.RetryAfter <= 0 {
			h.t.Fatalf("got %+v, want RetryAfter above 0", a)
		}
	case Fail:
		h.respond(a.ID, a)
	case AbortResponse:
		r := h.requests[a.ID]
		if !r.streaming {
			h.t.Fatalf("request %d: AbortResponse comes before the response has started", a.ID)
		}
		r.responses++
	case SetTimer:
		h.wakeAt = a.At
	}
}

func (h *harness) dial(a Dial) {
	h.t.Helper()
	h.conns[a.Conn] = &testConn{id: a.Conn, node: a.Node}
	if h.connCount[a.Node]++; h.connCount[a.Node] > h.maxConns {
		h.t.Fatalf("got %d connections to node %s, want at most MaxConnsPerNode", h.connCount[a.Node], a.Node)
	}
}

func (h *harness) send(a SendRequest) {
	h.t.Helper()
	c, r := h.conns[a.Conn], h.requests[a.ID]
	switch {
	case c == nil || !c.open || c.request != nil:
		h.t.Fatalf("%+v uses a connection that is not open or is busy", a)
	case r.inFlight:
		h.t.Fatalf("request %d is sent while another attempt is in flight", a.ID)
	case r.responses > 0 || r.canceled:
		h.t.Fatalf("request %d is sent after it has ended", a.ID)
	case h.nodeStates[c.node] != dispatch.Ready:
		h.t.Fatalf("request %d is sent to node %s, which is not ready", a.ID, c.node)
	case r.notReplayable && r.sent > 0:
		h.t.Fatalf("request %d is not replayable but is sent twice", a.ID)
	}
	c.request = r
	r.inFlight = true
	r.conn = a.Conn
	r.sent++
}

// respond records a request's final response. It checks that the response is the only one
// and is in time.
func (h *harness) respond(id dispatch.RequestID, response Action) {
	h.t.Helper()
	r := h.requests[id]
	if r.responses++; r.responses > 1 || r.canceled {
		h.t.Fatalf("%v: request %d has %d responses, want 1; canceled = %v, want false",
			response, id, r.responses, r.canceled)
	}
	if h.now > r.deadline && !r.streaming && !r.notReplayable {
		h.t.Fatalf("request %d: got response at %v, want it by the deadline %v", id, h.now, r.deadline)
	}
	r.response = response
}

// freeConn marks a connection as carrying no request.
func (h *harness) freeConn(id ConnID) {
	if c := h.conns[id]; c != nil && c.request != nil {
		c.request.inFlight = false
		c.request = nil
	}
}

func (h *harness) removeConn(c *testConn) {
	h.freeConn(c.id)
	delete(h.conns, c.id)
	h.connCount[c.node]--
}

// loseConn removes a connection and reports its loss to the Forwarder.
func (h *harness) loseConn(lost ConnectionLost) {
	h.t.Helper()
	h.removeConn(h.conns[lost.Conn])
	h.handle(lost)
}

// setNode reports a node's state to the Forwarder.
func (h *harness) setNode(id string, shard int, s dispatch.NodeState) {
	h.t.Helper()
	node := dispatch.Node{ID: dispatch.NodeID(id), Shard: dispatch.Shard(shard), State: s}
	h.nodeStates[node.ID] = s
	h.handle(EndpointUpdate{Kind: dispatch.Delta, Nodes: []Node{{Addr: id, Node: node}}})
}

// start starts a request whose timeout is the deadline of its class.
func (h *harness) start(id int, class, shard int, key string, notReplayable bool) *testRequest {
	h.t.Helper()
	timeout := h.f.cfg.Dispatch.Classes[class].Deadline
	r := &testRequest{
		id:            dispatch.RequestID(id),
		deadline:      h.now + timeout,
		notReplayable: notReplayable,
	}
	h.requests[r.id] = r
	h.handle(StartRequest{NotReplayable: notReplayable, Request: dispatch.Request{
		ID:          r.id,
		Class:       class,
		Volume:      h.volume,
		Key:         key,
		Shard:       dispatch.Shard(shard),
		Units:       1,
		Dispatchers: 1,
		Timeout:     timeout,
	}})
	return r
}

// startRead starts a replayable read request at shard 0.
func (h *harness) startRead(id int) *testRequest {
	h.t.Helper()
	return h.start(id, readClass, 0, "", false)
}

// complete reports a successful response, after which the connection can be reused.
func (h *harness) complete(c ConnID) []Action {
	h.t.Helper()
	return h.handle(ResponseCompleted{Conn: c, Info: okInfo(), Reuse: true})
}

// advance moves the time forward by d and fires each timer when it is due.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	end := h.now + d
	for h.wakeAt <= end {
		h.now = max(h.wakeAt, h.now)
		h.wakeAt = never
		h.handle(TimerFired{})
	}
	h.now = end
}

// completeDial completes one pending dial and returns the ID of the connection.
func (h *harness) completeDial() ConnID {
	h.t.Helper()
	for id, c := range h.conns {
		if !c.open {
			c.open = true
			h.handle(DialCompleted{Conn: id, OK: true})
			return id
		}
	}
	h.t.Fatal("got no connection that is being dialed, want one")
	return 0
}

func okInfo() ResponseInfo { return ResponseInfo{Result: dispatch.OK} }
