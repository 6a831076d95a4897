// Latency attribution: it owns the record of how each request's time is attributed. No
// decision depends on them.

package forwarder

import (
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

// occupancyResolution is the shortest interval of a node's occupancy history. The history
// of a busy node then covers at least two minutes.
const occupancyResolution = 8 * time.Millisecond

// requestAttribution is the attribution of one request.
type requestAttribution struct {
	span        attribution.Span
	behind      []attribution.Contribution  // volumes behind which it queued
	occupied    *node                       // in whose occupancy it counts
	ahead       []attribution.InFlightUnits // in flight at the node when it was sent
	timingKnown bool                        // the node reported the timing of this attempt
	entry       attribution.Entry           // complete once the request has finished
	unreported  [1]attribution.Unreported   // backs entry.Unreported
}

func (n *node) occupancy() *attribution.Occupancy {
	if n.occupancyHistory == nil {
		n.occupancyHistory = attribution.NewOccupancy(occupancyResolution)
	}
	return n.occupancyHistory
}

// attributeQueueTime divides the time since the last attempt, or since the start, among
// the causes that the dispatcher names. The wait for concurrency is divided among the
// volumes that occupied the node. What is left is the key's order before the first
// attempt, and the backoff before a further one.
func (f *Forwarder) attributeQueueTime(r *request, queued dispatch.QueueTime) {
	if !f.cfg.Attribution || r.stage != stageWaiting {
		return
	}
	acct := &r.attribution
	before := acct.span.Parts[attribution.QueuedUnknown]
	acct.span.Enter(f.now, attribution.QueuedUnknown)
	left := acct.span.Parts[attribution.QueuedUnknown] - before
	move := func(to attribution.Component, d time.Duration) time.Duration {
		d = acct.span.Move(attribution.QueuedUnknown, to, min(d, left))
		left -= d
		return d
	}
	move(attribution.RateLimited, queued.RateLimit)
	move(attribution.SlowStart, queued.SlowStart)
	move(attribution.Ejected, queued.Ejected)
	behindOthers := move(attribution.QueuedBehindOthers, queued.Concurrency)
	if r.attempt < 0 {
		move(attribution.KeyOrder, left)
	} else {
		move(attribution.RetryBackoff, left)
	}
	if behindOthers > 0 {
		f.divideQueueTime(r, behindOthers)
	}
}

// divideQueueTime divides the wait for a node's concurrency among the volumes that occupied
// the node during that time.
func (f *Forwarder) divideQueueTime(r *request, wait time.Duration) {
	acct := &r.attribution
	n := f.queuedAt(r)
	if n == nil { // the node was removed meanwhile
		acct.behind = append(acct.behind, attribution.Contribution{Time: wait})
		return
	}
	for _, b := range n.occupancy().Between(f.now-wait, f.now) {
		if b.Volume == string(r.req.Volume) {
			acct.span.Move(attribution.QueuedBehindOthers, attribution.QueuedBehindOwn, b.Time)
		} else {
			acct.behind = append(acct.behind, b)
		}
	}
}

// queuedAt returns the node for which a request is queued: of the ready nodes of its
// shard, the one started last.
func (f *Forwarder) queuedAt(r *request) *node {
	var latest *node
	for _, n := range f.sortedNodes {
		if n.State == dispatch.Ready && n.Shard == r.req.Shard && (latest == nil || latest.Started < n.Started) {
			latest = n
		}
	}
	return latest
}

// attributeAttemptStart starts the attribution of an attempt.
func (f *Forwarder) attributeAttemptStart(r *request) {
	r.attribution.timingKnown = false
	r.attribution.span.Enter(f.now, attribution.Dialing)
}

// attributeFailedAttempt moves the time of an attempt without a response to FailedAttempts.
func (f *Forwarder) attributeFailedAttempt(r *request) {
	span := &r.attribution.span
	span.Enter(f.now, attribution.QueuedUnknown)
	d := f.now - r.attemptStartedAt
	d -= span.Move(attribution.NodeUnknown, attribution.FailedAttempts, d)
	span.Move(attribution.Dialing, attribution.FailedAttempts, d)
	f.leaveNode(r)
}

// enterNode counts a request in its node's occupancy.
func (f *Forwarder) enterNode(r *request, n *node) {
	acct := &r.attribution
	acct.span.Enter(f.now, attribution.NodeUnknown)
	if f.cfg.Attribution {
		acct.occupied = n
		acct.ahead = n.occupancy().RequestSent(f.now, string(r.req.Volume), r.req.Units)
	}
}

// leaveNode removes a request from its node's occupancy.
func (f *Forwarder) leaveNode(r *request) {
	if n := r.attribution.occupied; n != nil {
		n.occupancy().RequestEnded(f.now, string(r.req.Volume), r.req.Units)
		r.attribution.occupied = nil
	}
}

// attributeNodeTiming divides the attempt's time at its node as the node reports it, up to
// the time that has passed. The wait in the node's queue is divided among the volumes that
// were in flight there when the request was sent.
func (f *Forwarder) attributeNodeTiming(r *request, info ResponseInfo) {
	acct := &r.attribution
	if !f.cfg.Attribution || !info.HasTiming || acct.timingKnown {
		return
	}
	acct.timingKnown = true
	queue := acct.span.Move(attribution.NodeUnknown, attribution.NodeQueue, info.QueueTime)
	acct.span.Move(attribution.NodeUnknown, attribution.NodeService, info.ServiceTime)
	acct.behind = append(acct.behind, attribution.Divide(acct.ahead, queue)...)
}

// attribute completes and emits a request's attribution.
func (f *Forwarder) attribute(r *request, outcome attribution.Outcome) {
	if !f.cfg.Attribution {
		return
	}
	acct := &r.attribution
	acct.span.Enter(f.now, attribution.Gateway)
	acct.entry = acct.span.Finish(string(r.req.Volume), outcome)
	acct.entry.Behind = acct.behind
	if unknown := acct.entry.Parts[attribution.NodeUnknown]; unknown > 0 && !acct.timingKnown {
		acct.unreported[0] = attribution.Unreported{
			Request: uint64(r.req.ID),
			Attempt: r.attempt,
			Unknown: unknown,
			Ahead:   acct.ahead,
		}
		acct.entry.Unreported = acct.unreported[:]
	}
	f.emit(RequestAttributed{ID: r.req.ID, Loop: r.loop, Entry: &acct.entry})
}

// attributeRejection emits the attribution of a request that was rejected at its start.
func (f *Forwarder) attributeRejection(e StartRequest) {
	if !f.cfg.Attribution {
		return
	}
	f.emit(RequestAttributed{
		ID:   e.Request.ID,
		Loop: e.Loop,
		Entry: &attribution.Entry{
			Volume:  string(e.Request.Volume),
			Started: f.now,
			Ended:   f.now,
			Outcome: attribution.Rejected,
		},
	})
}

// outcomeOf returns the outcome of a request by its final response; nil: its client has
// canceled.
func outcomeOf(response Action) attribution.Outcome {
	switch response.(type) {
	case ForwardResponse:
		return attribution.Completed
	case Reject:
		return attribution.Rejected
	case Fail:
		return attribution.Failed
	case AbortResponse:
		return attribution.Aborted
	}
	return attribution.Canceled
}
