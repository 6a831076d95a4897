package modelcheck

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Kind is a kind of move.
type Kind uint8

// The kinds of move. What they act on is a request's number, a connection's, or a
// node's place in the scenario.
const (
	Arrive   Kind = iota // a client's request comes
	Follow               // the loop comes to what was decided elsewhere
	Follow2              // the second loop does
	Fire                 // the forwarder's timer
	DialOK               // a connection is there
	DialFail             // it is not
	Served               // a node answers
	Closing              // it answers and closes
	Errored              // 500
	Full                 // 503
	Headed               // the head of a large answer, and half of it
	Rest                 // the rest
	Garbage              // what is no answer
	Twice                // more than an answer
	Reset                // a connection breaks
	Leave                // a client leaves
	Flow                 // a body flows
	BodySent             // it has gone out
	Drain                // a node is said to drain
	Remove               // to be gone
	List                 // to serve, for the first time
	Renew                // to be another process at the same place
	Crash                // the gateway ends, and begins again with an old list
	Truth                // and hears the true one
	Before               // time passes to just before something is due
	Reach                // to the moment
	kindCount
)

var kindNames = [kindCount]string{
	"arrive", "follow", "follow-2", "fire", "dial-ok", "dial-fail", "served", "closing", "errored", "full", "headed", "rest",
	"garbage", "twice", "reset", "leave", "flow", "body-sent", "drain", "remove", "list", "renew", "crash", "truth", "before", "reach",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Move is one thing that happens.
type Move struct {
	Kind Kind
	On   uint32
}

// operand tells what a kind of move acts on.
func (k Kind) operand() string {
	switch k {
	case Arrive, Leave, Flow, BodySent:
		return "request"
	case DialOK, DialFail, Served, Closing, Errored, Full, Headed, Rest, Garbage, Twice, Reset:
		return "connection"
	case Drain, Remove, List, Renew:
		return "node"
	}
	return ""
}

// moveText is a move as a replay has it.
func (w *World) moveText(m Move) string {
	switch m.Kind.operand() {
	case "node":
		return fmt.Sprintf("%v %s", m.Kind, w.nodes[m.On].id)
	case "":
		return m.Kind.String()
	}
	return fmt.Sprintf("%v %d", m.Kind, m.On)
}

// enabledMoves returns all that may happen now, in a fixed order.
func (w *World) enabledMoves(reduce bool) []Move {
	var ms []Move
	add := func(k Kind, on int) { ms = append(ms, Move{k, uint32(on)}) }
	for lane, kind := range [loopCount]Kind{Follow, Follow2} {
		if len(w.loopQueues[lane]) == 0 {
			continue
		}
		if reduce && onlyResponses(w.loopQueues[lane]) {
			return []Move{{Kind: kind}}
		}
		add(kind, 0)
	}
	due := w.wakeAt <= w.now
	if due {
		add(Fire, 0)
	}
	s, u := w.scenario, &w.counts
	for i, c := range w.requests {
		switch {
		case !c.started:
			if w.firstArrival == 0 || w.now <= w.firstArrival+w.scenario.spread {
				add(Arrive, i+1)
			}
			continue
		case c.finished() || !c.onLoop:
			continue
		}
		if u.leaves < s.leaves {
			add(Leave, i+1)
		}
		if c.sendingBody && c.conn != nil && !c.bodySent {
			if !c.bodyStreaming && u.flows < s.flows {
				add(Flow, i+1)
			}
			add(BodySent, i+1)
		}
	}
	for _, k := range w.sortedConns() {
		w.connMoves(k, add)
	}
	for i, n := range w.nodes {
		switch {
		case !n.listed:
			if u.lists < s.lists {
				add(List, i)
			}
		case n.state == dispatch.Ready:
			if u.renews < s.renews {
				add(Renew, i)
			}
			if n.initial && u.drains < s.drains {
				add(Drain, i)
			}
			fallthrough
		case n.state == dispatch.Draining:
			if n.initial && u.removes < s.removes {
				add(Remove, i)
			}
		}
	}
	if u.crashes < s.crashes && w.anyUnfinished() {
		add(Crash, 0)
	}
	if w.stale {
		add(Truth, 0)
	}
	if !w.loopsPending() && !due && w.anyResponseDue() {
		if t := w.nextDeadline(); t < math.MaxInt64 {
			if w.justBefore(t) > w.now {
				add(Before, 0)
			} else {
				add(Reach, 0)
			}
		}
	}
	return ms
}

// connMoves returns what may happen on one connection.
func (w *World) connMoves(k *conn, add func(Kind, int)) {
	s, u, id := w.scenario, &w.counts, int(k.id)
	if !k.open {
		add(DialOK, id)
		if u.dialFails < s.dialFails {
			add(DialFail, id)
		}
		return
	}
	if !k.atNode {
		if u.closes < s.closes {
			add(Reset, id)
		}
		if u.garbage < s.garbage && k.request == nil {
			add(Garbage, id)
		}
		return
	}
	if u.resets < s.resets {
		add(Reset, id)
	}
	if k.partial {
		add(Rest, id)
		return
	}
	c := k.request
	if c != nil && c.sendingBody && !c.bodySent {
		// A node may answer an upload early, but only to turn it away.
		if u.fulls < s.fulls {
			add(Full, id)
		}
		return
	}
	if c != nil && c.streamed && u.heads < s.heads {
		add(Headed, id)
	}
	add(Served, id)
	if u.closes < s.closes {
		add(Closing, id)
	}
	if u.errors < s.errors {
		add(Errored, id)
	}
	if u.fulls < s.fulls {
		add(Full, id)
	}
	if u.garbage < s.garbage {
		add(Garbage, id)
		add(Twice, id)
	}
}

func (w *World) sortedConns() []*conn {
	return slices.SortedFunc(maps.Values(w.conns), func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}

// onlyResponses tells whether all that waits for a loop is answers to clients of
// which no connection is part. Doing it at once commutes with all else: nothing
// that can happen before it looks at what it changes, but that a client may leave
// whose answer is on its way, which is an answer all the same.
func onlyResponses(queue []forwarder.Action) bool {
	for _, a := range queue {
		switch a.(type) {
		case forwarder.Reject, forwarder.Fail:
		default:
			return false
		}
	}
	return true
}

// anyUnfinished tells whether a request is in hand.
func (w *World) anyUnfinished() bool {
	return slices.ContainsFunc(w.requests, func(c *request) bool { return c.started && !c.finished() })
}

// anyResponseDue tells whether a request is in hand for which time matters: a body that
// stands still may stand for as long as it likes, and a search would not end.
func (w *World) anyResponseDue() bool {
	return slices.ContainsFunc(w.requests, (*request).responseDue)
}

// nextDeadline is the next moment at which something is due: the forwarder's timer, the end
// of a window in which repeats are dropped, of the grace after a drain, or of the
// time for an answer.
func (w *World) nextDeadline() time.Duration {
	t := w.wakeAt
	take := func(at time.Duration) {
		if at > w.now {
			t = min(t, at)
		}
	}
	for _, c := range w.requests {
		if !c.started && w.firstArrival > 0 {
			take(w.firstArrival + w.scenario.spread) // the last moment for it to come
		}
		if !c.started || c.finished() {
			continue
		}
		if c.ambiguous && w.class(c).Idempotency == dispatch.Deduplicated {
			take(c.ambiguousSince + w.class(c).DedupWindow)
		}
		take(c.deadline)
	}
	return t
}

// justBefore is the last moment of the grid before one.
func (w *World) justBefore(t time.Duration) time.Duration { return (t - 1) / timeGrid * timeGrid }

func (w *World) class(c *request) *dispatch.Class { return &w.cfg.Dispatch.Classes[c.class] }

// apply does a move. It must be one that moves returned.
func (w *World) apply(m Move) {
	if w.log != nil {
		w.log("%v  %s", w.now-time.Second, w.moveText(m))
	}
	u := &w.counts
	switch m.Kind {
	case Arrive:
		w.startRequest(w.requests[m.On-1])
	case Follow:
		w.runLoop(0)
	case Follow2:
		w.runLoop(1)
	case Fire:
		w.wakeAt = math.MaxInt64
		w.handle(forwarder.TimerFired{}, noLoop)
	case DialOK, DialFail:
		k := w.conns[forwarder.ConnID(m.On)]
		if k.open = m.Kind == DialOK; !k.open {
			u.dialFails++
			delete(w.conns, k.id)
		}
		w.handle(forwarder.DialCompleted{Conn: k.id, OK: k.open}, k.loop)
	case Served, Closing, Errored, Full, Headed, Rest, Garbage, Twice:
		w.respond(w.conns[forwarder.ConnID(m.On)], m.Kind)
	case Reset:
		k := w.conns[forwarder.ConnID(m.On)]
		if k.atNode {
			u.resets++
		} else {
			u.closes++
		}
		w.loseConn(k)
	case Leave:
		u.leaves++
		w.cancelRequest(w.requests[m.On-1])
	case Flow:
		c := w.requests[m.On-1]
		u.flows++
		c.bodyStreaming = true
		w.handle(forwarder.BodyStreaming{ID: c.id}, c.loop)
	case BodySent:
		c := w.requests[m.On-1]
		c.bodySent = true
		if c.bodyStreaming {
			c.deadline = max(c.deadline, w.now+w.class(c).Deadline)
		}
		w.handle(forwarder.BodySent{ID: c.id}, c.loop)
	case Drain, Remove, List, Renew:
		w.changeNode(m)
	case Crash:
		w.restartGateway()
	case Truth:
		w.stale = false
		w.handle(w.endpointList(dispatch.Snapshot), noLoop)
	case Before:
		w.now = w.justBefore(w.nextDeadline())
	case Reach:
		w.now = w.nextDeadline()
		w.checkDeadlines()
	}
	w.checkOrphans()
}

func (w *World) startRequest(c *request) {
	if w.firstArrival == 0 {
		w.firstArrival = w.now
	}
	k := w.class(c)
	c.started, c.onLoop, c.deadline = true, true, w.now+k.Deadline
	w.checker.noteStart(w, c)
	w.handle(forwarder.StartRequest{NotReplayable: c.notReplayable, Loop: c.loop, Request: dispatch.Request{
		ID: c.id, Class: c.class, Volume: "v", Key: c.key,
		Shard: c.shard, Units: 1, Dispatchers: 1, Timeout: k.Deadline,
	}}, c.loop)
}

// respond lets a node answer on a connection.
func (w *World) respond(k *conn, kind Kind) {
	u := &w.counts
	switch kind {
	case Closing:
		u.closes++
		k.unusable = true // the node closes it
	case Errored:
		u.errors++
	case Full:
		u.fulls++
	case Headed:
		u.heads++
		k.partial = true
	case Garbage, Twice:
		u.garbage++
	}
	if kind != Headed {
		k.atNode, k.partial = false, false
	}
	w.noteResponse(k, kind)
	if k.request == nil {
		k.unusable = true // bytes that nobody asked for
	}
	w.receive(k, []byte(responseText[kind]))
}

// cancelRequest lets a client go.
func (w *World) cancelRequest(c *request) {
	c.canceled, c.onLoop, c.outcome = true, false, "left"
	w.handle(forwarder.ClientCanceled{ID: c.id}, c.loop)
}

// changeNode tells the gateway of a node.
func (w *World) changeNode(m Move) {
	n, u := &w.nodes[m.On], &w.counts
	switch m.Kind {
	case Drain:
		u.drains++
		n.state = dispatch.Draining
	case Remove:
		u.removes++
		n.state = dispatch.Removed
	case List:
		u.lists++
		n.listed, n.started = true, w.now
	case Renew:
		u.renews++
		n.started = max(w.now, n.started+1) // no two start at one moment
	}
	if w.stale { // the true list will have it
		return
	}
	if m.Kind == Renew {
		w.noteNodeRestart(n.id)
	}
	e := forwarder.EndpointUpdate{Kind: dispatch.Delta, Nodes: []forwarder.Node{endpoint(*n, n.state)}}
	w.noteEndpoints(e)
	w.handle(e, noLoop)
}

// restartGateway ends the gateway: its clients and nodes see their connections break. It
// begins again with the list that it had at the start.
func (w *World) restartGateway() {
	w.counts.crashes++
	w.loopQueues = [loopCount][]forwarder.Action{}
	for _, k := range w.sortedConns() {
		w.noteInterrupted(k)
		w.freeConn(k)
		delete(w.conns, k.id)
	}
	for _, c := range w.requests {
		if c.started && !c.finished() {
			c.canceled, c.onLoop = true, false
		}
	}
	clear(w.unusableSince)
	w.stale = true
	w.startGateway(dispatch.Cached)
}
