package modelcheck

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"fmt"
	"reflect"
	"slices"
	"time"
)

// The properties, checked from what crosses the wire. docs/design/explore.md has
// them in the same words:
//
//	answer      exactly one final answer to each request taken, in time, and nothing sent after it
//	attempts    never two attempts out for a request
//	drain       nothing new to a node after its drain was told
//	effects     effects are not repeated beyond their class
//	order       requests of one key run one at a time, in order, and rest after one that may still run
//	budget      further attempts stay within the budget, as they are decided
//	connection  a connection never carries an answer to the wrong request, is never reused after doubt, and is never leaked
//	bounds      connections and streams of a node, and attempts of a request, stay within their bounds
//	stuck       when events stop, each request ends by its deadline

// Breach is a property that does not hold.
type Breach struct {
	Rule string
	What string
}

func (b *Breach) Error() string { return b.Rule + ": " + b.What }

// rules are what the checks remember.
type rules struct {
	took   []time.Duration
	extra  []time.Duration
	order  map[string][]*call
	breach *Breach
}

// reset forgets what a gateway that has ended did.
func (r *rules) reset() { r.took, r.extra, r.order = nil, nil, map[string][]*call{} }

// broke notes the first breach.
func (w *World) broke(rule, format string, args ...any) {
	if w.rules.breach == nil {
		w.rules.breach = &Breach{rule, fmt.Sprintf(format, args...)}
	}
}

func (r *rules) taken(w *World, c *call) {
	r.took = append(r.took, w.now)
	if k := w.class(c); k.Ordered && c.key != "" {
		r.order[c.key] = append(r.order[c.key], c)
	}
}

// decided checks what holds when the forwarder decides: no request is sent to a node
// that it was told not to use.
func (w *World) decided(a forwarder.Action) {
	if s, ok := a.(forwarder.SendRequest); ok {
		if at, told := w.told[s.Node]; told {
			w.broke("drain", "request %d is sent to %s, of which was told %v before that it drains or is gone", s.ID, s.Node, w.now-at)
		}
	}
}

// dialing checks the bound on connections to a node. Those that a loop has yet to
// close do not count: the forwarder asked for it before.
func (w *World) dialing(a forwarder.Dial) {
	n := 1
	for _, k := range w.conns {
		closing := slices.ContainsFunc(w.queue[k.lane], func(x forwarder.Action) bool { c, ok := x.(forwarder.CloseConn); return ok && c.Conn == k.id })
		if k.node == a.Node && !closing {
			n++
		}
	}
	if n > w.cfg.MaxConnsPerNode {
		w.broke("bounds", "%d connections to %s, bound %d", n, a.Node, w.cfg.MaxConnsPerNode)
	}
}

// renewed notes that connections which wait unused are to a process that is gone.
// What was decided to go out on one before cannot be held against the forwarder.
func (w *World) renewed(id dispatch.NodeID) {
	for _, k := range w.conns {
		decided := slices.ContainsFunc(w.queue[k.lane], func(a forwarder.Action) bool { s, ok := a.(forwarder.SendRequest); return ok && s.Conn == k.id })
		if k.node == id && k.open && k.call == nil && !decided {
			k.dead = true
		}
	}
}

