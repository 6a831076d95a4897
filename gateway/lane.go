package gateway

import (
	"chalkstand/attribution"
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/upstreamhttp"
	"time"

	"golang.org/x/sys/unix"
)

// lane is one event loop with all that runs on it: clients, their requests, and
// connections to nodes. Everything but acts and woken is touched on the loop only.
type lane struct {
	g     *Gateway
	index forwarder.LoopID
	loop  *eventloop.Loop

	calls   map[dispatch.RequestID]*call
	conns   map[forwarder.ConnID]*nodeConn
	clients map[*clientConn]struct{}
	volumes map[string]*volume
	gates   map[dispatch.NodeID]*gate
	crowded []*gate // where somebody waits, or did a moment ago
	strange *volume // stands for that of connections that have not spoken for one yet
	house   *volume // stands for what belongs to none
	resting restingClients
	leaving map[dispatch.RequestID]*call // dropped here, not yet accounted for
	batch   attribution.Batch            // on its way to the books
	behind  []eventloop.SliceUsage       // scratch
	scratch []byte
	swept   time.Time // of the last sweep: the coarse clock of connections
	date    string    // for answers
	dateAt  int64

	acts      []forwarder.Action // under core.mu
	woken     bool               // under core.mu
	spare     []forwarder.Action
	following bool
}

func newLane(g *Gateway, loop *eventloop.Loop) *lane {
	l := &lane{
		g: g, index: forwarder.LoopID(loop.Index), loop: loop, calls: map[dispatch.RequestID]*call{},
		conns: map[forwarder.ConnID]*nodeConn{}, clients: map[*clientConn]struct{}{}, volumes: map[string]*volume{}, leaving: map[dispatch.RequestID]*call{}, swept: time.Now(),
	}
	l.strange = &volume{name: "(newcomers)", terms: fairshare.FlowConfig{Weight: g.cfg.Share.Newcomers}, over: l.newOverload()}
	l.strange.flow = loop.Flow(l.strange.name, l.strange.terms, g.shares.account(l.strange.name, g.cfg))
	loop.SetTimer(l.nextAlarm, l.ring)
	l.house = &volume{name: "(gateway)", terms: fairshare.FlowConfig{Weight: 1}}
	l.house.flow = loop.Flow(l.house.name, l.house.terms, nil)
	return l
}

func (l *lane) tell(ev forwarder.Event) { l.g.core.tell(l, ev) }

// follow does what the forwarder decided for this lane, in order. Called again from
// within, it leaves the rest to the first.
func (l *lane) follow() {
	if l.following {
		return
	}
	l.following = true
	for {
		l.g.core.mu.Lock()
		l.woken = false
		acts := l.acts
		l.acts = l.spare[:0]
		l.g.core.mu.Unlock()
		l.spare = acts
		if len(acts) == 0 {
			break
		}
		for i, a := range acts {
			acts[i] = nil
			l.do(a)
		}
	}
	l.following = false
}

func (l *lane) do(a forwarder.Action) {
	switch a := a.(type) {
	case forwarder.Dial:
		l.dial(a)
	case forwarder.SendRequest:
		if k, c := l.conns[a.Conn], l.calls[a.ID]; k != nil && c != nil {
			k.send(c, a)
		}
	case forwarder.CloseConn:
		if k := l.conns[a.Conn]; k != nil {
			delete(l.conns, a.Conn)
			k.shut()
		}
	case forwarder.ForwardResponse:
		if c := l.take(a.ID); c != nil {
			r := result{kind: failed}
			if k := l.conns[a.Conn]; k != nil {
				r = k.handOver()
			}
			c.done(r)
		}
	case forwarder.RequestAttributed:
		l.accounted(a)
	case forwarder.DiscardResponse:
		if k := l.conns[a.Conn]; k != nil {
			k.handOver()
		}
	case forwarder.Reject:
		l.g.metrics.refused.Inc()
		if c := l.take(a.ID); c != nil {
			c.done(result{kind: refused, after: a.RetryAfter})
		}
	case forwarder.Fail:
		l.g.metrics.failed.Inc()
		if c := l.take(a.ID); c != nil {
			c.done(result{kind: failed, late: a.TimedOut})
		}
	case forwarder.AbortResponse:
		l.g.metrics.cut.Inc()
		if c := l.take(a.ID); c != nil {
			c.done(result{kind: cut})
		}
	}
}

// take removes a call that has its end.
func (l *lane) take(id dispatch.RequestID) *call {
	c := l.calls[id]
	if c != nil {
		delete(l.calls, id)
		c.over = true
	}
	return c
}

// begin hands a call to the forwarder. Its answer may come before begin returns.
func (l *lane) begin(c *call, r dispatch.Request) {
	c.id = dispatch.RequestID(l.g.nextID.Add(1))
	r.ID = c.id
	c.lane = l
	l.calls[c.id] = c
	l.tell(forwarder.StartRequest{Request: r, Loop: l.index, NotReplayable: c.source != nil})
}

// drop ends a call that nobody waits for.
func (l *lane) drop(c *call) {
	if c == nil || c.over || c.lane == nil {
		return
	}
	l.leave(c)
	e := forwarder.ClientCanceled{ID: c.id}
	if c.reads { // it pays for what it used
		e.Units = l.g.costs.Cost(objectapi.GetObject, c.passed).Units
	}
	l.tell(e)
}

// leave removes a call whose answer nobody waits for. The forwarder has yet to hear
// of it, and to account for it.
func (l *lane) leave(c *call) {
	if l.take(c.id) != nil && l.g.books != nil {
		l.leaving[c.id] = c
	}
}

func (l *lane) dial(a forwarder.Dial) {
	k := &nodeConn{id: a.Conn, lane: l, gate: l.gateOf(a.Node), r: upstreamhttp.Reader{Limits: l.nodeLimits()}}
	l.conns[a.Conn] = k
	l.loop.Dial(a.Addr, a.Timeout, func(fd int, err error) {
		if l.conns[a.Conn] != k { // given up meanwhile
			if err == nil {
				unix.Close(fd)
			}
			return
		}
		if err == nil {
			if k.c, err = l.loop.Add(fd, k); err == nil {
				k.c.AssignFlow(l.house.flow)
				k.c.SetReceiveBuffer(l.g.cfg.Share.Receive)
			}
		}
		if err != nil {
			delete(l.conns, a.Conn)
		}
		l.tell(forwarder.DialCompleted{Conn: a.Conn, OK: err == nil})
	})
}

func (l *lane) addClient(fd int) {
	c := &clientConn{lane: l, since: time.Now()}
	k, err := l.loop.Add(fd, c)
	if err != nil {
		l.g.open.Add(-1)
		return
	}
	c.c = k
	k.SetStarting(true)
	c.speaksFor(l.strange)
	l.clients[c] = struct{}{}
}

// sweep looks for clients that are idle or slow.
func (l *lane) sweep() {
	now := time.Now()
	l.swept = now
	for c := range l.clients {
		c.check(now)
	}
	for _, k := range l.conns {
		k.check(now)
	}
	l.flushBatch()
	l.loop.RetryAccept()
}

// closeIdle closes the connections of clients that have nothing in hand.
func (l *lane) closeIdle() {
	for c := range l.clients {
		if c.state == reading && c.c.Pending() == 0 && c.c.Buffered() == 0 {
			c.c.Close()
		}
	}
}

// httpDate returns the present time as the Date header has it.
func (l *lane) httpDate() string {
	now := l.g.wall()
	if s := now.Unix(); s != l.dateAt {
		l.dateAt, l.date = s, now.UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT")
	}
	return l.date
}
