package modelcheck

import (
	"math"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// apply executes a move. The move must be one that enabledMoves returns.
func (w *World) apply(m Move) {
	if w.log != nil {
		w.log("%v  %s", w.now-startTime, w.moveText(m))
	}
	switch m.Kind.target() {
	case requestTarget:
		w.applyToRequest(m.Kind, w.requests[m.Target-1])
	case connTarget:
		w.applyToConn(m.Kind, w.conns[forwarder.ConnID(m.Target)])
	case nodeTarget:
		w.applyToNode(m.Kind, &w.nodes[m.Target])
	default:
		w.applyToGateway(m.Kind)
	}
	w.checkOrphans()
}

func (w *World) applyToGateway(kind MoveKind) {
	switch kind {
	case RunLoop0:
		w.runLoop(0)
	case RunLoop1:
		w.runLoop(1)
	case FireTimer:
		w.wakeAt = math.MaxInt64
		w.handle(forwarder.TimerFired{}, noLoop)
	case RestartGateway:
		w.restartGateway()
	case RefreshEndpoints:
		w.endpointsStale = false
		w.handle(w.endpointList(dispatch.Snapshot), noLoop)
	case ShutDownGateway:
		w.shutDownGateway()
	case AdvanceBefore:
		w.now = justBefore(w.nextDeadline())
	case AdvanceTo:
		w.now = w.nextDeadline()
		w.checkDeadlines()
	}
}

func (w *World) applyToRequest(kind MoveKind, r *request) {
	switch kind {
	case StartRequest:
		w.startRequest(r)
	case CancelRequest:
		w.counts.cancels++
		r.canceled = true
		r.onLoop = false
		r.outcome = outcomeCanceled
		w.handle(forwarder.ClientCanceled{ID: r.id}, r.loop)
	case StreamBody:
		w.counts.bodyStreams++
		r.bodyStreaming = true
		w.handle(forwarder.BodyStreaming{ID: r.id}, r.loop)
	case FinishBody:
		r.bodySent = true
		if r.bodyStreaming {
			r.deadline = max(r.deadline, w.now+w.class(r).Deadline)
		}
		w.handle(forwarder.BodySent{ID: r.id}, r.loop)
	}
}

func (w *World) startRequest(r *request) {
	if w.firstArrival == 0 {
		w.firstArrival = w.now
	}
	timeout := w.class(r).Deadline
	r.started = true
	r.onLoop = true
	r.deadline = w.now + timeout
	w.recordArrival(r)
	w.handle(forwarder.StartRequest{
		NotReplayable: r.notReplayable,
		Loop:          r.loop,
		Request: dispatch.Request{
			ID:          r.id,
			Class:       r.class,
			Volume:      "v",
			Key:         r.key,
			Shard:       r.shard,
			Units:       1,
			Dispatchers: 1,
			Timeout:     timeout,
		},
	}, r.loop)
}

func (w *World) applyToConn(kind MoveKind, c *conn) {
	switch kind {
	case CompleteDial:
		c.open = true
		w.handle(forwarder.DialCompleted{Conn: c.id, OK: true}, c.loop)
	case FailDial:
		w.counts.failedDials++
		delete(w.conns, c.id)
		w.handle(forwarder.DialCompleted{Conn: c.id}, c.loop)
	case ResetConn:
		if c.atNode {
			w.counts.resets++
		} else {
			w.counts.closes++
		}
		w.loseConn(c)
	default:
		w.respond(kind, c)
	}
}

// respond simulates a node that sends the bytes for a kind of response on a connection.
func (w *World) respond(kind MoveKind, c *conn) {
	switch kind {
	case RespondAndClose:
		w.counts.closes++
		c.unusable = true // the node closes the connection after this response
	case RespondError:
		w.counts.errors++
	case RespondReject:
		w.counts.rejects++
	case RespondStart:
		w.counts.streams++
		c.partial = true
	case RespondInvalid, RespondTwice:
		w.counts.invalids++
	}
	if kind != RespondStart {
		c.atNode = false
		c.partial = false
	}
	w.recordResponse(kind, c)
	if c.request == nil {
		c.unusable = true // the node has sent bytes although the connection carries no request
	}
	w.receive(c, []byte(responseText[kind]))
}

// applyToNode changes the state of a node and reports the change to the gateway.
func (w *World) applyToNode(kind MoveKind, n *node) {
	switch kind {
	case DrainNode:
		w.counts.drains++
		n.state = dispatch.Draining
	case RemoveNode:
		w.counts.removes++
		n.state = dispatch.Removed
	case AddNode:
		w.counts.adds++
		n.listed = true
		n.started = w.now
	case RestartNode:
		w.counts.nodeRestarts++
		n.started = max(w.now, n.started+1) // the gateway tells two processes apart by their start times
	}
	if w.endpointsStale { // a later RefreshEndpoints move reports this change
		return
	}
	if kind == RestartNode {
		w.markIdleConnsUnusable(n.id)
	}
	update := forwarder.EndpointUpdate{Kind: dispatch.Delta, Nodes: []forwarder.Node{n.endpoint(n.state)}}
	w.recordEndpointUpdate(update)
	w.handle(update, noLoop)
}

// restartGateway restarts the gateway with the endpoint list that it had when the scenario
// started. The clients and nodes lose their connections to the gateway.
func (w *World) restartGateway() {
	w.counts.gatewayRestarts++
	w.loopQueues = [loopCount][]forwarder.Action{}
	for _, c := range w.sortedConns() {
		w.recordInterruption(c)
		w.unlinkRequest(c)
		delete(w.conns, c.id)
	}
	for _, r := range w.requests {
		if r.unfinished() {
			r.canceled = true
			r.onLoop = false
		}
	}
	clear(w.unusableSince)
	w.endpointsStale = true
	w.startGateway(dispatch.Cached)
}

// shutDownGateway tells the forwarder of a shutdown, and checks that it answers every request.
func (w *World) shutDownGateway() {
	w.counts.shutdowns++
	w.shuttingDown = true
	w.handle(forwarder.Shutdown{}, noLoop)
	w.checkShutdown()
}

// advanceUntil advances the simulated clock from one timer to the next until a condition holds.
func (w *World) advanceUntil(condition func() bool) {
	for !condition() {
		w.now = max(w.now, w.wakeAt)
		w.apply(Move{Kind: FireTimer})
		w.runLoops()
	}
}