// sending checks a request that goes out.
func (w *World) sending(k *conn, c *call, a forwarder.SendRequest) {
	cl := w.class(c)
	switch {
	case c.answers > 0 || c.left:
		w.broke("answer", "request %d is sent after its end", c.id)
	case c.out != nil:
		w.broke("attempts", "request %d is sent on connection %d while it is out on %d", c.id, k.id, c.out.id)
	case !k.open || k.call != nil || k.has || k.dead:
		w.broke("connection", "request %d is sent on connection %d: open %v, in use %v, in doubt %v", c.id, k.id, k.open, k.call != nil || k.has, k.dead)
	case a.Loop != k.lane || a.Loop != c.lane:
		w.broke("connection", "request %d of loop %d is sent on connection %d of loop %d", c.id, c.lane, k.id, k.lane)
	case a.Node != k.node:
		w.broke("connection", "request %d for %s is sent on connection %d to %s", c.id, a.Node, k.id, k.node)
	case w.shardOf(k.node) != c.shard:
		w.broke("effects", "request %d of shard %d is sent to %s", c.id, c.shard, k.node)
	case c.once && c.sends > 0:
		w.broke("effects", "request %d, whose body is gone, is sent again", c.id)
	case c.mayRun && cl.Idempotency == dispatch.NonIdempotent:
		w.broke("effects", "unsafe request %d is sent again though it may have run", c.id)
	case c.mayRun && cl.Idempotency == dispatch.Deduplicated && w.now-c.doubt >= cl.DedupWindow:
		w.broke("effects", "keyed request %d is sent again %v after it may have run, beyond its window", c.id, w.now-c.doubt)
	case a.Attempt != c.sends && a.Attempt < c.sends:
		w.broke("attempts", "request %d: attempt %d is sent after %d others", c.id, a.Attempt, c.sends)
	}
	if most := w.cfg.Dispatch.MaxAttempts; most > 0 && c.sends >= most {
		w.broke("bounds", "request %d is sent for the %dth time, bound %d", c.id, c.sends+1, most)
	}
	w.inOrder(c, cl)
	if c.sends++; c.sends > 1 {
		at := w.now
		w.rules.extra = append(w.rules.extra, at)
		b := w.cfg.Dispatch.RetryBudget
		within := func(ts []time.Duration) (n int) {
			for _, t := range ts {
				if at-b.Window < t && t <= at {
					n++
				}
			}
			return n
		}
		if b.Window > 0 && float64(within(w.rules.extra)) > b.MinRetries+b.Ratio*float64(within(w.rules.took)) {
			w.broke("budget", "%d further attempts within %v", within(w.rules.extra), b.Window)
		}
	}
	if !c.mayRun {
		c.doubt = w.now
	}
}

func (w *World) shardOf(id dispatch.NodeID) dispatch.Shard {
	i := slices.IndexFunc(w.nodes, func(n listed) bool { return n.id == id })
	return w.nodes[i].shard
}

// inOrder checks the turns of a key.
func (w *World) inOrder(c *call, cl *dispatch.Class) {
	if !cl.Ordered || c.key == "" {
		return
	}
	for _, e := range w.rules.order[c.key] {
		switch {
		case e == c:
			return
		case (!e.over() || e.out != nil) && !w.ending(e):
			w.broke("order", "request %d is sent before %d of its key is over", c.id, e.id)
		case w.now < e.rest:
			w.broke("order", "request %d is sent %v before its key has rested", c.id, e.rest-w.now)
		}
	}
}

// ending tells whether a request's end was decided and waits for its loop: another
// loop may act on what follows from it first.
func (w *World) ending(c *call) bool {
	return slices.ContainsFunc(w.queue[c.lane], func(a forwarder.Action) bool {
		switch a := a.(type) {
		case forwarder.ForwardResponse:
			return a.ID == c.id
		case forwarder.Reject:
			return a.ID == c.id
		case forwarder.Fail:
			return a.ID == c.id
		case forwarder.AbortResponse:
			return a.ID == c.id
		}
		return false
	})
}

// doubted notes that a connection ends with a request on it, which may run on.
func (w *World) doubted(k *conn) {
	c := k.call
	if c == nil || !k.has {
		return
	}
	c.mayRun = true
	c.rest = max(c.rest, w.now+w.cfg.Dispatch.Quiescence)
}

// proven notes what an answer says of a request's effects.
func (w *World) proven(k *conn, kind Kind) {
	c := k.call
	if c == nil {
		return
	}
	if kind != Full {
		c.mayRun = true
	}
	if kind == Garbage {
		c.rest = max(c.rest, w.now+w.cfg.Dispatch.Quiescence)
	}
}

// delivered checks that an answer belongs to its request.
func (w *World) delivered(a forwarder.ForwardResponse, c *call, k *conn) {
	switch {
	case k == nil:
		w.broke("connection", "request %d is given the answer of connection %d, which is gone", a.ID, a.Conn)
	case c == nil || k.call != c:
		w.broke("connection", "request %d is given the answer of connection %d, which carries another", a.ID, a.Conn)
	case k.r.State().String() != "complete":
		w.broke("connection", "request %d is given an answer that is %v", a.ID, k.r.State())
	}
}

// headed notes that an answer has begun at its client.
func (w *World) headed(k *conn) {
	c := k.call
	if c.headed || c.over() {
		w.broke("answer", "request %d: an answer begins after another, or after its end", c.id)
	}
	c.headed = true
}

