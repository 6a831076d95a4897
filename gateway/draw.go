package gateway

import (
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/upstreamhttp"
	"time"
)

// gate is the way to one node for the answers that stream on a lane.
type gate struct {
	*fairshare.Gate[*nodeConn]
	used    time.Time
	crowded bool // in the lane's list
}

// gateOf finds or makes a node's gate. Those of nodes that are gone are forgotten when
// there are many.
func (l *lane) gateOf(id dispatch.NodeID) *gate {
	if g := l.gates[id]; g != nil {
		g.used = l.now()
		return g
	}
	x := l.g.cfg.Share
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
		l.gates = map[dispatch.NodeID]*gate{}
	}
	if len(l.gates) >= maxGates {
		for id, g := range l.gates {
			if g.Idle() && l.now().Sub(g.used) > l.g.cfg.Limits.NodeAge.D() {
				delete(l.gates, id)
			}
		}
	}
	g := &gate{Gate: s, used: l.now()}
	l.gates[id] = g
	return g
}

// maxGates is how many gates a lane keeps without looking for old ones. An idle
// connection holds its gate whatever becomes of it here.
const maxGates = 1024

// draw asks for leave to go on with an answer that streams.
func (k *nodeConn) draw() {
	if k.lease != nil {
		k.c.Resume()
		return
	}
	k.ask()
	k.lane.grant(k.gate)
}

func (k *nodeConn) ask() {
	if k.asking || !k.c.Readable() {
		return // one that has nothing to move takes no place
	}
	k.asking = true
	v := k.lane.payer(k.call.t)
	k.gate.Request(k.lane.g.core.now(), v.name, v.terms, k)
	if !k.gate.crowded {
		k.gate.crowded = true
		k.lane.crowded = append(k.lane.crowded, k.gate)
	}
}

// OnReadable lets a stream ask whose next bytes are there.
func (k *nodeConn) OnReadable(*eventloop.Conn) {
	if k.call != nil && k.r.State() == upstreamhttp.Streaming && k.lease == nil {
		k.draw()
	}
}

// giveWay gives a lease that is used up back and asks for another; it tells whether
// there is one at once.
func (k *nodeConn) giveWay() bool {
	k.c.Pause()
	k.ask() // first, so that its own turn is among those that are chosen from
	k.giveBack()
	return k.lease != nil
}

// giveBack ends a lease, and lets another stream draw.
func (k *nodeConn) giveBack() {
	if k.lease == nil {
		return
	}
	k.gate.Done(k.lane.g.core.now(), k.lease, k.drawn)
	k.lease, k.drawn = nil, 0
	k.lane.grant(k.gate)
}

// grant lets those draw whose turn it is.
func (l *lane) grant(g *gate) {
	now := l.g.core.now()
	for {
		lease, ok := g.NextGrant(now)
		if !ok {
			return
		}
		k := lease.Item
		k.asking = false
		if k.lease != nil || k.call == nil || k.c == nil || k.r.State() != upstreamhttp.Streaming { // it has ended meanwhile
			g.Done(now, lease, 0)
			continue
		}
		k.lease, k.drawn, k.moved = lease, 0, l.now()
		k.c.Resume()
	}
}

// nextLease returns when the next place at a gate becomes free by time.
func (l *lane) nextLease() (time.Duration, bool) {
	var first time.Duration
	any, n := false, 0
	for _, g := range l.crowded {
		at, ok := g.NextWake()
		if g.crowded = ok; !ok {
			continue
		}
		if !any || at < first {
			first, any = at, true
		}
		l.crowded[n] = g
		n++
	}
	clear(l.crowded[n:])
	l.crowded = l.crowded[:n]
	return first, any
}

// leases ends those that have had their time, and gives leave to those who wait.
func (l *lane) leases(now time.Duration) {
	for _, g := range l.crowded {
		for lease, ok := g.Expired(now); ok; lease, ok = g.Expired(now) {
			if k := lease.Item; k.lease == lease {
				k.lease, k.drawn = nil, 0
				k.c.Pause()
				k.ask()
			}
		}
		l.grant(g)
	}
}
