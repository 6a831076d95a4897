// This file sends requests to nodes and handles the results of these attempts. It decides
// whether every rule permits an attempt. The function send is the only place that starts one.
// The file owns the requests in flight at each node.

package dispatch

import "time"

// sendPermission says whether a request may be sent now and, if it may not, what blocks it.
type sendPermission int

const (
	permitted       sendPermission = iota
	volumeThrottled                // the rate limit of the volume blocks the request for some time
	nodeBlocked                    // slow start or ejection blocks the node for some time
	forbidden                      // the request must not be sent to the node, now or later
)

// permitSend reports whether every rule permits sending r to n now. If a rule blocks r only for
// some time, the returned time says when that rule is expected to permit r.
func (d *Dispatcher) permitSend(r *request, n *node) (time.Duration, sendPermission) {
	if r.state == completed || r.outstanding || d.now >= r.deadline || !n.listed || n.State != Ready {
		return d.now, forbidden
	}
	if r.Shard != AnyShard && r.Shard != n.Shard || r.attempts > 0 && !d.mayRetry(r, n) {
		return d.now, forbidden
	}
	if q := r.keyQueue; q != nil && (q.requests[0] != r || (d.now < q.quiescentAt && r.attempts == 0)) {
		return d.now, forbidden // cannot happen: only the first request of a key is queued at a node
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

// send sends r, the head of its flow, to n. The caller has checked that permitSend permits it.
func (d *Dispatcher) send(r *request, n *node) {
	r.flow.recordDispatch(r)
	d.dequeue(r)
	if r.attempts > 0 {
		d.dropRetryClaim(r)
		d.budgetRetries = append(d.budgetRetries, d.now)
	} else {
		d.chargeTokens(r)
		d.chargeReserve(r.volume, r.Units)
	}
	n.slowStartDebt += r.Units
	r.state = inFlight
	r.outstanding = true
	r.node = n
	r.sentAt = d.now
	r.attempts++
	n.inFlight++
	r.concurrency = n.inFlight
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
	if e.QuotaUsage > 0 && isFiniteNonNegative(e.QuotaUsage) {
		r.volume.quotaUsage = e.QuotaUsage
	}
	if e.PeerUnits > 0 && isFiniteNonNegative(e.PeerUnits) {
		d.chargeReserve(r.volume, e.PeerUnits)
	}
	if e.Result.maybeExecuted() {
		r.markAmbiguous(n)
	}
	if e.Result.answered() {
		d.confirmArrival(r)
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

// maybeExecuted reports whether the node may have executed a request whose attempt ended with
// the result a.
func (a AttemptResult) maybeExecuted() bool {
	return a != Rejected && a != ConnectFailed && a != NotSent
}

// answered reports whether the node has answered the attempt, so that the request has arrived there.
func (a AttemptResult) answered() bool { return a == OK || a == ServerError || a == Rejected }

// maybeRunning reports whether the node may still be executing a request whose attempt ended
// with the result a.
func (a AttemptResult) maybeRunning() bool {
	return a == TimedOut || a == ConnectionReset || a == Canceled
}

// markAmbiguous records that n may have executed the last attempt of r. Only the first such
// attempt of a request is recorded.
func (r *request) markAmbiguous(n *node) {
	if r.ambiguous {
		return
	}
	r.ambiguous = true
	r.ambiguousSince = r.sentAt
	r.ambiguousZone = n.Zone
	r.ambiguousShard = n.Shard
}

// recordResult updates the state of n with the result of an attempt of r. Only a served
// response ends the ejection of a node.
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
		if r.presumedLost { // a lost response is no evidence that the node has failed
			n.recordUnanswered(r)
		}
	case TimedOut:
		overdue := d.overdue(r, n)
		d.observeNoResponse(n, r)
		if overdue {
			n.recordUnanswered(r)
			d.recordFailure(n)
		}
	case Rejected:
		if d.now < r.answerBy { // otherwise the node may reject r because its client's time is over
			d.recordFailure(n)
		}
	case ConnectFailed, ConnectionReset:
		d.recordFailure(n)
	case ServerError, NotSent:
	}
}

// recordFailure counts an attempt at n that failed without a response, and ejects n if there were
// too many in a row.
func (d *Dispatcher) recordFailure(n *node) {
	n.consecutiveFailures++
	n.uncongestedResponses = 0
	if n.consecutiveFailures >= ejectionThreshold {
		d.eject(n)
	}
}
