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

// Violation is a property that does not hold.
type Violation struct {
	Rule    string
	Message string
}

func (b *Violation) Error() string { return b.Rule + ": " + b.Message }

// checker are what the checks remember.
type checker struct {
	requestTimes []time.Duration
	retryTimes   []time.Duration
	byKey        map[string][]*request
	violation    *Violation
}

// reset forgets what a gateway that has ended did.
func (r *checker) reset() { r.requestTimes, r.retryTimes, r.byKey = nil, nil, map[string][]*request{} }

// violate notes the first breach.
func (w *World) violate(rule, format string, args ...any) {
	if w.checker.violation == nil {
		w.checker.violation = &Violation{rule, fmt.Sprintf(format, args...)}
	}
}

func (r *checker) noteStart(w *World, c *request) {
	r.requestTimes = append(r.requestTimes, w.now)
	if k := w.class(c); k.Ordered && c.key != "" {
		r.byKey[c.key] = append(r.byKey[c.key], c)
	}
}

// checkDecision checks what holds when the forwarder decides: no request is sent to a node
// that it was told not to use.
func (w *World) checkDecision(a forwarder.Action) {
	if s, ok := a.(forwarder.SendRequest); ok {
		if at, told := w.unusableSince[s.Node]; told {
			w.violate("drain", "request %d is sent to %s, of which was told %v before that it drains or is gone", s.ID, s.Node, w.now-at)
		}
	}
}

// checkDial checks the bound on connections to a node. Those that a loop has yet to
// close do not count: the forwarder asked for it before.
func (w *World) checkDial(a forwarder.Dial) {
	n := 1
	for _, k := range w.conns {
		closing := slices.ContainsFunc(w.loopQueues[k.loop], func(x forwarder.Action) bool { c, ok := x.(forwarder.CloseConn); return ok && c.Conn == k.id })
		if k.node == a.Node && !closing {
			n++
		}
	}
	if n > w.cfg.MaxConnsPerNode {
		w.violate("bounds", "%d connections to %s, bound %d", n, a.Node, w.cfg.MaxConnsPerNode)
	}
}

// noteNodeRestart notes that connections which wait unused are to a process that is gone.
// What was decided to go out on one before cannot be held against the forwarder.
func (w *World) noteNodeRestart(id dispatch.NodeID) {
	for _, k := range w.conns {
		decided := slices.ContainsFunc(w.loopQueues[k.loop], func(a forwarder.Action) bool { s, ok := a.(forwarder.SendRequest); return ok && s.Conn == k.id })
		if k.node == id && k.open && k.request == nil && !decided {
			k.unusable = true
		}
	}
}

// checkSend checks a request that goes out.
func (w *World) checkSend(k *conn, c *request, a forwarder.SendRequest) {
	cl := w.class(c)
	switch {
	case c.responses > 0 || c.canceled:
		w.violate("answer", "request %d is sent after its end", c.id)
	case c.conn != nil:
		w.violate("attempts", "request %d is sent on connection %d while it is out on %d", c.id, k.id, c.conn.id)
	case !k.open || k.request != nil || k.atNode || k.unusable:
		w.violate("connection", "request %d is sent on connection %d: open %v, in use %v, in doubt %v", c.id, k.id, k.open, k.request != nil || k.atNode, k.unusable)
	case a.Loop != k.loop || a.Loop != c.loop:
		w.violate("connection", "request %d of loop %d is sent on connection %d of loop %d", c.id, c.loop, k.id, k.loop)
	case a.Node != k.node:
		w.violate("connection", "request %d for %s is sent on connection %d to %s", c.id, a.Node, k.id, k.node)
	case w.shardOf(k.node) != c.shard:
		w.violate("effects", "request %d of shard %d is sent to %s", c.id, c.shard, k.node)
	case c.notReplayable && c.attempts > 0:
		w.violate("effects", "request %d, whose body is gone, is sent again", c.id)
	case c.ambiguous && cl.Idempotency == dispatch.NonIdempotent:
		w.violate("effects", "unsafe request %d is sent again though it may have run", c.id)
	case c.ambiguous && cl.Idempotency == dispatch.Deduplicated && w.now-c.ambiguousSince >= cl.DedupWindow:
		w.violate("effects", "keyed request %d is sent again %v after it may have run, beyond its window", c.id, w.now-c.ambiguousSince)
	case a.Attempt != c.attempts && a.Attempt < c.attempts:
		w.violate("attempts", "request %d: attempt %d is sent after %d others", c.id, a.Attempt, c.attempts)
	}
	if most := w.cfg.Dispatch.MaxAttempts; most > 0 && c.attempts >= most {
		w.violate("bounds", "request %d is sent for the %dth time, bound %d", c.id, c.attempts+1, most)
	}
	w.checkOrder(c, cl)
	if c.attempts++; c.attempts > 1 {
		at := w.now
		w.checker.retryTimes = append(w.checker.retryTimes, at)
		b := w.cfg.Dispatch.RetryBudget
		within := func(ts []time.Duration) (n int) {
			for _, t := range ts {
				if at-b.Window < t && t <= at {
					n++
				}
			}
			return n
		}
		if b.Window > 0 && float64(within(w.checker.retryTimes)) > b.MinRetries+b.Ratio*float64(within(w.checker.requestTimes)) {
			w.violate("budget", "%d further attempts within %v", within(w.checker.retryTimes), b.Window)
		}
	}
	if !c.ambiguous {
		c.ambiguousSince = w.now
	}
}

