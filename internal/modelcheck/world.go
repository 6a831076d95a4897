package modelcheck

import (
	"math"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/upstreamhttp"
)

// startTime is when a world starts. It is not 0, which stands for a time that is not set.
const startTime = time.Second

// loopCount is the number of the gateway's event loops. Most scenarios use the first alone.
const loopCount = 2

// World is a forwarder with everything around it: clients, event loops with their
// connections, nodes, discovery and time.
type World struct {
	scenario     *Scenario
	cfg          forwarder.Config
	now          time.Duration
	fwd          *forwarder.Forwarder
	wakeAt       time.Duration                 // of the forwarder's timer; math.MaxInt64: not set
	loopQueues   [loopCount][]forwarder.Action // pending actions of each event loop
	requests     []*request
	firstArrival time.Duration // of a request; 0 before it
	conns        map[forwarder.ConnID]*conn
	nodes        []node
	// unusableSince has the nodes that the gateway must not use, with the time since when.
	unusableSince  map[dispatch.NodeID]time.Duration
	endpointsStale bool // the gateway restarted with an old endpoint list
	counts         moveCounts
	checker        checker

	coverage *Coverage // nil: not counted
	log      func(format string, args ...any)
}

// moveCounts counts the moves whose number a scenario limits, or holds the limits.
type moveCounts struct {
	drains          int
	removes         int
	adds            int // of nodes
	nodeRestarts    int
	gatewayRestarts int
	cancels         int
	failedDials     int
	resets          int // with a request at the node
	closes          int // by the node, without a request at it
	errors          int // responses with status 500
	rejects         int // responses with status 503
	invalids        int // responses
	streams         int // of responses
	bodyStreams     int // of requests
}

// node is a storage node.
type node struct {
	nodeSpec
	state   dispatch.NodeState
	listed  bool
	started time.Duration
}

// endpoint returns a node's entry in the endpoint list.
func (n *node) endpoint(s dispatch.NodeState) forwarder.Node {
	return forwarder.Node{
		Addr: string(n.id),
		Node: dispatch.Node{ID: n.id, Shard: n.shard, State: s, Started: n.started},
	}
}

// request is a client's request.
type request struct {
	requestSpec
	id               dispatch.RequestID
	started          bool
	deadline         time.Duration // of its response
	onLoop           bool          // the event loop serves it
	canceled         bool
	responses        int
	outcome          string // one of the outcome constants; "" before the end
	headersForwarded bool
	bodyStreaming    bool
	bodySent         bool
	sendingBody      bool
	attempts         int   // sent
	conn             *conn // of its attempt in flight
	ambiguous        bool  // it may have been executed
	ambiguousSince   time.Duration
	quiescentAt      time.Duration // no later request of its key may be sent before
}

// finished reports whether a request has its response, or needs none.
func (r *request) finished() bool { return r.responses > 0 || r.canceled }

// unfinished reports whether a request was started and is not finished.
func (r *request) unfinished() bool { return r.started && !r.finished() }

// responseDue reports whether a response must start by the deadline. That is not so once it
// has started, and while a body streams, which may take any time.
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
	request  *request // that it carries, until its response is taken
	atNode   bool     // the node has a request without a complete response
	partial  bool     // the node has sent the start of its response
	unusable bool     // it must carry no further request
}

// sendingBody reports whether the connection is still sending its request's body.
func (c *conn) sendingBody() bool {
	return c.request != nil && c.request.sendingBody && !c.request.bodySent
}

// newWorld returns a world at its start.
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

// startGateway starts a gateway with an endpoint list of a kind.
func (w *World) startGateway(kind dispatch.EndpointUpdateKind) {
	f, err := forwarder.New(w.cfg)
	if err != nil {
		panic("modelcheck: invalid scenario: " + err.Error())
	}
	w.fwd = f
	w.wakeAt = math.MaxInt64
	w.checker.reset()
	w.handle(w.endpointList(kind), noLoop)
	w.runLoops()
}

// endpointList returns the endpoint list: as it was at the start for the kind Cached, else
// as it is now.
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

// noteEndpoints notes which nodes the gateway must not use from now on.
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

func (w *World) recordUnusable(id dispatch.NodeID) {
	if _, known := w.unusableSince[id]; !known {
		w.unusableSince[id] = w.now
	}
}

func (w *World) class(r *request) *dispatch.Class { return &w.cfg.Dispatch.Classes[r.class] }

func (w *World) requestByID(id dispatch.RequestID) *request {
	for _, r := range w.requests {
		if r.id == id {
			return r
		}
	}
	return nil
}
