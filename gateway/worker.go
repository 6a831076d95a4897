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

// loopWorker is one event loop with all that runs on it: clients, their requests, and
// connections to nodes. Everything but acts and woken is touched on the loop only.
type loopWorker struct {
	gateway *Gateway
	index   forwarder.LoopID
	loop    *eventloop.Loop

	requests     map[dispatch.RequestID]*nodeRequest
	conns        map[forwarder.ConnID]*nodeConn
	clients      map[*clientConn]struct{}
	volumes      map[string]*volume
	gates        map[dispatch.NodeID]*nodeGate
	contended    []*nodeGate // where somebody waits, or did a moment ago
	newcomers    *volume     // stands for that of connections that have not spoken for one yet
	ownVolume    *volume     // stands for what belongs to none
	backoff      backoffQueue
	unattributed map[dispatch.RequestID]*nodeRequest // dropped here, not yet accounted for
	batch        attribution.Batch                   // on its way to the books
	contenders   []eventloop.SliceUsage              // scratch
	scratch      []byte
	coarseNow    time.Time // of the last sweep: the coarse clock of connections
	date         string    // for answers
	dateSecond   int64

	actions      []forwarder.Action // under core.mu
	wakePosted   bool               // under core.mu
	spareActions []forwarder.Action
	applying     bool
}

func newLoopWorker(g *Gateway, loop *eventloop.Loop) *loopWorker {
	l := &loopWorker{
		gateway: g, index: forwarder.LoopID(loop.Index), loop: loop, requests: map[dispatch.RequestID]*nodeRequest{},
		conns: map[forwarder.ConnID]*nodeConn{}, clients: map[*clientConn]struct{}{}, volumes: map[string]*volume{}, unattributed: map[dispatch.RequestID]*nodeRequest{}, coarseNow: time.Now(),
	}
	l.newcomers = &volume{name: "(newcomers)", flowConfig: fairshare.FlowConfig{Weight: g.cfg.Share.Newcomers}, overload: l.newOverloadController()}
	l.newcomers.flow = loop.Flow(l.newcomers.name, l.newcomers.flowConfig, g.usage.shared(l.newcomers.name, g.cfg))
	loop.SetTimer(l.nextTimer, l.onTimer)
	l.ownVolume = &volume{name: "(gateway)", flowConfig: fairshare.FlowConfig{Weight: 1}}
	l.ownVolume.flow = loop.Flow(l.ownVolume.name, l.ownVolume.flowConfig, nil)
	return l
}

func (l *loopWorker) handle(ev forwarder.Event) { l.gateway.core.handle(l, ev) }

// applyActions does what the forwarder decided for this lane, in order. Called again from
// within, it leaves the rest to the first.
func (l *loopWorker) applyActions() {
	if l.applying {
		return
	}
	l.applying = true
	for {
		l.gateway.core.mu.Lock()
		l.wakePosted = false
		acts := l.actions
		l.actions = l.spareActions[:0]
		l.gateway.core.mu.Unlock()
		l.spareActions = acts
		if len(acts) == 0 {
			break
		}
		for i, a := range acts {
			acts[i] = nil
			l.apply(a)
		}
	}
	l.applying = false
}

func (l *loopWorker) apply(a forwarder.Action) {
	switch a := a.(type) {
	case forwarder.Dial:
		l.dial(a)
	case forwarder.SendRequest:
		if k, c := l.conns[a.Conn], l.requests[a.ID]; k != nil && c != nil {
			k.send(c, a)
		}
	case forwarder.CloseConn:
		if k := l.conns[a.Conn]; k != nil {
			delete(l.conns, a.Conn)
			k.close()
		}
	case forwarder.ForwardResponse:
		if c := l.complete(a.ID); c != nil {
			r := nodeResult{kind: resultFailed}
			if k := l.conns[a.Conn]; k != nil {
				r = k.takeResult()
			}
			c.onResult(r)
		}
	case forwarder.RequestAttributed:
		l.requestAttributed(a)
	case forwarder.DiscardResponse:
		if k := l.conns[a.Conn]; k != nil {
			k.takeResult()
		}
	case forwarder.Reject:
		l.gateway.metrics.rejected.Inc()
		if c := l.complete(a.ID); c != nil {
			c.onResult(nodeResult{kind: resultRejected, retryAfter: a.RetryAfter})
		}
	case forwarder.Fail:
		l.gateway.metrics.failed.Inc()
		if c := l.complete(a.ID); c != nil {
			c.onResult(nodeResult{kind: resultFailed, timedOut: a.TimedOut})
		}
	case forwarder.AbortResponse:
		l.gateway.metrics.aborted.Inc()
		if c := l.complete(a.ID); c != nil {
			c.onResult(nodeResult{kind: resultAborted})
		}
	}
}

