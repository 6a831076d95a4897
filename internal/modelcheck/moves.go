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
	kinds
)

var kindNames = [kinds]string{
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

// takes tells what a kind of move acts on.
func (k Kind) takes() string {
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

// text is a move as a replay has it.
func (w *World) text(m Move) string {
	switch m.Kind.takes() {
	case "node":
		return fmt.Sprintf("%v %s", m.Kind, w.nodes[m.On].id)
	case "":
		return m.Kind.String()
	}
	return fmt.Sprintf("%v %d", m.Kind, m.On)
}

// moves returns all that may happen now, in a fixed order.
func (w *World) moves(reduce bool) []Move {
	var ms []Move
	add := func(k Kind, on int) { ms = append(ms, Move{k, uint32(on)}) }
	for lane, kind := range [loops]Kind{Follow, Follow2} {
		if len(w.queue[lane]) == 0 {
			continue
		}
		if reduce && onlyAnswers(w.queue[lane]) {
			return []Move{{Kind: kind}}
		}
		add(kind, 0)
	}
	due := w.wake <= w.now
	if due {
		add(Fire, 0)
	}
	s, u := w.spec, &w.spent
	for i, c := range w.calls {
		switch {
		case !c.begun:
			if w.first == 0 || w.now <= w.first+w.spec.spread {
				add(Arrive, i+1)
			}
			continue
		case c.over() || !c.inLane:
			continue
		}
		if u.leaves < s.leaves {
			add(Leave, i+1)
		}
		if c.source && c.out != nil && !c.sent {
			if !c.flowing && u.flows < s.flows {
				add(Flow, i+1)
			}
			add(BodySent, i+1)
		}
	}
	for _, k := range w.sorted() {
		w.connMoves(k, add)
	}
	for i, n := range w.nodes {
		switch {
		case !n.on:
			if u.lists < s.lists {
				add(List, i)
			}
		case n.state == dispatch.Ready:
			if u.renews < s.renews {
				add(Renew, i)
			}
			if n.first && u.drains < s.drains {
				add(Drain, i)
			}
			fallthrough
		case n.state == dispatch.Draining:
			if n.first && u.removes < s.removes {
				add(Remove, i)
			}
		}
	}
	if u.crashes < s.crashes && w.working() {
		add(Crash, 0)
	}
	if w.stale {
		add(Truth, 0)
	}
	if !w.waiting() && !due && w.pending() {
		if t := w.next(); t < math.MaxInt64 {
			if w.before(t) > w.now {
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
	s, u, id := w.spec, &w.spent, int(k.id)
	if !k.open {
		add(DialOK, id)
		if u.dialFails < s.dialFails {
			add(DialFail, id)
		}
		return
	}
	if !k.has {
		if u.closes < s.closes {
			add(Reset, id)
		}
		if u.garbage < s.garbage && k.call == nil {
			add(Garbage, id)
		}
		return
	}
	if u.resets < s.resets {
		add(Reset, id)
	}
	if k.half {
		add(Rest, id)
		return
	}
	c := k.call
	if c != nil && c.source && !c.sent {
		// A node may answer an upload early, but only to turn it away.
		if u.fulls < s.fulls {
			add(Full, id)
		}
		return
	}
	if c != nil && c.big && u.heads < s.heads {
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

func (w *World) sorted() []*conn {
	return slices.SortedFunc(maps.Values(w.conns), func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}

// onlyAnswers tells whether all that waits for a loop is answers to clients of
// which no connection is part. Doing it at once commutes with all else: nothing
// that can happen before it looks at what it changes, but that a client may leave
// whose answer is on its way, which is an answer all the same.
func onlyAnswers(queue []forwarder.Action) bool {
	for _, a := range queue {
		switch a.(type) {
		case forwarder.Reject, forwarder.Fail:
		default:
			return false
		}
	}
	return true
}

// working tells whether a request is in hand.
func (w *World) working() bool {
	return slices.ContainsFunc(w.calls, func(c *call) bool { return c.begun && !c.over() })
}

// pending tells whether a request is in hand for which time matters: a body that
// stands still may stand for as long as it likes, and a search would not end.
func (w *World) pending() bool {
	return slices.ContainsFunc(w.calls, (*call).owed)
}

// next is the next moment at which something is due: the forwarder's timer, the end
// of a window in which repeats are dropped, of the grace after a drain, or of the
// time for an answer.
func (w *World) next() time.Duration {
	t := w.wake
	take := func(at time.Duration) {
		if at > w.now {
			t = min(t, at)
		}
	}
	for _, c := range w.calls {
		if !c.begun && w.first > 0 {
			take(w.first + w.spec.spread) // the last moment for it to come
		}
		if !c.begun || c.over() {
			continue
		}
		if c.mayRun && w.class(c).Idempotency == dispatch.Deduplicated {
			take(c.doubt + w.class(c).DedupWindow)
		}
		take(c.due)
	}
	return t
}

// before is the last moment of the grid before one.
func (w *World) before(t time.Duration) time.Duration { return (t - 1) / grid * grid }

func (w *World) class(c *call) *dispatch.Class { return &w.cfg.Dispatch.Classes[c.class] }

// apply does a move. It must be one that moves returned.
func (w *World) apply(m Move) {
	if w.log != nil {
		w.log("%v  %s", w.now-time.Second, w.text(m))
	}
	u := &w.spent
	switch m.Kind {
	case Arrive:
		w.arrive(w.calls[m.On-1])
	case Follow:
		w.follow(0)
	case Follow2:
		w.follow(1)
	case Fire:
		w.wake = math.MaxInt64
		w.tell(forwarder.TimerFired{}, elsewhere)
	case DialOK, DialFail:
		k := w.conns[forwarder.ConnID(m.On)]
		if k.open = m.Kind == DialOK; !k.open {
			u.dialFails++
			delete(w.conns, k.id)
		}
		w.tell(forwarder.DialCompleted{Conn: k.id, OK: k.open}, k.lane)
	case Served, Closing, Errored, Full, Headed, Rest, Garbage, Twice:
		w.answered(w.conns[forwarder.ConnID(m.On)], m.Kind)
	case Reset:
		k := w.conns[forwarder.ConnID(m.On)]
		if k.has {
			u.resets++
		} else {
			u.closes++
		}
		w.lost(k)
	case Leave:
		u.leaves++
		w.leave(w.calls[m.On-1])
	case Flow:
		c := w.calls[m.On-1]
		u.flows++
		c.flowing = true
		w.tell(forwarder.BodyStreaming{ID: c.id}, c.lane)
	case BodySent:
		c := w.calls[m.On-1]
		c.sent = true
		if c.flowing {
			c.due = max(c.due, w.now+w.class(c).Deadline)
		}
		w.tell(forwarder.BodySent{ID: c.id}, c.lane)
	case Drain, Remove, List, Renew:
		w.listing(m)
	case Crash:
		w.crash()
	case Truth:
		w.stale = false
		w.tell(w.list(dispatch.Snapshot), elsewhere)
	case Before:
		w.now = w.before(w.next())
	case Reach:
		w.now = w.next()
		w.checkTime()
	}
	w.checkForsaken()
}

func (w *World) arrive(c *call) {
	if w.first == 0 {
		w.first = w.now
	}
	k := w.class(c)
	c.begun, c.inLane, c.due = true, true, w.now+k.Deadline
	w.rules.taken(w, c)
	w.tell(forwarder.StartRequest{NotReplayable: c.once, Loop: c.lane, Request: dispatch.Request{
		ID: c.id, Class: c.class, Volume: "v", Key: c.key,
		Shard: c.shard, Units: 1, Dispatchers: 1, Timeout: k.Deadline,
	}}, c.lane)
}

// answered lets a node answer on a connection.
func (w *World) answered(k *conn, kind Kind) {
	u := &w.spent
	switch kind {
	case Closing:
		u.closes++
		k.dead = true // the node closes it
	case Errored:
		u.errors++
	case Full:
		u.fulls++
	case Headed:
		u.heads++
		k.half = true
	case Garbage, Twice:
		u.garbage++
	}
	if kind != Headed {
		k.has, k.half = false, false
	}
	w.proven(k, kind)
	if k.call == nil {
		k.dead = true // bytes that nobody asked for
	}
	w.receive(k, []byte(answerText[kind]))
}

// leave lets a client go.
func (w *World) leave(c *call) {
	c.left, c.inLane, c.end = true, false, "left"
	w.tell(forwarder.ClientCanceled{ID: c.id}, c.lane)
}

// listing tells the gateway of a node.
func (w *World) listing(m Move) {
	n, u := &w.nodes[m.On], &w.spent
	switch m.Kind {
	case Drain:
		u.drains++
		n.state = dispatch.Draining
	case Remove:
		u.removes++
		n.state = dispatch.Removed
	case List:
		u.lists++
		n.on, n.started = true, w.now
	case Renew:
		u.renews++
		n.started = max(w.now, n.started+1) // no two start at one moment
	}
	if w.stale { // the true list will have it
		return
	}
	if m.Kind == Renew {
		w.renewed(n.id)
	}
	e := forwarder.EndpointUpdate{Kind: dispatch.Delta, Nodes: []forwarder.Node{node(*n, n.state)}}
	w.hear(e)
	w.tell(e, elsewhere)
}

// crash ends the gateway: its clients and nodes see their connections break. It
// begins again with the list that it had at the start.
func (w *World) crash() {
	w.spent.crashes++
	w.queue = [loops][]forwarder.Action{}
	for _, k := range w.sorted() {
		w.doubted(k)
		w.free(k)
		delete(w.conns, k.id)
	}
	for _, c := range w.calls {
		if c.begun && !c.over() {
			c.left, c.inLane = true, false
		}
	}
	clear(w.told)
	w.stale = true
	w.begin(dispatch.Cached)
}
