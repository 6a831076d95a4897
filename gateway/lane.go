package gateway

import (
	"chalkstand/accounts"
	"chalkstand/choice"
	"chalkstand/exchange"
	"chalkstand/internal/netloop"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/upstream"
	"chalkstand/share"
	"time"

	"golang.org/x/sys/unix"
)

// lane is one event loop with all that runs on it: clients, their requests, and
// connections to nodes. Everything but acts and woken is touched on the loop only.
type lane struct {
	g     *Gateway
	index exchange.Lane
	loop  *netloop.Loop

	calls   map[choice.RequestID]*call
	conns   map[exchange.ConnID]*nodeConn
	clients map[*clientConn]struct{}
	volumes map[string]*volume
	gates   map[choice.NodeID]*gate
	crowded []*gate // where somebody waits, or did a moment ago
	strange *volume // stands for that of connections that have not spoken for one yet
	house   *volume // stands for what belongs to none
	resting restingClients
	leaving map[choice.RequestID]*call // dropped here, not yet accounted for
	batch   accounts.Batch             // on its way to the books
	behind  []netloop.Turns            // scratch
	scratch []byte
	swept   time.Time // of the last sweep: the coarse clock of connections
	date    string    // for answers
	dateAt  int64

	acts      []exchange.Action // under core.mu
	woken     bool              // under core.mu
	spare     []exchange.Action
	following bool
}

func newLane(g *Gateway, loop *netloop.Loop) *lane {
	l := &lane{
		g: g, index: exchange.Lane(loop.Index), loop: loop, calls: map[choice.RequestID]*call{},
		conns: map[exchange.ConnID]*nodeConn{}, clients: map[*clientConn]struct{}{}, volumes: map[string]*volume{}, leaving: map[choice.RequestID]*call{}, swept: time.Now(),
	}
	l.strange = &volume{name: "(newcomers)", terms: share.Terms{Weight: g.cfg.Share.Newcomers}, over: l.newOverload()}
	l.strange.flow = loop.Flow(l.strange.name, l.strange.terms, g.shares.account(l.strange.name, g.cfg))
	loop.Alarm(l.nextAlarm, l.ring)
	l.house = &volume{name: "(gateway)", terms: share.Terms{Weight: 1}}
	l.house.flow = loop.Flow(l.house.name, l.house.terms, nil)
	return l
}

func (l *lane) tell(ev exchange.Event) { l.g.core.tell(l, ev) }

// follow does what the exchange decided for this lane, in order. Called again from
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

func (l *lane) do(a exchange.Action) {
	switch a := a.(type) {
	case exchange.Dial:
		l.dial(a)
	case exchange.Send:
		if k, c := l.conns[a.Conn], l.calls[a.ID]; k != nil && c != nil {
			k.send(c, a)
		}
	case exchange.Close:
		if k := l.conns[a.Conn]; k != nil {
			delete(l.conns, a.Conn)
			k.shut()
		}
	case exchange.Deliver:
		if c := l.take(a.ID); c != nil {
			r := result{kind: failed}
			if k := l.conns[a.Conn]; k != nil {
				r = k.handOver()
			}
			c.done(r)
		}
	case exchange.Accounted:
		l.accounted(a)
	case exchange.Drop:
		if k := l.conns[a.Conn]; k != nil {
			k.handOver()
		}
	case exchange.Refuse:
		l.g.metrics.refused.Inc()
		if c := l.take(a.ID); c != nil {
			c.done(result{kind: refused, after: a.After})
		}
	case exchange.Fail:
		l.g.metrics.failed.Inc()
		if c := l.take(a.ID); c != nil {
			c.done(result{kind: failed, late: a.Late})
		}
	case exchange.Cut:
		l.g.metrics.cut.Inc()
		if c := l.take(a.ID); c != nil {
			c.done(result{kind: cut})
		}
	}
}

// take removes a call that has its end.
func (l *lane) take(id choice.RequestID) *call {
	c := l.calls[id]
	if c != nil {
		delete(l.calls, id)
		c.over = true
	}
	return c
}

// begin hands a call to the exchange. Its answer may come before begin returns.
func (l *lane) begin(c *call, r choice.Request) {
	c.id = choice.RequestID(l.g.nextID.Add(1))
	r.ID = c.id
	c.lane = l
	l.calls[c.id] = c
	l.tell(exchange.Begin{Request: r, Lane: l.index, Once: c.source != nil})
}

// drop ends a call that nobody waits for.
func (l *lane) drop(c *call) {
	if c == nil || c.over || c.lane == nil {
		return
	}
	l.leave(c)
	e := exchange.Gone{ID: c.id}
	if c.reads { // it pays for what it used
		e.Units = l.g.tariff.Of(objectapi.GetObject, c.passed).Units
	}
	l.tell(e)
}

// leave removes a call whose answer nobody waits for. The exchange has yet to hear
// of it, and to account for it.
func (l *lane) leave(c *call) {
	if l.take(c.id) != nil && l.g.books != nil {
		l.leaving[c.id] = c
	}
}

func (l *lane) dial(a exchange.Dial) {
	k := &nodeConn{id: a.Conn, lane: l, gate: l.gateOf(a.Node), r: upstream.Reader{Limits: l.nodeLimits()}}
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
				k.c.Assign(l.house.flow)
				k.c.Receive(l.g.cfg.Share.Receive)
			}
		}
		if err != nil {
			delete(l.conns, a.Conn)
		}
		l.tell(exchange.Dialed{Conn: a.Conn, OK: err == nil})
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
	k.Starts(true)
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
	l.loop.Retry()
}

// closeIdle closes the connections of clients that have nothing in hand.
func (l *lane) closeIdle() {
	for c := range l.clients {
		if c.state == reading && c.c.Pending() == 0 && c.c.Kept() == 0 {
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
