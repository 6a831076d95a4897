// This file implements latency attribution: it records how each request's time is divided
// among components. No decision depends on these records.

package forwarder

import (
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

// occupancyResolution is the shortest interval of a node's occupancy history. With this
// resolution, the history of a busy node covers at least two minutes.
const occupancyResolution = 8 * time.Millisecond

// requestAttribution records how the time of one request is divided among components.
type requestAttribution struct {
	span         attribution.Span
	behind       []attribution.Contribution  // volumes that the request queued behind
	occupiedNode *node                       // node whose occupancy includes the request, or nil
	ahead        []attribution.InFlightUnits // units in flight at the node when the request was sent
	timingKnown  bool                        // whether the node reported the timing of this attempt
	entry        attribution.Entry           // set when the request finishes
	unreported   [1]attribution.Unreported   // backing array of entry.Unreported
}

// occupancy returns the node's occupancy history, and creates it on the first call.
func (n *node) occupancy() *attribution.Occupancy {
	if n.occupancyHistory == nil {
		n.occupancyHistory = attribution.NewOccupancy(occupancyResolution)
	}
	return n.occupancyHistory
}

// attributeQueueTime divides the time that a request spent with the dispatcher, since its
// start or since the previous attempt. It assigns each part to the component that the
// dispatcher reports. It divides the wait for concurrency further, among the volumes that
// occupied the node. It assigns the remaining time to KeyOrder before the first attempt,
// and to RetryBackoff before a later one.
func (f *Forwarder) attributeQueueTime(r *request, queued dispatch.QueueTime) {
	if !f.cfg.Attribution || r.stage != stageWaiting {
		return
	}
	attr := &r.attribution
	before := attr.span.Parts[attribution.QueuedUnknown]
	attr.span.Enter(f.now, attribution.QueuedUnknown)
	remaining := attr.span.Parts[attribution.QueuedUnknown] - before
	move := func(to attribution.Component, d time.Duration) time.Duration {
		d = attr.span.Move(attribution.QueuedUnknown, to, min(d, remaining))
		remaining -= d
		return d
	}
	move(attribution.RateLimited, queued.RateLimit)
	move(attribution.SlowStart, queued.SlowStart)
	move(attribution.Ejected, queued.Ejected)
	behindOthers := move(attribution.QueuedBehindOthers, queued.Concurrency)
	if r.attempt < 0 {
		move(attribution.KeyOrder, remaining)
	} else {
		move(attribution.RetryBackoff, remaining)
	}
	if behindOthers > 0 {
		f.divideQueueTime(r, behindOthers)
	}
}

// divideQueueTime divides a request's wait for its node's concurrency among the volumes
// that occupied the node during the wait.
func (f *Forwarder) divideQueueTime(r *request, wait time.Duration) {
	attr := &r.attribution
	n := f.nodeQueuedFor(r)
	if n == nil { // the shard has no ready node any more
		attr.behind = append(attr.behind, attribution.Contribution{Time: wait})
		return
	}
	for _, b := range n.occupancy().Between(f.now-wait, f.now) {
		if b.Volume == string(r.req.Volume) {
			attr.span.Move(attribution.QueuedBehindOthers, attribution.QueuedBehindOwn, b.Time)
		} else {
			attr.behind = append(attr.behind, b)
		}
	}
}

// nodeQueuedFor returns the node whose concurrency a request waits for. This is the most
// recently started of the ready nodes of the request's shard, or nil if none is ready.
func (f *Forwarder) nodeQueuedFor(r *request) *node {
	var latest *node
	for _, n := range f.sortedNodes {
		if n.State == dispatch.Ready && n.Shard == r.req.Shard && (latest == nil || latest.Started < n.Started) {
			latest = n
		}
	}
	return latest
}

// attributeAttemptStart starts the attribution of an attempt, which begins with Dialing.
func (f *Forwarder) attributeAttemptStart(r *request) {
	r.attribution.timingKnown = false
	r.attribution.span.Enter(f.now, attribution.Dialing)
}

// attributeFailedAttempt moves the time of an attempt that ended without a response for the
// client to FailedAttempts. It also removes the request from its node's occupancy.
func (f *Forwarder) attributeFailedAttempt(r *request) {
	span := &r.attribution.span
	span.Enter(f.now, attribution.QueuedUnknown)
	d := f.now - r.attemptStartedAt
	d -= span.Move(attribution.NodeUnknown, attribution.FailedAttempts, d)
	span.Move(attribution.Dialing, attribution.FailedAttempts, d)
	f.leaveNode(r)
}

// enterNode adds a request to its node's occupancy.
func (f *Forwarder) enterNode(r *request, n *node) {
	attr := &r.attribution
	attr.span.Enter(f.now, attribution.NodeUnknown)
	if f.cfg.Attribution {
		attr.occupiedNode = n
		attr.ahead = n.occupancy().RequestSent(f.now, string(r.req.Volume), r.req.Units)
	}
}

// leaveNode removes a request from its node's occupancy.
func (f *Forwarder) leaveNode(r *request) {
	if n := r.attribution.occupiedNode; n != nil {
		n.occupancy().RequestEnded(f.now, string(r.req.Volume), r.req.Units)
		r.attribution.occupiedNode = nil
	}
}

// attributeNodeTiming divides an attempt's time at its node into queue time and service
// time, as the node reports them. The sum is limited to the time that has passed. The queue
// time is divided further, among the volumes that were in flight at the node when the
// request was sent.
func (f *Forwarder) attributeNodeTiming(r *request, info ResponseInfo) {
	attr := &r.attribution
	if !f.cfg.Attribution || !info.HasTiming || attr.timingKnown {
		return
	}
	attr.timingKnown = true
	queue := attr.span.Move(attribution.NodeUnknown, attribution.NodeQueue, info.QueueTime)
	attr.span.Move(attribution.NodeUnknown, attribution.NodeService, info.ServiceTime)
	attr.behind = append(attr.behind, attribution.DivideWait(attr.ahead, queue)...)
}

// attribute completes the attribution of a finished request and emits it.
func (f *Forwarder) attribute(r *request, outcome attribution.Outcome) {
	if !f.cfg.Attribution {
		return
	}
	attr := &r.attribution
	attr.span.Enter(f.now, attribution.Gateway)
	attr.entry = attr.span.Finish(string(r.req.Volume), outcome)
	attr.entry.Behind = attr.behind
	if unknown := attr.entry.Parts[attribution.NodeUnknown]; unknown > 0 && !attr.timingKnown {
		attr.unreported[0] = attribution.Unreported{
			Request: uint64(r.req.ID),
			Attempt: r.attempt,
			Unknown: unknown,
			Ahead:   attr.ahead,
		}
		attr.entry.Unreported = attr.unreported[:]
	}
	f.emit(RequestAttributed{ID: r.req.ID, Loop: r.loop, Entry: &attr.entry})
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

// outcomeOf returns the outcome that corresponds to a request's final response. A nil
// response means that the request was canceled.
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
