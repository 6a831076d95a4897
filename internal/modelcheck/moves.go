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
	StartRequest     Kind = iota // a client's request comes
	RunLoop0                     // the loop comes to what was decided elsewhere
	RunLoop1                     // the second loop does
	FireTimer                    // the forwarder's timer
	CompleteDial                 // a connection is there
	FailDial                     // it is not
	RespondOK                    // a node answers
	RespondAndClose              // it answers and closes
	RespondError                 // 500
	RespondReject                // 503
	RespondStart                 // the head of a large answer, and half of it
	RespondRest                  // the rest
	RespondInvalid               // what is no answer
	RespondTwice                 // more than an answer
	ResetConn                    // a connection breaks
	CancelRequest                // a client leaves
	StreamBody                   // a body flows
	FinishBody                   // it has gone out
	DrainNode                    // a node is said to drain
	RemoveNode                   // to be gone
	AddNode                      // to serve, for the first time
	RestartNode                  // to be another process at the same place
	RestartGateway               // the gateway ends, and begins again with an old list
	RefreshEndpoints             // and hears the true one
	AdvanceBefore                // time passes to just before something is due
	AdvanceTo                    // to the moment
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
	Kind   Kind
	Target uint32
}

// operand tells what a kind of move acts on.
func (k Kind) operand() string {
	switch k {
	case StartRequest, CancelRequest, StreamBody, FinishBody:
		return "request"
	case CompleteDial, FailDial, RespondOK, RespondAndClose, RespondError, RespondReject, RespondStart, RespondRest, RespondInvalid, RespondTwice, ResetConn:
		return "connection"
	case DrainNode, RemoveNode, AddNode, RestartNode:
		return "node"
	}
	return ""
}

// moveText is a move as a replay has it.
func (w *World) moveText(m Move) string {
	switch m.Kind.operand() {
	case "node":
		return fmt.Sprintf("%v %s", m.Kind, w.nodes[m.Target].id)
	case "":
		return m.Kind.String()
	}
	return fmt.Sprintf("%v %d", m.Kind, m.Target)
}

// enabledMoves returns all that may happen now, in a fixed order.
func (w *World) enabledMoves(reduce bool) []Move {
	var ms []Move
	add := func(k Kind, on int) { ms = append(ms, Move{k, uint32(on)}) }
	for lane, kind := range [loopCount]Kind{RunLoop0, RunLoop1} {
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
		add(FireTimer, 0)
	}
	s, u := w.scenario, &w.counts
	for i, c := range w.requests {
		switch {
		case !c.started:
			if w.firstArrival == 0 || w.now <= w.firstArrival+w.scenario.spread {
				add(StartRequest, i+1)
			}
			continue
		case c.finished() || !c.onLoop:
			continue
		}
		if u.leaves < s.leaves {
			add(CancelRequest, i+1)
		}
		if c.sendingBody && c.conn != nil && !c.bodySent {
			if !c.bodyStreaming && u.flows < s.flows {
				add(StreamBody, i+1)
			}
			add(FinishBody, i+1)
		}
	}
	for _, k := range w.sortedConns() {
		w.connMoves(k, add)
	}
	for i, n := range w.nodes {
		switch {
		case !n.listed:
			if u.lists < s.lists {
				add(AddNode, i)
			}
		case n.state == dispatch.Ready:
			if u.renews < s.renews {
				add(RestartNode, i)
			}
			if n.initial && u.drains < s.drains {
				add(DrainNode, i)
			}
			fallthrough
		case n.state == dispatch.Draining:
			if n.initial && u.removes < s.removes {
				add(RemoveNode, i)
			}
		}
	}
	if u.crashes < s.crashes && w.anyUnfinished() {
		add(RestartGateway, 0)
	}
	if w.stale {
		add(RefreshEndpoints, 0)
	}
	if !w.loopsPending() && !due && w.anyResponseDue() {
		if t := w.nextDeadline(); t < math.MaxInt64 {
			if w.justBefore(t) > w.now {
				add(AdvanceBefore, 0)
			} else {
				add(AdvanceTo, 0)
			}
		}
	}
	return ms
}

