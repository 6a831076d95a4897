// Attempts: sending a request to a node, and what follows from the end of an attempt. Decides
// whether every rule permits an attempt; send is the only place that makes one. Owns the
// requests in flight at each node.

package dispatch

import "time"

// sendPermission says whether a request may be sent, and otherwise what blocks it.
type sendPermission int

const (
	permitted       sendPermission = iota
	volumeThrottled                // until a time, by the rate limit of its volume
	nodeBlocked                    // until a time, by slow start or ejection of its node
	forbidden                      // for good
)

// permitSend reports whether every rule permits sending r to n now, and otherwise from when
// on.
func (d *Dispatcher) permitSend(r *request, n *node) (time.Duration, sendPermission) {
	if r.state == completed || r.outstanding || d.now >= r.deadline || !n.listed || n.State != Ready {
		return d.now, forbidden
	}
	if r.Shard != AnyShard && r.Shard != n.Shard || r.attempts > 0 && !d.mayRetry(r, n) {
		return d.now, forbidden
	}
	if q := r.keyQueue; q != nil && (q.requests[0] != r || (d.now < q.quiescentAt && r.attempts == 0)) {
		return d.now, forbidden // cannot happen: only the first request of a key is queued
	}
	if at := max(n.ejectedUntil, d.slowStartReadyAt(n, 0)); at > d.now {
		return at, nodeBlocked
	}
	wait, exceedsLimit := d.rateLimitWait(r)
	switch {
	case exceedsLimit:
		return d.now, forbidden
	case wait > 0:
		return d.now + wait, volumeThrottled
	}
	return d.now, permitted
}

// send sends the head of a flow to n. sendPermission has permitted it.
func (d *Dispatcher) send(r *request, n *node) {
	r.flow.recordDispatch(r)
	d.dequeue(r)
	if r.attempts > 0 {
		d.dropRetryClaim(r)
		d.budgetRetries = append(d.budgetRetries, d.now)
	} else {
		r.volume.tokens -= r.Units
		d.chargeReserve(r.volume, r.Units)
	}
	n.slowStartDebt += r.Units
	r.state = inFlight
	r.outstanding = true
	r.node = n
	r.sentAt = d.now
	r.attempts++
	n.inFlight++
	n.lastSentAt = d.now
	n.inFlightRequests = append(n.inFlightRequests, r)
	d.emit(SendAttempt{ID: r.ID, Node: n.ID, Deadline: d.attemptDeadline(r, n), QueueTime: r.queueTime})
	r.queueTime = QueueTime{}
}

func (d *Dispatcher) handleAttemptCompleted(e AttemptCompleted) {
	r := d.requests[e.ID]
	if r == nil || !r.outstanding || e.Attempt != r.attempts-1 {
		return
	}
	n := r.node
	r.outstanding = false
	n.inFlight--
	d.markDirty(n)
	d.recordResult(n, r, e)
	r.presumedLost = false
	if e.QuotaUsage > 0 && finite(e.QuotaUsage) {
		r.volume.quotaUsage = e.QuotaUsage
	}
	if e.PeerUnits > 0 && finite(e.PeerUnits) {
		d.chargeReserve(r.volume, e.PeerUnits)
	}
	if e.Result.maybeExecuted() {
		r.markAmbiguous(n)
	}
	if r.keyQueue != nil && e.Result.maybeRunning() {
		d.extendQuiescence(r.keyQueue)
	}
	if r.state == completed || e.Responded {
		d.finish(r)
		return
	}
	d.scheduleRetry(r, n, e.Result)
}

// maybeExecuted reports whether the node may have executed the request.
func (a AttemptResult) maybeExecuted() bool {
	return a != Rejected && a != ConnectFailed && a != NotSent
}

// maybeRunning reports whether the request may still be running at the node.
func (a AttemptResult) maybeRunning() bool {
	return a == TimedOut || a == ConnectionReset || a == Canceled
}

// markAmbiguous records the first attempt of r that may have been executed.
func (r *request) markAmbiguous(n *node) {
	if r.ambiguous {
		return
	}
	r.ambiguous = true
	r.ambiguousSince = r.sentAt
	r.ambiguousZone = n.Zone
	r.ambiguousShard = n.Shard
}

// recordResult updates the state of n with the result of an attempt. Only a served response
// ends the ejection of a node.
func (d *Dispatcher) recordResult(n *node, r *request, e AttemptCompleted) {
	switch e.Result {
	case OK:
		d.updateLossRate(n, r, e)
		n.consecutiveFailures = 0
		n.ejectedUntil = 0
		n.completions.add(d.now, 1, completionWindow)
		d.observeLatency(n, r, e)
		n.shardThroughput.add(d.now, r.Units, shardThroughputWindow)
		d.cancelPresumedLost(n)
	case Canceled:
		if r.presumedLost { // not evidence of a failure of the node
			n.recordUnanswered(r)
		}
	case Rejected, TimedOut, ConnectFailed, ConnectionReset:
		n.consecutiveFailures++
		n.uncongestedResponses = 0
		if e.Result == TimedOut {
			n.recordUnanswered(r)
		}
		if n.consecutiveFailures >= ejectionThreshold {
			d.eject(n)
		}
	case ServerError, NotSent:
	}
}
