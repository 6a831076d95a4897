// This file handles a request from its arrival to its final answer. It decides whether an
// arriving request should still be queued, and which final answer a request may get. It owns
// the request records.

package dispatch

import (
	"time"

	"chalkstand/internal/timerqueue"
)

const (
	minRetryAfter     = 50 * time.Millisecond // lower bound of Reject.RetryAfter
	defaultRetryAfter = 4 * minRetryAfter     // Reject.RetryAfter if nothing tells when a retry may succeed
)

// requestState says how far a request has come between its arrival and its final answer.
type requestState int

const (
	queuedByKey requestState = iota // the request waits in the queue of its key
	queued                          // the request waits in the queue of its node
	inFlight                        // an attempt of the request is in flight
	backoff                         // the request waits for its next attempt
	completed                       // the request needs no further answer
)

// request is the dispatcher's record of a request that has arrived.
type request struct {
	Request
	class       *Class
	volume      *volume
	node        *node
	flow        *flow     // flow that the request is queued in; nil if it is not queued at a node
	keyQueue    *keyQueue // queue of the request's key; nil if the request need not keep order
	state       requestState
	outstanding bool // whether an attempt has not ended, even if the client has its answer
	// presumedLost is true if the dispatcher presumes that the response to the outstanding
	// attempt is lost and is therefore canceling the attempt.
	presumedLost       bool
	retryClaim         retryClaim
	sequence           uint64        // position in the order of arrival of all requests
	attempts           int           // number of attempts sent so far
	sentAt             time.Duration // when the last attempt was sent
	concurrency        int           // requests in flight at the node with the last attempt, when it was sent
	deadline           time.Duration // when the client gives up
	answerBy           time.Duration // when a response must be here to reach the client in time
	arrivalUnconfirmed bool          // whether r may still arrive at a node, by quota.go
	withinReserve      bool          // whether the volume had reserve for the request when it was admitted
	arrivalVirtualTime float64       // virtual time of the node when the request was queued there

	ambiguous      bool          // whether an attempt may have been executed
	ambiguousSince time.Duration // send time of the first attempt that may have been executed
	ambiguousZone  int           // zone of the node that received that attempt
	ambiguousShard Shard         // shard of the node that received that attempt

	expiry           *timerqueue.Timer[timerEvent] // timer that rejects the request in its queue
	queueTime        QueueTime                     // time spent in queues that the request has left
	blockedAtEnqueue blockedTimes                  // blocked times of the flow when the request was queued
}

func (d *Dispatcher) handleRequest(e Request) {
	if d.requests[e.ID] != nil {
		return // the event is a duplicate
	}
	if !d.valid(e) {
		d.emit(Reject{ID: e.ID, RetryAfter: minRetryAfter})
		return
	}
	d.countBudgetRequest()
	if d.shuttingDown || !d.hasRoomForVolume(e.Volume) {
		d.emit(Reject{ID: e.ID, RetryAfter: d.cfg.DefaultRetryAfter()})
		return
	}
	class := &d.cfg.Classes[e.Class]
	// No client waits longer than the deadline of its class. The bound keeps a request with a
	// longer timeout from holding a place at a silent node for as long as it says.
	timeout := min(e.Timeout, class.Deadline)
	deadline := d.now + timeout
	d.lastSequence++
	r := &request{
		Request:  e,
		class:    class,
		sequence: d.lastSequence,
		deadline: deadline,
		answerBy: deadline - min(d.cfg.RoundTrip, timeout/2), // half of a short time stays usable
		volume:   d.volumeFor(e),
	}
	d.requests[r.ID] = r
	if class.Ordered && r.Key != "" && !d.joinKeyQueue(r) {
		return
	}
	d.place(r)
}

// valid reports whether the class, plan, cost and timeout of e are within their ranges.
func (d *Dispatcher) valid(e Request) bool {
	return e.Class >= 0 && e.Class < len(d.cfg.Classes) && e.Plan >= 0 && e.Plan < len(d.cfg.Plans) &&
		isFiniteNonNegative(e.Units) && e.Timeout > 0
}

func (d *Dispatcher) handleClientCanceled(e ClientCanceled) {
	r := d.requests[e.ID]
	if r == nil || r.state == completed {
		return
	}
	if r.outstanding && d.cfg.CancelAttempts {
		d.emit(CancelAttempt{ID: r.ID, Attempt: r.attempts - 1})
	}
	d.finish(r)
}

// reject gives r its final answer: Reject if the client may safely retry r, otherwise Fail. It
// limits retryAfter to the range from minRetryAfter to Config.MaxRetryAfter.
func (d *Dispatcher) reject(r *request, retryAfter time.Duration) {
	queueTime := r.queueTimeUntil(d.now)
	if r.mayReject() {
		retryAfter = d.cfg.boundRetryAfter(retryAfter)
		d.emit(Reject{ID: r.ID, RetryAfter: retryAfter, QueueTime: queueTime})
	} else {
		d.emit(Fail{ID: r.ID, QueueTime: queueTime})
	}
	d.finish(r)
}

// boundRetryAfter limits a retry time to the range from minRetryAfter to c.MaxRetryAfter.
func (c *Config) boundRetryAfter(retryAfter time.Duration) time.Duration {
	return min(max(retryAfter, minRetryAfter), max(c.MaxRetryAfter, minRetryAfter))
}

// DefaultRetryAfter returns the retry time of a rejection whose cause may end at any time, such as
// a limit on open requests.
func (c *Config) DefaultRetryAfter() time.Duration { return c.boundRetryAfter(defaultRetryAfter) }

// mayReject reports whether the client may safely retry r: r was not executed, or executing it
// twice does no harm.
func (r *request) mayReject() bool {
	return !r.ambiguous && !r.outstanding || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == Deduplicated && r.class.DedupScope == DedupEverywhere
}

// finish marks r as completed and removes it from its queue. The record of r stays until its
// outstanding attempt ends.
func (d *Dispatcher) finish(r *request) {
	if r.flow != nil {
		d.markDirty(r.node)
		d.dequeue(r)
	}
	d.clearExpiry(r)
	d.dropRetryClaim(r)
	r.state = completed
	if !r.outstanding {
		d.confirmArrival(r)
		delete(d.requests, r.ID)
		d.advanceKeyQueue(r.keyQueue)
	}
}

// setExpiry sets the timer that rejects r at the given time. The timer is removed if r leaves
// its queue earlier.
func (d *Dispatcher) setExpiry(r *request, at time.Duration) {
	d.clearExpiry(r)
	r.expiry = d.addTimer(at, timerEvent{kind: expiryTimer, request: r})
}

// clearExpiry removes the expiry timer of r, so that the timer queue does not hold the timers
// of answered requests.
func (d *Dispatcher) clearExpiry(r *request) {
	d.timers.Remove(r.expiry)
	r.expiry = nil
}

// expire rejects r when its expiry timer fires, if r still waits in a queue.
func (d *Dispatcher) expire(r *request) {
	if r.state == queued {
		d.reject(r, d.queueDelay(r))
	}
	if r.state == queuedByKey {
		d.reject(r, minRetryAfter)
	}
}

// queueDelay returns how long a request that joins the queue of r now would wait.
func (d *Dispatcher) queueDelay(r *request) time.Duration {
	n := r.node
	return d.retryAfterAt(n) + d.expectedWait(r, r.flow, n)
}
