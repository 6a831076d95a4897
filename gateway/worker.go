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

// These constants are the names and the weight of the flows for work that belongs to no bucket. The
// names appear in the volume usage and in latency attribution.
const (
	newcomersVolumeName = "(newcomers)"
	gatewayVolumeName   = "(gateway)"
	gatewayWeight       = 1
)

// loopWorker holds one event loop and the state of everything that runs on it: client connections,
// their transactions, and connections to nodes. Only code on the loop uses the fields, except actions
// and wakePosted.
type loopWorker struct {
	gateway *Gateway
	index   forwarder.LoopID
	loop    *eventloop.Loop

	clients      map[*clientConn]struct{}
	conns        map[forwarder.ConnID]*nodeConn
	requests     map[dispatch.RequestID]*nodeRequest // node requests that have no result yet
	unattributed map[dispatch.RequestID]*nodeRequest // canceled node requests that await their attribution

	volumes       map[string]*volume // cached volumes by bucket
	newcomers     *volume            // charged for client connections without an authenticated request
	gatewayVolume *volume            // charged for work that belongs to no bucket

	gates             map[dispatch.NodeID]*nodeGate
	contendedGates    []*nodeGate // every gate where streams wait, and possibly gates where none wait
	backoff           backoffQueue
	bodyMemory        int                    // size of the buffered bodies of all transactions
	nextMemoryWarning time.Duration          // time from which a warning about memory may be logged again
	request           http1.Request          // the head that readHead parses; its memory is reused for each head
	batch             attribution.Batch      // entries and reports collected for the attribution worker
	loopContenders    []eventloop.SliceUsage // buffer that recordContenders reuses
	scratch           []byte                 // buffer in which HTTP heads and chunks are built
	coarseNow         time.Time              // time of the last sweep, against which time limits are checked
	date              string                 // value of the Date header for the second dateSecond
	dateSecond        int64                  // the second for which date was formatted, in Unix time

	actions      []forwarder.Action // actions that applyActions has not taken yet; guarded by core.mu
	wakePosted   bool               // applyActions is posted to the loop and has not run yet; guarded by core.mu
	spareActions []forwarder.Action // buffer that applyActions swaps with actions, to reuse its memory
	applying     bool               // applyActions is running
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
		flowConfig: fairshare.FlowConfig{Weight: g.cfg.FairSharing.NewConnsWeight},
		overload:   w.newOverloadController(),
	}
	w.newcomers.flow = loop.Flow(newcomersVolumeName, w.newcomers.flowConfig, g.usage.sharedUsage(newcomersVolumeName, g.cfg))
	loop.SetTimer(w.nextTimer, w.onTimer)
	w.gatewayVolume = &volume{name: gatewayVolumeName, flowConfig: fairshare.FlowConfig{Weight: gatewayWeight}}
	w.gatewayVolume.flow = loop.Flow(gatewayVolumeName, w.gatewayVolume.flowConfig, nil)
	return w
}

// now returns the time of the last sweep. It does not read the clock, so its result lags the clock by about
// sweepInterval.
func (w *loopWorker) now() time.Time { return w.coarseNow }

// addClient registers an accepted connection with the loop and starts to serve its client.
func (w *loopWorker) addClient(fd int) {
	c := &clientConn{worker: w, lastProgress: time.Now()}
	conn, err := w.loop.Add(fd, c)
	if err != nil {
		w.gateway.clientConns.Add(-1)
		return
	}
	c.conn = conn
	conn.SetNewWork(true)
	c.assignVolume(w.newcomers)
	w.clients[c] = struct{}{}
}

// sweep enforces the time limits of client and node connections, and flushes the batch for the
// attribution worker. It also retries to accept connections, in case accepting failed earlier for
// lack of descriptors or memory.
func (w *loopWorker) sweep() {
	now := time.Now()
	w.coarseNow = now
	for c := range w.clients {
		c.checkTimeout(now)
	}
	for _, n := range w.conns {
		n.checkTimeout(now)
	}
	w.limitBuffers()
	w.flushBatch()
	w.loop.RetryAccept()
}

// nextTimer returns the time at which the loop must call onTimer next. It returns false if the worker
// needs no timer.
func (w *loopWorker) nextTimer() (time.Duration, bool) {
	at, ok := w.nextGrantExpiry()
	if len(w.backoff.clients) > 0 {
		if until := w.backoff.clients[0].backoff.until; !ok || until < at {
			at, ok = until, true
		}
	}
	return at, ok
}

// onTimer expires the grants that are due, and resumes the rejected clients whose backoff has ended.
func (w *loopWorker) onTimer(now time.Duration) {
	w.expireGrants(now)
	for c := w.backoff.popDue(now); c != nil; c = w.backoff.popDue(now) {
		c.conn.Resume()
		c.conn.Redeliver()
	}
}

// httpDate returns the value of the Date header. It formats the value once per second.
func (w *loopWorker) httpDate() string {
	now := w.gateway.wallClock()
	if s := now.Unix(); s != w.dateSecond {
		w.dateSecond = s
		w.date = now.UTC().Format("Mon, 02 Jan 2006 15:04:05 GMT")
	}
	return w.date
}

// httpLimits returns the limits of the settings on the head of a request or response.
func (w *loopWorker) httpLimits() http1.Limits {
	l := w.gateway.cfg.Limits
	return http1.Limits{Line: l.Line, Headers: l.Headers, Head: l.Head}
}
