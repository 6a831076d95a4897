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

// moveList collects the moves that can happen in a world.
type moveList struct {
	world *World
	moves []Move
}

func (l *moveList) add(kind Kind, target int) {
	l.moves = append(l.moves, Move{Kind: kind, Target: uint32(target)})
}

// addWithin adds a move whose kind has a limit, where that is not reached.
func (l *moveList) addWithin(count, limit int, kind Kind, target int) {
	if count < limit {
		l.add(kind, target)
	}
}

// enabledMoves returns the moves that can happen now, in a fixed order. With reduce set,
// orders of moves that commute are left out.
func (w *World) enabledMoves(reduce bool) []Move {
	l := &moveList{world: w}
	for loop, kind := range [loopCount]Kind{RunLoop0, RunLoop1} {
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
		// A node may respond before it has read the body, but only to reject the request.
		l.addWithin(counts.rejects, limits.rejects, RespondReject, id)
	default:
		l.addResponses(c)
	}
}

// addResponses adds the responses of a node that has read the whole request.
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

// addTimeMoves adds the one move in time that is next, if anything is due later.
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

func (w *World) sortedConns() []*conn {
	return slices.SortedFunc(maps.Values(w.conns), func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}

// onlyResponses reports whether all pending actions of a loop are responses to clients that
// concern no connection. Performing them at once commutes with every other move: none that
// can happen before depends on what they change. Only the client may cancel meanwhile, but
// its response counts as given.
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

// anyUnfinished reports whether a request is unfinished.
func (w *World) anyUnfinished() bool {
	return slices.ContainsFunc(w.requests, (*request).unfinished)
}

// anyResponseDue reports whether a request has a deadline. Without one time does not matter,
// and a search in which it passed would not end.
func (w *World) anyResponseDue() bool {
	return slices.ContainsFunc(w.requests, (*request).responseDue)
}

// nextDeadline returns the next time at which something is due: the forwarder's timer, the
// end of a deduplication window, a request's deadline, or the last time for requests to
// arrive. It returns math.MaxInt64 where nothing is due.
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

// justBefore returns the last time on the grid before a time.
func justBefore(t time.Duration) time.Duration { return (t - 1) / timeGrid * timeGrid }