// connMoves returns what may happen on one connection.
func (w *World) connMoves(k *conn, add func(Kind, int)) {
	s, u, id := w.scenario, &w.counts, int(k.id)
	if !k.open {
		add(CompleteDial, id)
		if u.dialFails < s.dialFails {
			add(FailDial, id)
		}
		return
	}
	if !k.atNode {
		if u.closes < s.closes {
			add(ResetConn, id)
		}
		if u.garbage < s.garbage && k.request == nil {
			add(RespondInvalid, id)
		}
		return
	}
	if u.resets < s.resets {
		add(ResetConn, id)
	}
	if k.partial {
		add(RespondRest, id)
		return
	}
	c := k.request
	if c != nil && c.sendingBody && !c.bodySent {
		// A node may answer an upload early, but only to turn it away.
		if u.fulls < s.fulls {
			add(RespondReject, id)
		}
		return
	}
	if c != nil && c.streamed && u.heads < s.heads {
		add(RespondStart, id)
	}
	add(RespondOK, id)
	if u.closes < s.closes {
		add(RespondAndClose, id)
	}
	if u.errors < s.errors {
		add(RespondError, id)
	}
	if u.fulls < s.fulls {
		add(RespondReject, id)
	}
	if u.garbage < s.garbage {
		add(RespondInvalid, id)
		add(RespondTwice, id)
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
	case StartRequest:
		w.startRequest(w.requests[m.Target-1])
	case RunLoop0:
		w.runLoop(0)
	case RunLoop1:
		w.runLoop(1)
	case FireTimer:
		w.wakeAt = math.MaxInt64
		w.handle(forwarder.TimerFired{}, noLoop)
	case CompleteDial, FailDial:
		k := w.conns[forwarder.ConnID(m.Target)]
		if k.open = m.Kind == CompleteDial; !k.open {
			u.dialFails++
			delete(w.conns, k.id)
		}
		w.handle(forwarder.DialCompleted{Conn: k.id, OK: k.open}, k.loop)
	case RespondOK, RespondAndClose, RespondError, RespondReject, RespondStart, RespondRest, RespondInvalid, RespondTwice:
		w.respond(w.conns[forwarder.ConnID(m.Target)], m.Kind)
	case ResetConn:
		k := w.conns[forwarder.ConnID(m.Target)]
		if k.atNode {
			u.resets++
		} else {
			u.closes++
		}
		w.loseConn(k)
	case CancelRequest:
		u.leaves++
		w.cancelRequest(w.requests[m.Target-1])
	case StreamBody:
		c := w.requests[m.Target-1]
		u.flows++
		c.bodyStreaming = true
		w.handle(forwarder.BodyStreaming{ID: c.id}, c.loop)
	case FinishBody:
		c := w.requests[m.Target-1]
		c.bodySent = true
		if c.bodyStreaming {
			c.deadline = max(c.deadline, w.now+w.class(c).Deadline)
		}
		w.handle(forwarder.BodySent{ID: c.id}, c.loop)
	case DrainNode, RemoveNode, AddNode, RestartNode:
		w.changeNode(m)
	case RestartGateway:
		w.restartGateway()
	case RefreshEndpoints:
		w.stale = false
		w.handle(w.endpointList(dispatch.Snapshot), noLoop)
	case AdvanceBefore:
		w.now = w.justBefore(w.nextDeadline())
	case AdvanceTo:
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
	case RespondAndClose:
		u.closes++
		k.unusable = true // the node closes it
	case RespondError:
		u.errors++
	case RespondReject:
		u.fulls++
	case RespondStart:
		u.heads++
		k.partial = true
	case RespondInvalid, RespondTwice:
		u.garbage++
	}
	if kind != RespondStart {
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
	n, u := &w.nodes[m.Target], &w.counts
	switch m.Kind {
	case DrainNode:
		u.drains++
		n.state = dispatch.Draining
	case RemoveNode:
		u.removes++
		n.state = dispatch.Removed
	case AddNode:
		u.lists++
		n.listed, n.started = true, w.now
	case RestartNode:
		u.renews++
		n.started = max(w.now, n.started+1) // no two start at one moment
	}
	if w.stale { // the true list will have it
		return
	}
	if m.Kind == RestartNode {
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