func (w *World) shardOf(id dispatch.NodeID) dispatch.Shard {
	i := slices.IndexFunc(w.nodes, func(n node) bool { return n.id == id })
	return w.nodes[i].shard
}

// checkOrder checks the turns of a key.
func (w *World) checkOrder(c *request, cl *dispatch.Class) {
	if !cl.Ordered || c.key == "" {
		return
	}
	for _, e := range w.checker.byKey[c.key] {
		switch {
		case e == c:
			return
		case (!e.finished() || e.conn != nil) && !w.responsePending(e):
			w.violate("order", "request %d is sent before %d of its key is over", c.id, e.id)
		case w.now < e.quiescentAt:
			w.violate("order", "request %d is sent %v before its key has rested", c.id, e.quiescentAt-w.now)
		}
	}
}

// responsePending tells whether a request's end was decided and waits for its loop: another
// loop may act on what follows from it first.
func (w *World) responsePending(c *request) bool {
	return slices.ContainsFunc(w.loopQueues[c.loop], func(a forwarder.Action) bool {
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

// noteInterrupted notes that a connection ends with a request on it, which may run on.
func (w *World) noteInterrupted(k *conn) {
	c := k.request
	if c == nil || !k.atNode {
		return
	}
	c.ambiguous = true
	c.quiescentAt = max(c.quiescentAt, w.now+w.cfg.Dispatch.Quiescence)
}

// noteResponse notes what an answer says of a request's effects.
func (w *World) noteResponse(k *conn, kind Kind) {
	c := k.request
	if c == nil {
		return
	}
	if kind != RespondReject {
		c.ambiguous = true
	}
	if kind == RespondInvalid {
		c.quiescentAt = max(c.quiescentAt, w.now+w.cfg.Dispatch.Quiescence)
	}
}

// checkForwarded checks that an answer belongs to its request.
func (w *World) checkForwarded(a forwarder.ForwardResponse, c *request, k *conn) {
	switch {
	case k == nil:
		w.violate("connection", "request %d is given the answer of connection %d, which is gone", a.ID, a.Conn)
	case c == nil || k.request != c:
		w.violate("connection", "request %d is given the answer of connection %d, which carries another", a.ID, a.Conn)
	case k.reader.State().String() != "complete":
		w.violate("connection", "request %d is given an answer that is %v", a.ID, k.reader.State())
	}
}

// noteHeaders notes that an answer has begun at its client.
func (w *World) noteHeaders(k *conn) {
	c := k.request
	if c.headersForwarded || c.finished() {
		w.violate("answer", "request %d: an answer begins after another, or after its end", c.id)
	}
	c.headersForwarded = true
}

// finish gives a client its final answer.
func (w *World) finish(c *request, a forwarder.Action) {
	if c == nil {
		w.violate("answer", "%T for a request that was never taken", a)
		return
	}
	if c.canceled {
		return // nobody is there to see it
	}
	c.onLoop = false
	c.outcome = outcomeName(a)
	if c.responses++; c.responses > 1 {
		w.violate("answer", "request %d has %d final answers", c.id, c.responses)
	}
	_, refused := a.(forwarder.Reject)
	_, cut := a.(forwarder.AbortResponse)
	_, whole := a.(forwarder.ForwardResponse)
	k := w.class(c)
	switch {
	case c.headersForwarded && !cut && !whole:
		w.violate("answer", "request %d: %T after its answer has begun", c.id, a)
	case !c.headersForwarded && cut:
		w.violate("answer", "request %d: cut before its answer has begun", c.id)
	case w.now > c.deadline && !c.headersForwarded && !c.bodyStreaming:
		w.violate("answer", "request %d is answered %v after its time", c.id, w.now-c.deadline)
	case refused && c.ambiguous && k.Idempotency != dispatch.Idempotent && !(k.Idempotency == dispatch.Deduplicated && k.DedupScope == dispatch.DedupEverywhere):
		w.violate("effects", "request %d is refused as harmless to try again, though it may have run", c.id)
	case refused && a.(forwarder.Reject).RetryAfter <= 0:
		w.violate("answer", "request %d is refused without a time to come back", c.id)
	}
}

// outcomeName is the name of a final answer in scripts, which are played over sockets too.
func outcomeName(a forwarder.Action) string {
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

// checkDeadlines looks for requests that are overdue. A body that flows, either way,
// takes its time; the gateway's own limits on standstill are not part of this.
func (w *World) checkDeadlines() {
	for _, c := range w.requests {
		if c.responseDue() && w.now > c.deadline {
			w.violate("answer", "request %d has no answer %v after its time", c.id, w.now-c.deadline)
		}
	}
}

// checkOrphans looks for clients whose answer has begun, or whose body has, and
// whose connection to the node is gone: there is nothing left that could end them.
func (w *World) checkOrphans() {
	for _, c := range w.requests {
		if (c.headersForwarded || c.bodyStreaming) && !c.finished() && c.conn == nil && !w.responsePending(c) {
			w.violate("stuck", "request %d: its answer or body has begun, its connection is gone, and it has no end", c.id)
		}
	}
}

// checkEnd looks at a world in which nothing more happens.
func (w *World) checkEnd() {
	for _, c := range w.requests {
		if c.started && !c.finished() && !c.headersForwarded && !c.bodyStreaming {
			w.violate("stuck", "request %d waits, and nothing is due", c.id)
		}
	}
	if w.anyUnfinished() {
		return // a body that flows, and stands still
	}
	if n := w.fwd.Requests(); n > 0 {
		w.violate("stuck", "the forwarder still has %d requests", n)
	}
	if n := dispatcherRequests(w.fwd); n > 0 {
		w.violate("stuck", "the dispatcher still counts %d requests", n)
	}
	w.checkConns()
}

// dispatcherRequests is how many requests the dispatcher has, by reflection: it has no need
// to tell.
func dispatcherRequests(x *forwarder.Forwarder) int {
	return reflect.ValueOf(x).Elem().FieldByName("dispatcher").Elem().FieldByName("requests").Len()
}

// checkConns lets the time pass in which unused connections are closed: then none
// may be left on either side.
func (w *World) checkConns() {
	for range 1000 {
		w.runLoops()
		if w.wakeAt >= w.now+w.cfg.MaxConnAge || len(w.conns) == 0 && w.fwd.Conns() == 0 {
			break
		}
		for _, k := range w.sortedConns() {
			if !k.open {
				k.open = true
				w.handle(forwarder.DialCompleted{Conn: k.id, OK: true}, k.loop)
			}
		}
		w.now = max(w.now, w.wakeAt)
		w.wakeAt = 1<<63 - 1
		w.handle(forwarder.TimerFired{}, noLoop)
	}
	if len(w.conns) > 0 || w.fwd.Conns() > 0 {
		w.violate("connection", "%d connections are left on the loop, %d in the forwarder, that nothing will close", len(w.conns), w.fwd.Conns())
	}
}
