package fairshare

import (
	"fmt"
	"time"
)

// GateConfig holds the settings of a gate.
type GateConfig struct {
	Depth   int           // streams that move at a time
	Crowd   int           // one more for each so many that wait
	Quantum int           // bytes that one moves before it gives way
	Lease   time.Duration // after which it gives way at the latest
	Window  time.Duration // of time, a nanosecond a byte, by which a flow can be behind
	Flows   int
	Arrival bool
}

// Gate bounds how many streams draw on one thing at a time, such as the link of a node:
// start-time fair queuing with a depth (Jin, Chase and Kaur 2004). Where that thing, not
// the loop, is scarce, all that wait for it seem ready as soon as they get some, and
// whoever has more streams has more of it; behind a gate they wait here, where weights
// count. A stream that has leave keeps its place though nothing has come for a moment:
// what the thing can do is on its way to it, once those without leave are held back.
//
// A stream that is slow for reasons of its own would keep its place for long. So a lease
// ends, and is charged in full: the place was taken. Meanwhile what others are sent gathers
// in their buffers. It may do harm where so many slow streams wait that their buffers fill
// before their turns; the depth grows with the crowd, so that a round of turns is Crowd
// leases long at most.
type Gate[T any] struct {
	c      GateConfig
	s      *Scheduler[T]
	out    int
	leases []*Grant[T] // by when they were given
}

// Grant is a stream's leave to move a quantum.
type Grant[T any] struct {
	Item  T
	flow  *Flow[T] // nil: ended
	until time.Duration
}

// NewGate returns a gate.
func NewGate[T any](c GateConfig) (*Gate[T], error) {
	switch {
	case c.Depth < 1:
		return nil, fmt.Errorf("fairshare: a depth of %d, want 1 or more", c.Depth)
	case c.Crowd < 1:
		return nil, fmt.Errorf("fairshare: a crowd of %d, want 1 or more", c.Crowd)
	case c.Quantum < 1:
		return nil, fmt.Errorf("fairshare: a quantum of %d bytes, want 1 or more", c.Quantum)
	case c.Lease <= 0:
		return nil, fmt.Errorf("fairshare: a lease of %v, want more than nothing", c.Lease)
	}
	s, err := New[T](Config{ByteTime: 1, Window: c.Window, Flows: c.Flows, Arrival: c.Arrival}, 0)
	if err != nil {
		return nil, err
	}
	return &Gate[T]{c: c, s: s}, nil
}

// Request has a stream of a flow wait for its leave.
func (g *Gate[T]) Request(now time.Duration, name string, t FlowConfig, item T) {
	t.Rate = 0 // what a limit in bytes is kept by, is the loop
	f := g.s.Flow(now, name, t, nil)
	if f.terms.Weight != t.valid().Weight && f != g.s.others {
		g.s.Configure(now, f, t)
	}
	g.s.Push(now, f, item)
}

// NextGrant gives leave to the stream whose turn it is, if there is a place. It is charged
// for the quantum at once, so that those beside it are chosen by what is out too.
func (g *Gate[T]) NextGrant(now time.Duration) (*Grant[T], bool) {
	if g.out >= g.c.Depth+g.s.Len()/g.c.Crowd {
		return nil, false
	}
	item, f, ok := g.s.Next(now)
	if !ok {
		return nil, false
	}
	g.s.Done(now, f, Cost{Bytes: g.c.Quantum})
	l := &Grant[T]{Item: item, flow: f, until: now + g.c.Lease}
	g.out++
	g.leases = append(g.leases, l)
	return l, true
}

// Done takes a lease back from a stream that has moved so many bytes under it, and has
// no more to move for now.
func (g *Gate[T]) Done(now time.Duration, l *Grant[T], bytes int) {
	if l.flow == nil {
		return // given back before
	}
	g.s.Charge(now, l.flow, Cost{Bytes: bytes - g.c.Quantum})
	g.end(l)
}

// Expired returns a lease that has ended by time, until there is none. It was charged
// in full.
func (g *Gate[T]) Expired(now time.Duration) (*Grant[T], bool) {
	g.trim()
	if len(g.leases) == 0 || g.leases[0].until > now {
		return nil, false
	}
	l := g.leases[0]
	g.end(l)
	return l, true
}

func (g *Gate[T]) end(l *Grant[T]) {
	l.flow = nil
	g.out--
	g.trim()
}

// trim forgets leases at the front that have ended.
func (g *Gate[T]) trim() {
	for len(g.leases) > 0 && g.leases[0].flow == nil {
		g.leases[0] = nil
		g.leases = g.leases[1:]
	}
	if len(g.leases) == 0 {
		g.leases = nil
	}
}

// NextWake returns when the next place is freed by time, where somebody waits for it.
func (g *Gate[T]) NextWake() (time.Duration, bool) {
	if g.s.Len() == 0 || len(g.leases) == 0 {
		return 0, false
	}
	return g.leases[0].until, true
}

// Idle tells whether nobody waits and nothing is out.
func (g *Gate[T]) Idle() bool { return g.s.Len() == 0 && g.out == 0 }

// Flows calls f for each flow.
func (g *Gate[T]) Flows(f func(*Flow[T])) { g.s.Flows(f) }
