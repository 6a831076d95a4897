package gateway

import (
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/upstreamhttp"
	"time"
)

// nodeGate is the way to one node for the answers that stream on a lane.
type nodeGate struct {
	*fairshare.Gate[*nodeConn]
	lastUsed  time.Time
	contended bool // in the lane's list
}

// gate finds or makes a node's gate. Those of nodes that are gone are forgotten when
// there are many.
func (l *loopWorker) gate(id dispatch.NodeID) *nodeGate {
	if g := l.gates[id]; g != nil {
		g.lastUsed = l.now()
		return g
	}
	x := l.gateway.cfg.Share
	s, err := fairshare.NewGate[*nodeConn](fairshare.GateConfig{
		Depth:           x.Depth,
		WaitersPerGrant: x.Crowd,
		Quantum:         x.Draw,
		GrantTimeout:    x.Lease.D(),
		Window:          x.Window.D(),
		Flows:           x.Flows,
		FIFO:            x.Order == "arrival",
	})
	if err != nil {
		panic("gateway: " + err.Error()) // cannot happen: the settings were checked, and loops have the same
	}
	if l.gates == nil {
		l.gates = map[dispatch.NodeID]*nodeGate{}
	}
	if len(l.gates) >= maxGates {
		for id, g := range l.gates {
			if g.Idle() && l.now().Sub(g.lastUsed) > l.gateway.cfg.Limits.NodeAge.D() {
				delete(l.gates, id)
			}
		}
	}
	g := &nodeGate{Gate: s, lastUsed: l.now()}
	l.gates[id] = g
	return g
}

// maxGates is how many gates a lane keeps without looking for old ones. An idle
// connection holds its gate whatever becomes of it here.
const maxGates = 1024

// acquireGrant asks for leave to go on with an answer that streams.
func (k *nodeConn) acquireGrant() {
	if k.grant != nil {
		k.conn.Resume()
		return
	}
	k.requestGrant()
	k.worker.grant(k.gate)
}

func (k *nodeConn) requestGrant() {
	if k.grantRequested || !k.conn.Readable() {
		return // one that has nothing to move takes no place
	}
	k.grantRequested = true
	v := k.worker.chargedVolume(k.request.transaction)
	k.gate.Request(k.worker.gateway.core.now(), v.name, v.flowConfig, k)
	if !k.gate.contended {
		k.gate.contended = true
		k.worker.contended = append(k.worker.contended, k.gate)
	}
}

// OnReadable lets a stream ask whose next bytes are there.
func (k *nodeConn) OnReadable(*eventloop.Conn) {
	if k.request != nil && k.reader.State() == upstreamhttp.Streaming && k.grant == nil {
		k.acquireGrant()
	}
}

// renewGrant gives a lease that is used up back and asks for another; it tells whether
// there is one at once.
func (k *nodeConn) renewGrant() bool {
	k.conn.Pause()
	k.requestGrant() // first, so that its own turn is among those that are chosen from
	k.releaseGrant()
	return k.grant != nil
}

// releaseGrant ends a lease, and lets another stream draw.
func (k *nodeConn) releaseGrant() {
	if k.grant == nil {
		return
	}
	k.gate.Done(k.worker.gateway.core.now(), k.grant, k.grantUsed)
	k.grant, k.grantUsed = nil, 0
	k.worker.grant(k.gate)
}

// grant lets those draw whose turn it is.
func (l *loopWorker) grant(g *nodeGate) {
	now := l.gateway.core.now()
	for {
		lease, ok := g.NextGrant(now)
		if !ok {
			return
		}
		k := lease.Item
		k.grantRequested = false
		if k.grant != nil || k.request == nil || k.conn == nil || k.reader.State() != upstreamhttp.Streaming { // it has ended meanwhile
			g.Done(now, lease, 0)
			continue
		}
		k.grant, k.grantUsed, k.lastData = lease, 0, l.now()
		k.conn.Resume()
	}
}

// nextGrantExpiry returns when the next place at a gate becomes free by time.
func (l *loopWorker) nextGrantExpiry() (time.Duration, bool) {
	var first time.Duration
	any, n := false, 0
	for _, g := range l.contended {
		at, ok := g.NextWake()
		if g.contended = ok; !ok {
			continue
		}
		if !any || at < first {
			first, any = at, true
		}
		l.contended[n] = g
		n++
	}
	clear(l.contended[n:])
	l.contended = l.contended[:n]
	return first, any
}

// expireGrants ends those that have had their time, and gives leave to those who wait.
func (l *loopWorker) expireGrants(now time.Duration) {
	for _, g := range l.contended {
		for lease, ok := g.Expired(now); ok; lease, ok = g.Expired(now) {
			if k := lease.Item; k.grant == lease {
				k.grant, k.grantUsed = nil, 0
				k.conn.Pause()
				k.requestGrant()
			}
		}
		l.grant(g)
	}
}
