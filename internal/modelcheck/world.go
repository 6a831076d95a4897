package modelcheck

import (
	"math"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/upstreamhttp"
)

// startTime is the time at which a world starts. It is not 0, because 0 means that a time is
// not set.
const startTime = time.Second

// loopCount is the number of the gateway's event loops. Most scenarios use only the first one.
const loopCount = 2

// World is a forwarder with a simulated environment. The environment consists of clients, event
// loops with their connections, nodes, discovery and a clock.
type World struct {
	scenario     *Scenario
	cfg          forwarder.Config
	now          time.Duration
	fwd          *forwarder.Forwarder
	wakeAt       time.Duration                 // time at which the forwarder's timer fires; math.MaxInt64 if it is not set
	loopQueues   [loopCount][]forwarder.Action // actions that each event loop has not performed yet
	requests     []*request
	firstArrival time.Duration // arrival time of the first request; 0 before it arrives
	conns        map[forwarder.ConnID]*conn
	nodes        []node
	// unusableSince maps each node that the gateway must not use to the start of that period.
	unusableSince  map[dispatch.NodeID]time.Duration
	endpointsStale bool // the gateway has restarted and uses an old endpoint list
	shuttingDown   bool // the gateway has begun to shut down
	counts         moveCounts
	checker        checker

	coverage *Coverage                        // counts the transitions, unless nil
	log      func(format string, args ...any) // logs moves and actions, unless nil
}

// moveCounts has one number for each kind of move that a scenario limits. It holds either the
// moves made so far or the limits.
type moveCounts struct {
	drains          int
	removes         int
	adds            int // nodes that discovery adds
	nodeRestarts    int
	gatewayRestarts int
	shutdowns       int
	cancels         int
	failedDials     int
	resets          int // connections that break while the node has a request
	closes          int // connections that the node closes while it has no request
	errors          int // responses with status 500
	rejects         int // responses with status 503
	invalids        int // responses that are not valid, or that are followed by unexpected bytes
	streams         int // responses that the gateway streams
	bodyStreams     int // requests whose streamed body a node starts to read
}

// node is a storage node and its entry in discovery.
type node struct {
	nodeSpec
	state   dispatch.NodeState
	listed  bool
	started time.Duration
}

// endpoint returns the endpoint list entry of a node in the given state.
func (n *node) endpoint(s dispatch.NodeState) forwarder.Node {
	return forwarder.Node{
		Addr: string(n.id),
		Node: dispatch.Node{ID: n.id, Shard: n.shard, State: s, Started: n.started},
	}
}

// request is a request of a client with its progress so far.
type request struct {
	requestSpec
	id               dispatch.RequestID
	started          bool
	deadline         time.Duration // time by which the response must start
	onLoop           bool          // the event loop still serves the request
	canceled         bool
	responses        int
	outcome          string // one of the outcome constants; "" until the request ends
	headersForwarded bool
	bodyStreaming    bool
	bodySent         bool
	sendingBody      bool
	attempts         int   // number of attempts that the gateway has sent
	conn             *conn // connection of the attempt in flight, or nil
	ambiguous        bool  // a node may have executed the request
	ambiguousSince   time.Duration
	quiescentAt      time.Duration // time before which no later request of the same key may be sent
}

// finished reports whether a request has its final response or its client has canceled it.
func (r *request) finished() bool { return r.responses > 0 || r.canceled }

// unfinished reports whether a request has started and is not finished.
func (r *request) unfinished() bool { return r.started && !r.finished() }

// responseDue reports whether the response to a request must start by the deadline. The deadline
// does not apply after the response has started. It also does not apply while the gateway
// streams the request body, which may take any time.
func (r *request) responseDue() bool {
	return r.unfinished() && !r.headersForwarded && (!r.bodyStreaming || r.bodySent)
}

// conn is a connection to a node.
type conn struct {
	id       forwarder.ConnID
	loop     forwarder.LoopID
	node     dispatch.NodeID
	open     bool
	reader   upstreamhttp.Reader
	request  *request // request that the connection carries, until its response is taken
	atNode   bool     // the node has a request that it has not completely responded to
	partial  bool     // the node has sent only the first part of its response
	unusable bool     // the connection must not carry another request
}

// sendingBody reports whether the connection is still sending its request's body.
func (c *conn) sendingBody() bool {
	return c.request != nil && c.request.sendingBody && !c.request.bodySent
}

// newWorld returns the world of a scenario in its initial state.
func newWorld(s *Scenario) *World {
	w := &World{
		scenario:      s,
		cfg:           s.config(),
		now:           startTime,
		conns:         map[forwarder.ConnID]*conn{},
		unusableSince: map[dispatch.NodeID]time.Duration{},
	}
	for i, spec := range s.requests {
		w.requests = append(w.requests, &request{requestSpec: spec, id: dispatch.RequestID(i + 1)})
	}
	for _, spec := range s.nodes {
		w.nodes = append(w.nodes, node{nodeSpec: spec, listed: spec.initial})
	}
	w.startGateway(dispatch.Snapshot)
	if s.prepare != nil {
		s.prepare(w)
	}
	return w
}

// startGateway starts a gateway and sends it an endpoint list of the given kind.
func (w *World) startGateway(kind dispatch.EndpointUpdateKind) {
	f, err := forwarder.New(w.cfg)
	if err != nil {
		panic("modelcheck: invalid scenario: " + err.Error())
	}
	w.fwd = f
	w.wakeAt = math.MaxInt64
	w.shuttingDown = false
	w.checker.reset()
	w.handle(w.endpointList(kind), noLoop)
	w.runLoops()
}

// endpointList returns an endpoint update with all listed nodes. For the kind Cached it has the
// nodes as they were at the start, and for any other kind as they are now.
func (w *World) endpointList(kind dispatch.EndpointUpdateKind) forwarder.EndpointUpdate {
	update := forwarder.EndpointUpdate{Kind: kind}
	for i := range w.nodes {
		n := &w.nodes[i]
		switch {
		case kind == dispatch.Cached && n.initial:
			update.Nodes = append(update.Nodes, n.endpoint(dispatch.Ready))
		case kind != dispatch.Cached && n.listed && n.state != dispatch.Removed:
			update.Nodes = append(update.Nodes, n.endpoint(n.state))
		}
	}
	w.recordEndpointUpdate(update)
	return update
}

// recordEndpointUpdate records which nodes the gateway must not use after an endpoint update.
func (w *World) recordEndpointUpdate(update forwarder.EndpointUpdate) {
	if update.Kind != dispatch.Delta {
		for i := range w.nodes {
			w.recordUnusable(w.nodes[i].id)
		}
	}
	for _, n := range update.Nodes {
		if n.State == dispatch.Ready {
			delete(w.unusableSince, n.ID)
		} else {
			w.recordUnusable(n.ID)
		}
	}
}

// recordUnusable records that the gateway must not use a node from now on. It keeps an earlier
// record of the same node.
func (w *World) recordUnusable(id dispatch.NodeID) {
	if _, known := w.unusableSince[id]; !known {
		w.unusableSince[id] = w.now
	}
}

// class returns the settings of a request's class.
func (w *World) class(r *request) *dispatch.Class { return &w.cfg.Dispatch.Classes[r.class] }

// requestByID returns the request with the given ID, or nil if there is none.
func (w *World) requestByID(id dispatch.RequestID) *request {
	for _, r := range w.requests {
		if r.id == id {
			return r
		}
	}
	return nil
}
