package gateway

import (
	"time"

	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/upstreamhttp"
)

// maxGates is from how many gates on a worker on those of unlisted nodes are looked for and dropped. A
// connection keeps its gate even when it has been dropped here.
const maxGates = 1024

// nodeGate is the flow control of the responses that stream from one node to a worker: it grants a few
// of them at a time a quantum, by the weights of their volumes.
type nodeGate struct {
	*fairshare.Gate[*nodeConn]
	lastUsed  time.Time
	contended bool // listed in the worker's contended
}

// gate returns a node's gate, and creates it if there is none.
func (w *loopWorker) gate(id dispatch.NodeID) *nodeGate {
	if g := w.gates[id]; g != nil {
		g.lastUsed = w.now()
		return g
	}
	share := w.gateway.cfg.Share
	fairGate, err := fairshare.NewGate[*nodeConn](fairshare.GateConfig{
		Depth:           share.Depth,
		WaitersPerGrant: share.Crowd,
		Quantum:         share.Draw,
		GrantTimeout:    share.Lease.D(),
		Window:          share.Window.D(),
		Flows:           share.Flows,
		FIFO:            share.Order == "arrival",
	})
	if err != nil {
		panic("gateway: " + err.Error()) // cannot happen: the settings were checked
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

func (w *loopWorker) dropIdleGates() {
	for id, g := range w.gates {
		if g.Idle() && w.now().Sub(g.lastUsed) > w.gateway.cfg.Limits.NodeAge.D() {
			delete(w.gates, id)
		}
	}
}

// acquireGrant continues to read a streamed response, once a grant permits it.
func (n *nodeConn) acquireGrant() {
	if n.grant != nil {
		n.conn.Resume()
		return
	}
	n.requestGrant()
	n.worker.issueGrants(n.gate)
}

// requestGrant queues the connection for a grant, unless it has nothing to read.
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

// OnReadable is called when a paused connection has something to read.
func (n *nodeConn) OnReadable(*eventloop.Conn) {
	if n.request != nil && n.reader.State() == upstreamhttp.Streaming && n.grant == nil {
		n.acquireGrant()
	}
}

// renewGrant replaces a grant that is used up, and reports whether the next one was issued at once.
func (n *nodeConn) renewGrant() bool {
	n.conn.Pause()
	n.requestGrant() // before the release, so that this stream competes for the slot
	n.releaseGrant()
	return n.grant != nil
}

// releaseGrant ends the connection's grant, if any, and issues the next.
func (n *nodeConn) releaseGrant() {
	if n.grant == nil {
		return
	}
	n.gate.Done(n.worker.gateway.core.now(), n.grant, n.grantUsed)
	n.grant = nil
	n.grantUsed = 0
	n.worker.issueGrants(n.gate)
}

// issueGrants resumes the connections that are next at a gate, as far as it has slots.
func (w *loopWorker) issueGrants(g *nodeGate) {
	now := w.gateway.core.now()
	for {
		grant, ok := g.NextGrant(now)
		if !ok {
			return
		}
		n := grant.Item
		n.grantRequested = false
		if !n.awaitsGrant() { // its response has ended meanwhile
			g.Done(now, grant, 0)
			continue
		}
		n.grant = grant
		n.grantUsed = 0
		n.lastData = w.now()
		n.conn.Resume()
	}
}

func (n *nodeConn) awaitsGrant() bool {
	return n.grant == nil && n.request != nil && n.conn != nil && n.reader.State() == upstreamhttp.Streaming
}

// nextGrantExpiry returns when the next grant that others wait for expires; false if there is none.
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

// expireGrants pauses the connections whose grants have expired, and issues the next grants.
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
