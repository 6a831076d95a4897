package gateway

import (
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/http1"
)

// Names and weights of the flows that belong to no bucket's volume.
const (
	newcomersVolumeName = "(newcomers)"
	gatewayVolumeName   = "(gateway)"
	gatewayWeight       = 1
)

// loopWorker is one event loop with all that runs on it: client connections, their transactions, and
// connections to nodes. Its fields are used on the loop only, except actions and wakePosted.
type loopWorker struct {
	gateway *Gateway
	index   forwarder.LoopID
	loop    *eventloop.Loop

	clients      map[*clientConn]struct{}
	conns        map[forwarder.ConnID]*nodeConn
	requests     map[dispatch.RequestID]*nodeRequest // without a result
	unattributed map[dispatch.RequestID]*nodeRequest // canceled, while their attribution is to come

	volumes       map[string]*volume // by bucket
	newcomers     *volume            // of client connections without an authenticated request
	gatewayVolume *volume            // of work that belongs to no bucket

	gates      map[dispatch.NodeID]*nodeGate
	contendedGates  []*nodeGate // all at which streams are waiting; may contain others
	backoff    backoffQueue
	batch      attribution.Batch      // for the attribution worker
	loopContenders []eventloop.SliceUsage // reused buffer
	scratch    []byte                 // reused buffer of heads and chunks
	coarseNow  time.Time              // of the last sweep; clock of the connections' time limits
	date       string                 // value of the Date header, for dateSecond
	dateSecond int64                  // Unix time

	actions      []forwarder.Action // to be applied; guarded by core.mu
	wakePosted   bool               // applyActions is posted to the loop; guarded by core.mu
	spareActions []forwarder.Action // reused buffer
	applying     bool
}

func newLoopWorker(g *Gateway, loop *eventloop.Loop) *loopWorker {
	w := &loopWorker{
		gateway:      g,
		index:        forwarder.LoopID(loop.Index),
		loop:         loop,
		clients:      map[*clientConn]struct{}{},
		conns:        map[forwarder.ConnID]*nodeConn{},
		requests:     map[dispatch.RequestID]*nodeRequest{},
		unattributed: map[dispatch.RequestID]*nodeRequest{},
		volumes:      map[string]*volume{},
		coarseNow:    time.Now(),
	}
	w.newcomers = &volume{
		name:       newcomersVolumeName,
		flowConfig: fairshare.FlowConfig{Weight: g.cfg.Share.Newcomers},
		overload:   w.newOverloadController(),
	}
	w.newcomers.flow = loop.Flow(newcomersVolumeName, w.newcomers.flowConfig, g.usage.sharedUsage(newcomersVolumeName, g.cfg))
	loop.SetTimer(w.nextTimer, w.onTimer)
	w.gatewayVolume = &volume{name: gatewayVolumeName, flowConfig: fairshare.FlowConfig{Weight: gatewayWeight}}
	w.gatewayVolume.flow = loop.Flow(gatewayVolumeName, w.gatewayVolume.flowConfig, nil)
	return w
}

// now returns the time of the last sweep.
func (w *loopWorker) now() time.Time { return w.coarseNow }

// addClient starts to serve an accepted connection.
func (w *loopWorker) addClient(fd int) {
	c := &clientConn{worker: w, lastProgress: time.Now()}
	conn, err := w.loop.Add(fd, c)
	if err != nil {
		w.gateway.clientConns.Add(-1)
		return
	}
	c.conn = conn
	conn.SetStarting(true)
	c.assignVolume(w.newcomers)
	w.clients[c] = struct{}{}
}

// sweep enforces the time limits of clients and nodes, and flushes what was batched.
func (w *loopWorker) sweep() {
	now := time.Now()
	w.coarseNow = now
	for c := range w.clients {
		c.checkTimeout(now)
	}
	for _, n := range w.conns {
		n.checkTimeout(now)
	}
	w.flushBatch()
	w.loop.RetryAccept()
}

// closeIdleClients closes the client connections without a request.
func (w *loopWorker) closeIdleClients() {
	for c := range w.clients {
		if c.state == stateReading && c.conn.Pending() == 0 && c.conn.Buffered() == 0 {
			c.conn.Close()
		}
	}
}

// nextTimer returns when onTimer is to be called next; false if nothing is due.
func (w *loopWorker) nextTimer() (time.Duration, bool) {
	at, ok := w.nextGrantExpiry()
	if len(w.backoff.clients) > 0 {
		if until := w.backoff.clients[0].backoff.until; !ok || until < at {
			at, ok = until, true
		}
	}
	return at, ok
}

// onTimer expires grants and ends the backoff of rejected clients.
func (w *loopWorker) onTimer(now time.Duration) {
	w.expireGrants(now)
	for c := w.backoff.popDue(now); c != nil; c = w.backoff.popDue(now) {
		c.conn.Resume()
		c.conn.Redeliver()
	}
}

// httpDate returns the value of the Date header.
func (w *loopWorker) httpDate() string {
	now := w.gateway.wallClock()
	if s := now.Unix(); s != w.dateSecond {
		w.dateSecond = s
		w.date = now.UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT")
	}
	return w.date
}

func (w *loopWorker) httpLimits() http1.Limits {
	l := w.gateway.cfg.Limits
	return http1.Limits{Line: l.Line, Headers: l.Headers, Head: l.Head}
}