// complete removes a call that has its end.
func (l *loopWorker) complete(id dispatch.RequestID) *nodeRequest {
	c := l.requests[id]
	if c != nil {
		delete(l.requests, id)
		c.completed = true
	}
	return c
}

// startRequest hands a call to the forwarder. Its answer may come before begin returns.
func (l *loopWorker) startRequest(c *nodeRequest, r dispatch.Request) {
	c.id = dispatch.RequestID(l.gateway.nextID.Add(1))
	r.ID = c.id
	c.worker = l
	l.requests[c.id] = c
	l.handle(forwarder.StartRequest{Request: r, Loop: l.index, NotReplayable: c.source != nil})
}

// cancelRequest ends a call that nobody waits for.
func (l *loopWorker) cancelRequest(c *nodeRequest) {
	if c == nil || c.completed || c.worker == nil {
		return
	}
	l.forget(c)
	e := forwarder.ClientCanceled{ID: c.id}
	if c.readsObject { // it pays for what it used
		e.Units = l.gateway.costs.Of(objectapi.GetObject, c.streamedBytes).Units
	}
	l.handle(e)
}

// forget removes a call whose answer nobody waits for. The forwarder has yet to hear
// of it, and to account for it.
func (l *loopWorker) forget(c *nodeRequest) {
	if l.complete(c.id) != nil && l.gateway.attribution != nil {
		l.unattributed[c.id] = c
	}
}

func (l *loopWorker) dial(a forwarder.Dial) {
	k := &nodeConn{id: a.Conn, worker: l, gate: l.gate(a.Node), reader: upstreamhttp.Reader{Limits: l.httpLimits()}}
	l.conns[a.Conn] = k
	l.loop.Dial(a.Addr, a.Timeout, func(fd int, err error) {
		if l.conns[a.Conn] != k { // given up meanwhile
			if err == nil {
				unix.Close(fd)
			}
			return
		}
		if err == nil {
			if k.conn, err = l.loop.Add(fd, k); err == nil {
				k.conn.AssignFlow(l.ownVolume.flow)
				k.conn.SetReceiveBuffer(l.gateway.cfg.Share.Receive)
			}
		}
		if err != nil {
			delete(l.conns, a.Conn)
		}
		l.handle(forwarder.DialCompleted{Conn: a.Conn, OK: err == nil})
	})
}

func (l *loopWorker) addClient(fd int) {
	c := &clientConn{worker: l, lastProgress: time.Now()}
	k, err := l.loop.Add(fd, c)
	if err != nil {
		l.gateway.clientConns.Add(-1)
		return
	}
	c.conn = k
	k.SetStarting(true)
	c.assignVolume(l.newcomers)
	l.clients[c] = struct{}{}
}

// sweep looks for clients that are idle or slow.
func (l *loopWorker) sweep() {
	now := time.Now()
	l.coarseNow = now
	for c := range l.clients {
		c.checkTimeout(now)
	}
	for _, k := range l.conns {
		k.checkTimeout(now)
	}
	l.flushBatch()
	l.loop.RetryAccept()
}

// closeIdle closes the connections of clients that have nothing in hand.
func (l *loopWorker) closeIdle() {
	for c := range l.clients {
		if c.state == stateReading && c.conn.Pending() == 0 && c.conn.Buffered() == 0 {
			c.conn.Close()
		}
	}
}

// httpDate returns the present time as the Date header has it.
func (l *loopWorker) httpDate() string {
	now := l.gateway.wall()
	if s := now.Unix(); s != l.dateSecond {
		l.dateSecond, l.date = s, now.UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT")
	}
	return l.date
}