// answer gives a client its final answer.
func (w *World) answer(c *call, a forwarder.Action) {
	if c == nil {
		w.broke("answer", "%T for a request that was never taken", a)
		return
	}
	if c.left {
		return // nobody is there to see it
	}
	c.inLane = false
	c.end = endName(a)
	if c.answers++; c.answers > 1 {
		w.broke("answer", "request %d has %d final answers", c.id, c.answers)
	}
	_, refused := a.(forwarder.Reject)
	_, cut := a.(forwarder.AbortResponse)
	_, whole := a.(forwarder.ForwardResponse)
	k := w.class(c)
	switch {
	case c.headed && !cut && !whole:
		w.broke("answer", "request %d: %T after its answer has begun", c.id, a)
	case !c.headed && cut:
		w.broke("answer", "request %d: cut before its answer has begun", c.id)
	case w.now > c.due && !c.headed && !c.flowing:
		w.broke("answer", "request %d is answered %v after its time", c.id, w.now-c.due)
	case refused && c.mayRun && k.Idempotency != dispatch.Idempotent && !(k.Idempotency == dispatch.Deduplicated && k.DedupScope == dispatch.DedupEverywhere):
		w.broke("effects", "request %d is refused as harmless to try again, though it may have run", c.id)
	case refused && a.(forwarder.Reject).RetryAfter <= 0:
		w.broke("answer", "request %d is refused without a time to come back", c.id)
	}
}

// endName is the name of a final answer in scripts, which are played over sockets too.
func endName(a forwarder.Action) string {
	switch a.(type) {
	case forwarder.ForwardResponse:
		return "deliver"
	case forwarder.Reject:
		return "refuse"
	case forwarder.Fail:
		return "fail"
	case forwarder.AbortResponse:
		return "cut"
	}
	return ""
}

// checkTime looks for requests that are overdue. A body that flows, either way,
// takes its time; the gateway's own limits on standstill are not part of this.
func (w *World) checkTime() {
	for _, c := range w.calls {
		if c.owed() && w.now > c.due {
			w.broke("answer", "request %d has no answer %v after its time", c.id, w.now-c.due)
		}
	}
}

// checkForsaken looks for clients whose answer has begun, or whose body has, and
// whose connection to the node is gone: there is nothing left that could end them.
func (w *World) checkForsaken() {
	for _, c := range w.calls {
		if (c.headed || c.flowing) && !c.over() && c.out == nil && !w.ending(c) {
			w.broke("stuck", "request %d: its answer or body has begun, its connection is gone, and it has no end", c.id)
		}
	}
}

// checkRest looks at a world in which nothing more happens.
func (w *World) checkRest() {
	for _, c := range w.calls {
		if c.begun && !c.over() && !c.headed && !c.flowing {
			w.broke("stuck", "request %d waits, and nothing is due", c.id)
		}
	}
	if w.working() {
		return // a body that flows, and stands still
	}
	if n := w.x.Requests(); n > 0 {
		w.broke("stuck", "the forwarder still has %d requests", n)
	}
	if n := dispatched(w.x); n > 0 {
		w.broke("stuck", "the dispatcher still counts %d requests", n)
	}
	w.checkConns()
}

// dispatched is how many requests the dispatcher has, by reflection: it has no need
// to tell.
func dispatched(x *forwarder.Forwarder) int {
	return reflect.ValueOf(x).Elem().FieldByName("dispatcher").Elem().FieldByName("reqs").Len()
}

// checkConns lets the time pass in which unused connections are closed: then none
// may be left on either side.
func (w *World) checkConns() {
	for range 1000 {
		w.followAll()
		if w.wake >= w.now+w.cfg.MaxConnAge || len(w.conns) == 0 && w.x.Conns() == 0 {
			break
		}
		for _, k := range w.sorted() {
			if !k.open {
				k.open = true
				w.tell(forwarder.DialCompleted{Conn: k.id, OK: true}, k.lane)
			}
		}
		w.now = max(w.now, w.wake)
		w.wake = 1<<63 - 1
		w.tell(forwarder.TimerFired{}, elsewhere)
	}
	if len(w.conns) > 0 || w.x.Conns() > 0 {
		w.broke("connection", "%d connections are left on the loop, %d in the forwarder, that nothing will close", len(w.conns), w.x.Conns())
	}
}
