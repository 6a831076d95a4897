package fairshare

import "time"

// costPerByte is the cost of a byte in a gate's scheduler, in nanoseconds. The scheduler of a
// gate charges flows for bytes only.
const costPerByte = 1

// Gate limits how many streams use a shared resource at a time, such as the link of a node.
// It grants access by weight, with depth-bounded start-time fair queuing (Jin, Chase and
// Kaur 2004).
//
// A Gate is needed if the resource, and not the loop, is the bottleneck. Without it, a
// stream is ready as soon as it receives any data, so that a flow with more streams gets
// more of the resource. With a Gate, each stream waits for a grant. A stream keeps its grant
// while it has nothing to read for a moment. Because the other streams are held back, the
// resource's capacity goes to the streams with grants.
//
// A grant expires, so that a stream that is slow for other reasons does not keep its slot.
// The flow still pays for the whole grant, because the slot was occupied. Data for streams
// without a grant collects in their socket buffers. If many streams are slow, these buffers
// could fill up before the streams get grants. The depth therefore grows with the number of
// waiting streams, so that no stream waits longer than WaitersPerGrant times GrantTimeout.
//
// A Gate is not safe for concurrent use.
type Gate[T any] struct {
	cfg         GateConfig
	sched       *Scheduler[T]
	outstanding int         // number of grants that have not ended
	grants      []*Grant[T] // grants in the order of their expiry; some may have ended
}

// Grant permits a stream to move GateConfig.Quantum bytes.
type Grant[T any] struct {
	Item    T
	flow    *Flow[T] // nil once the grant has ended
	expires time.Duration
}

// NewGate returns a Gate without waiting streams. If a setting is invalid, the error is a
// *ConfigError.
func NewGate[T any](c GateConfig) (*Gate[T], error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	sched, err := New[T](Config{ByteTime: costPerByte, Window: c.Window, Flows: c.Flows, FIFO: c.FIFO}, 0)
	if err != nil {
		return nil, err
	}
	return &Gate[T]{cfg: c, sched: sched}, nil
}

// Request queues a stream for a grant, in the flow with the given name. It ignores the rate
// limit in c, because the loop's own Scheduler enforces rate limits.
func (g *Gate[T]) Request(now time.Duration, name string, c FlowConfig, item T) {
	c.Rate = 0
	f := g.sched.Flow(now, name, c, nil)
	if f.config.Weight != c.normalized().Weight && f != g.sched.overflow {
		g.sched.Configure(now, f, c)
	}
	g.sched.Push(now, f, item)
}

// NextGrant returns a grant for the next stream by weight. It returns false if no stream is
// waiting or all slots are taken. It charges the flow for the whole quantum at once, so that
// outstanding grants count when the next stream is chosen.
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

// Done ends a grant after its stream has moved the given number of bytes. It refunds the
// charge for the rest of the quantum. Done has no effect on a grant that has already ended.
func (g *Gate[T]) Done(now time.Duration, grant *Grant[T], bytes int) {
	if grant.flow == nil {
		return
	}
	g.sched.Charge(now, grant.flow, Cost{Bytes: bytes - g.cfg.Quantum})
	g.end(grant)
}

// Expired ends and returns a grant that has expired. It returns false if there is none. The
// flow is not refunded for an expired grant.
func (g *Gate[T]) Expired(now time.Duration) (*Grant[T], bool) {
	g.dropEnded()
	if len(g.grants) == 0 || g.grants[0].expires > now {
		return nil, false
	}
	grant := g.grants[0]
	g.end(grant)
	return grant, true
}

// end frees the slot of a grant.
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

// NextWake returns when the next grant expires. It returns false if no stream is waiting for
// the slot of that grant.
func (g *Gate[T]) NextWake() (time.Duration, bool) {
	if g.sched.Len() == 0 || len(g.grants) == 0 {
		return 0, false
	}
	return g.grants[0].expires, true
}

// Idle reports whether no stream is waiting and no grant is outstanding.
func (g *Gate[T]) Idle() bool { return g.sched.Len() == 0 && g.outstanding == 0 }

// Flows calls visit for each flow of the gate.
func (g *Gate[T]) Flows(visit func(*Flow[T])) { g.sched.Flows(visit) }
