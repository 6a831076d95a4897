package fairshare

import "time"

// bytePrice is the cost of a byte behind a gate, where bytes alone count, in nanoseconds.
const bytePrice = 1

// Gate bounds how many streams use a shared resource at a time, such as the link of a node, by
// start-time fair queuing with a depth (Jin, Chase and Kaur 2004). Where that resource is the
// bottleneck and not the loop, streams that are not gated appear ready as soon as they receive
// anything, so that a flow with more streams gets more of the resource. Behind a gate they wait for
// a grant, by weight. A stream keeps its grant while it has nothing to read for a moment:
// the resource's capacity goes to the streams with grants, once the others are
// held back.
//
// A grant expires, so that a stream that is slow for other reasons does not keep it, and is then
// charged in full, since the slot was occupied. Data for streams without a grant collects in their
// socket buffers meanwhile. With many slow streams those buffers can fill up before it is
// a grant; so the depth grows with the number of waiting streams, and each waits for
// WaitersPerGrant times GrantTimeout at most.
//
// It is not safe for concurrent use.
type Gate[T any] struct {
	cfg         GateConfig
	sched       *Scheduler[T]
	outstanding int         // grants that have not ended
	grants      []*Grant[T] // in the order of their expiry; may contain ended ones
}

// Grant permits a stream to move GateConfig.Quantum bytes.
type Grant[T any] struct {
	Item    T
	flow    *Flow[T] // nil once the grant has ended
	expires time.Duration
}

// NewGate returns a gate. The error is a *ConfigError.
func NewGate[T any](c GateConfig) (*Gate[T], error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	sched, err := New[T](Config{ByteTime: bytePrice, Window: c.Window, Flows: c.Flows, FIFO: c.FIFO}, 0)
	if err != nil {
		return nil, err
	}
	return &Gate[T]{cfg: c, sched: sched}, nil
}

// Request queues a stream for a grant in the flow of the given name. The rate limit of c is not
// used: limits are enforced on the loop.
func (g *Gate[T]) Request(now time.Duration, name string, c FlowConfig, item T) {
	c.Rate = 0
	f := g.sched.Flow(now, name, c, nil)
	if f.config.Weight != c.normalized().Weight && f != g.sched.overflow {
		g.sched.Configure(now, f, c)
	}
	g.sched.Push(now, f, item)
}

// NextGrant returns a grant for the stream that is next by weight; false if none is waiting or all
// slots are taken. The flow is charged for the whole quantum at once, so that outstanding
// grants count when the next is chosen.
func (g *Gate[T]) NextGrant(now time.Duration) (*Grant[T], bool) {
	if g.outstanding >= g.cfg.Depth+g.sched.Len()/g.cfg.WaitersPerGrant {
		return nil, false
	}
	item, f, ok := g.sched.Next(now)
	if !ok {
		return nil, false
	}
	g.sched.Done(now, f, Cost{Bytes: g.cfg.Quantum})
	grant := &Grant[T]{Item: item, flow: f, expires: now + g.cfg.GrantTimeout}
	g.outstanding++
	g.grants = append(g.grants, grant)
	return grant, true
}

// Done ends a grant under which the stream has moved the given number of bytes, and gives back the
// charge for the rest of the quantum. Ending a grant twice has no effect.
func (g *Gate[T]) Done(now time.Duration, grant *Grant[T], bytes int) {
	if grant.flow == nil {
		return
	}
	g.sched.Charge(now, grant.flow, Cost{Bytes: bytes - g.cfg.Quantum})
	g.end(grant)
}

// Expired ends and returns a grant whose time has passed; false if there is none. It stays
// charged in full.
func (g *Gate[T]) Expired(now time.Duration) (*Grant[T], bool) {
	g.dropEnded()
	if len(g.grants) == 0 || g.grants[0].expires > now {
		return nil, false
	}
	grant := g.grants[0]
	g.end(grant)
	return grant, true
}

func (g *Gate[T]) end(grant *Grant[T]) {
	grant.flow = nil
	g.outstanding--
	g.dropEnded()
}

// dropEnded removes ended grants from the front of the list.
func (g *Gate[T]) dropEnded() {
	for len(g.grants) > 0 && g.grants[0].flow == nil {
		g.grants[0] = nil
		g.grants = g.grants[1:]
	}
	if len(g.grants) == 0 {
		g.grants = nil
	}
}

// NextWake returns when the next grant expires; false if no stream is waiting for its slot.
func (g *Gate[T]) NextWake() (time.Duration, bool) {
	if g.sched.Len() == 0 || len(g.grants) == 0 {
		return 0, false
	}
	return g.grants[0].expires, true
}

// Idle reports whether no stream is waiting and no grant is outstanding.
func (g *Gate[T]) Idle() bool { return g.sched.Len() == 0 && g.outstanding == 0 }

// Flows calls visit for each flow.
func (g *Gate[T]) Flows(visit func(*Flow[T])) { g.sched.Flows(visit) }
