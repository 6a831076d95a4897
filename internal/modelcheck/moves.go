package modelcheck

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// moveList collects the moves that can happen next in a world.
type moveList struct {
	world *World
	moves []Move
}

func (l *moveList) add(kind MoveKind, target int) {
	l.moves = append(l.moves, Move{Kind: kind, Target: uint32(target)})
}

// addWithin adds a move unless its kind has happened as often as the scenario allows.
func (l *moveList) addWithin(count, limit int, kind MoveKind, target int) {
	if count < limit {
		l.add(kind, target)
	}
}

// enabledMoves returns the moves that can happen now, in a fixed order. If reduce is set, it
// applies partial-order reduction: it omits alternative orders of moves that commute.
func (w *World) enabledMoves(reduce bool) []Move {
	l := &moveList{world: w}
	for loop, kind := range [loopCount]MoveKind{RunLoop0, RunLoop1} {
		if len(w.loopQueues[loop]) == 0 {
			continue
		}
		if reduce && onlyResponses(w.loopQueues[loop]) {
			return []Move{{Kind: kind}}
		}
		l.add(kind, 0)
	}
	timerDue := w.wakeAt <= w.now
	if timerDue {
		l.add(FireTimer, 0)
	}
	for i, r := range w.requests {
		l.addRequestMoves(r, i+1)
	}
	for _, c := range w.sortedConns() {
		l.addConnMoves(c)
	}
	for i := range w.nodes {
		l.addNodeMoves(&w.nodes[i], i)
	}
	if w.anyUnfinished() {
		l.addWithin(w.counts.gatewayRestarts, w.scenario.limits.gatewayRestarts, RestartGateway, 0)
	}
	if !w.shuttingDown {
		l.addWithin(w.counts.shutdowns, w.scenario.limits.shutdowns, ShutDownGateway, 0)
	}
	if w.endpointsStale {
		l.add(RefreshEndpoints, 0)
	}
	if !w.loopsPending() && !timerDue && w.anyResponseDue() {
		l.addTimeMoves()
	}
	return l.moves
}

func (l *moveList) addRequestMoves(r *request, number int) {
	w, counts, limits := l.world, &l.world.counts, &l.world.scenario.limits
	if !r.started {
		if w.firstArrival == 0 || w.now <= w.firstArrival+w.scenario.arrivalWindow {
			l.add(StartRequest, number)
		}
		return
	}
	if r.finished() || !r.onLoop {
		return
	}
	l.addWithin(counts.cancels, limits.cancels, CancelRequest, number)
	if r.sendingBody && r.conn != nil && !r.bodySent {
		if !r.bodyStreaming {
			l.addWithin(counts.bodyStreams, limits.bodyStreams, StreamBody, number)
		}
		l.add(FinishBody, number)
	}
}

func (l *moveList) addConnMoves(c *conn) {
	counts, limits, id := &l.world.counts, &l.world.scenario.limits, int(c.id)
	switch {
	case !c.open:
		l.add(CompleteDial, id)
		l.addWithin(counts.failedDials, limits.failedDials, FailDial, id)
		return
	case !c.atNode:
		l.addWithin(counts.closes, limits.closes, ResetConn, id)
		if c.request == nil {
			l.addWithin(counts.invalids, limits.invalids, RespondInvalid, id)
		}
		return
	}
	l.addWithin(counts.resets, limits.resets, ResetConn, id)
	switch {
	case c.partial:
		l.add(RespondRest, id)
	case c.sendingBody():
		// A node may respond before it has read the whole body, but only to reject the request.
		l.addWithin(counts.rejects, limits.rejects, RespondReject, id)
	default:
		l.addResponses(c)
	}
}

// addResponses adds the possible responses of a node that has read a whole request.
func (l *moveList) addResponses(c *conn) {
	counts, limits, id := &l.world.counts, &l.world.scenario.limits, int(c.id)
	if c.request != nil && c.request.streamed {
		l.addWithin(counts.streams, limits.streams, RespondStart, id)
	}
	l.add(RespondOK, id)
	l.addWithin(counts.closes, limits.closes, RespondAndClose, id)
	l.addWithin(counts.errors, limits.errors, RespondError, id)
	l.addWithin(counts.rejects, limits.rejects, RespondReject, id)
	l.addWithin(counts.invalids, limits.invalids, RespondInvalid, id)
	l.addWithin(counts.invalids, limits.invalids, RespondTwice, id)
}

func (l *moveList) addNodeMoves(n *node, index int) {
	counts, limits := &l.world.counts, &l.world.scenario.limits
	if !n.listed {
		l.addWithin(counts.adds, limits.adds, AddNode, index)
		return
	}
	if n.state == dispatch.Ready {
		l.addWithin(counts.nodeRestarts, limits.nodeRestarts, RestartNode, index)
		if n.initial {
			l.addWithin(counts.drains, limits.drains, DrainNode, index)
		}
	}
	if n.state != dispatch.Removed && n.initial {
		l.addWithin(counts.removes, limits.removes, RemoveNode, index)
	}
}

// addTimeMoves adds the next move that advances the clock, if anything is due later.
func (l *moveList) addTimeMoves() {
	t := l.world.nextDeadline()
	switch {
	case t == math.MaxInt64:
	case justBefore(t) > l.world.now:
		l.add(AdvanceBefore, 0)
	default:
		l.add(AdvanceTo, 0)
	}
}

// sortedConns returns all connections, including those still being dialed, in the order of
// their IDs.
func (w *World) sortedConns() []*conn {
	return slices.SortedFunc(maps.Values(w.conns), func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}

// onlyResponses reports whether all pending actions of an event loop are responses to clients
// that involve no connection. Performing these actions at once commutes with every other move,
// because no move that can happen before them depends on the state that they change. Only a
// client may cancel in between, and the model treats its response as already delivered.
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

// anyUnfinished reports whether any request has started and not finished.
func (w *World) anyUnfinished() bool {
	return slices.ContainsFunc(w.requests, (*request).unfinished)
}

// anyResponseDue reports whether any response must start by a deadline. Without such a
// deadline the time has no influence, and a search that advanced the clock would never end.
func (w *World) anyResponseDue() bool {
	return slices.ContainsFunc(w.requests, (*request).responseDue)
}

// nextDeadline returns the next time at which something is due. This is the forwarder's timer,
// the end of a deduplication window, the deadline of a request, or the last time at which
// requests may arrive. It returns math.MaxInt64 if nothing is due.
func (w *World) nextDeadline() time.Duration {
	next := w.wakeAt
	consider := func(at time.Duration) {
		if at > w.now {
			next = min(next, at)
		}
	}
	for _, r := range w.requests {
		if !r.started && w.firstArrival > 0 {
			consider(w.firstArrival + w.scenario.arrivalWindow)
		}
		if !r.unfinished() {
			continue
		}
		if class := w.class(r); r.ambiguous && class.Idempotency == dispatch.Deduplicated {
			consider(r.ambiguousSince + class.DedupWindow)
		}
		consider(r.deadline)
	}
	return next
}

// justBefore returns the last multiple of timeGrid before a point in time.
func justBefore(t time.Duration) time.Duration { return (t - 1) / timeGrid * timeGrid }
