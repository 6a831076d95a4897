package gateway

import (
	"time"

	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/upstreamhttp"
)

// maxGates is a soft limit on the number of a worker's gates. Before a worker that has this many gates
// adds another, it drops the gates that are idle and unused for limits.node_age, such as those of nodes
// that are no longer listed. A connection keeps its gate even if the worker has dropped the gate.
const maxGates = 1024

// nodeGate is the flow control of the responses that stream from one node to a worker. It lets a few
// responses stream at a time. Each grant covers a quantum of bytes, and the gate shares the grants
// among volumes by their weights.
type nodeGate struct {
	*fairshare.Gate[*nodeConn]
	lastUsed  time.Time
	contended bool // the gate is in the worker's list contendedGates
}

// gateOf returns the gateOf of a node. It creates the gateOf if the node has none.
func (w *loopWorker) gateOf(id dispatch.NodeID) *nodeGate {
	if g := w.gates[id]; g != nil {
		g.lastUsed = w.now()
		return g
	}
	share := w.gateway.cfg.FairSharing
	fairGate, err := fairshare.NewGate[*nodeConn](fairshare.GateConfig{
		Depth:           share.Depth,
		WaitersPerGrant: share.WaitersPerGrant,
		Quantum:         share.GrantBytes,
		GrantTimeout:    share.GrantTimeout.D(),
		Window:          share.Window.D(),
		Flows:           share.Flows,
		FIFO:            share.Order == "arrival",
	})
	if err != nil {
		panic("gateway: " + err.Error()) // cannot happen: loading the settings validates these values
	}
	if w.gates == nil {
		w.gates = map[dispatch.NodeID]*nodeGate{}
	}
	if len(w.gates) >= maxGates {
		w.dropIdleGates()
	}
	g := &nodeGate{Gate: fairGate, lastUsed: w.now()}
	w.gates[id] = g
	return g
}

// dropIdleGates drops the gates that are idle and have not been used for limits.node_age.
func (w *loopWorker) dropIdleGates() {
	for id, g := range w.gates {
		if g.Idle() && w.now().Sub(g.lastUsed) > w.gateway.cfg.Limits.NodeAge.D() {
			delete(w.gates, id)
		}
	}
}

// acquireGrant resumes reading a streamed response if the connection holds a grant. Otherwise it
// requests a grant, and reading resumes when the gate issues it.
func (n *nodeConn) acquireGrant() {
	if n.grant != nil {
		n.conn.Resume()
		return
	}
	n.requestGrant()
	n.worker.issueGrants(n.gate)
}

// requestGrant queues the connection at its gate, unless it is already queued or has nothing to
// read. In the latter case OnReadable requests the grant later.
func (n *nodeConn) requestGrant() {
	if n.grantRequested || !n.conn.Readable() {
		return
	}
	n.grantRequested = true
	v := n.worker.chargedVolume(n.request.transaction)
	n.gate.Request(n.worker.gateway.core.now(), v.name, v.flowConfig, n)
	if !n.gate.contended {
		n.gate.contended = true
		n.worker.contendedGates = append(n.worker.contendedGates, n.gate)
	}
}

// OnReadable is called when data arrives on a paused connection that had nothing to read. It
// requests a grant for a streamed response.
func (n *nodeConn) OnReadable(*eventloop.Conn) {
	if n.request != nil && n.reader.State() == upstreamhttp.Streaming && n.grant == nil {
		n.acquireGrant()
	}
}

// renewGrant exchanges a grant whose quantum is used up for a new one. It reports whether the gate
// issued the new grant at once.
func (n *nodeConn) renewGrant() bool {
	n.conn.Pause()
	n.requestGrant() // requested before the release, so this stream competes for the free slot
	n.releaseGrant()
	return n.grant != nil
}

// releaseGrant ends the connection's grant, if it holds one, and issues the gate's next grants.
func (n *nodeConn) releaseGrant() {
	if n.grant == nil {
		return
	}
	n.gate.Done(n.worker.gateway.core.now(), n.grant, n.grantUsed)
	n.grant = nil
	n.grantUsed = 0
	n.worker.issueGrants(n.gate)
}

// issueGrants issues grants to the connections queued at a gate until the gate has no free slot, and
// resumes these connections.
func (w *loopWorker) issueGrants(g *nodeGate) {
	now := w.gateway.core.now()
	for {
		grant, ok := g.NextGrant(now)
		if !ok {
			return
		}
		n := grant.Item
		n.grantRequested = false
		if !n.awaitsGrant() { // the response ended while the connection was queued
			g.Done(now, grant, 0)
			continue
		}
		n.grant = grant
		n.grantUsed = 0
		n.lastData = w.now()
		n.conn.Resume()
	}
}

// awaitsGrant reports whether the connection streams a response and holds no grant.
func (n *nodeConn) awaitsGrant() bool {
	return n.grant == nil && n.request != nil && n.conn != nil && n.reader.State() == upstreamhttp.Streaming
}

// nextGrantExpiry returns the earliest expiry of a grant at a gate where other streams wait. It
// returns false if no stream waits at any gate.
func (w *loopWorker) nextGrantExpiry() (time.Duration, bool) {
	var first time.Duration
	found := false
	kept := w.contendedGates[:0]
	for _, g := range w.contendedGates {
		at, ok := g.NextWake()
		g.contended = ok
		if !ok {
			continue
		}
		if !found || at < first {
			first, found = at, true
		}
		kept = append(kept, g)
	}
	clear(w.contendedGates[len(kept):])
	w.contendedGates = kept
	return first, found
}

// expireGrants pauses the connections whose grants have expired, queues them for new grants, and
// issues the next grants of each gate.
func (w *loopWorker) expireGrants(now time.Duration) {
	for _, g := range w.contendedGates {
		for grant, ok := g.Expired(now); ok; grant, ok = g.Expired(now) {
			if n := grant.Item; n.grant == grant {
				n.grant = nil
				n.grantUsed = 0
				n.conn.Pause()
				n.requestGrant()
			}
		}
		w.issueGrants(g)
	}
}
