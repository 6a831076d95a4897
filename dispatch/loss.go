// Loss: responses that are lost on their way, as against nodes that are slow or silent. Decides
// which attempts are canceled early and with which deadline an attempt is sent. Owns
// Dispatcher.lossRate, node.unansweredAttempts and the send times beside it.

package dispatch

import "time"

const (
	// lossRateGain is the weight of one response in the moving average of the loss rate.
	lossRateGain = 1.0 / 8
	// lossRateThreshold is the loss rate from which attempts get an early deadline.
	lossRateThreshold = 0.08
	// lateAttemptFactor times its service time is how long an attempt may take before its
	// response counts as late.
	lateAttemptFactor = 4.0
)

// overtaken reports whether the response to r counts as lost: n has answered a later attempt
// promptly, and r takes longer than delay and its service time explain. This is wrong for nodes
// of which only a part works, or which serve requests out of order.
func (d *Dispatcher) overtaken(r *request, n *node, delay time.Duration) bool {
	return r.sentAt < n.lastPromptSentAt && d.now-r.sentAt > delay+n.serviceTime(lateAttemptFactor*r.Units)
}

// recordUnanswered records that the last attempt of r ended without a response.
func (n *node) recordUnanswered(r *request) {
	n.unansweredAttempts++
	n.lastUnansweredSentAt = max(n.lastUnansweredSentAt, r.sentAt)
}

// updateLossRate is called with a served response to r. Attempts without a response count as
// lost when a later one at the same node is answered promptly. A silent node answers none and a
// slow one answers late, so their timeouts prove nothing.
func (d *Dispatcher) updateLossRate(n *node, r *request, e AttemptCompleted) {
	d.lossRate *= 1 - lossRateGain
	if (e.Latency - n.serviceTime(r.Units)).Seconds() < d.congestionThreshold() {
		n.lastPromptSentAt = max(n.lastPromptSentAt, r.sentAt)
		if r.sentAt > n.lastUnansweredSentAt {
			d.lossRate += (1 - d.lossRate) * min(1, lossRateGain*float64(n.unansweredAttempts))
		}
	}
	n.unansweredAttempts = 0
}

// cancelPresumedLost cancels the first attempt at n whose response counts as lost, where it may
// be repeated and a retry can complete within the objective.
func (d *Dispatcher) cancelPresumedLost(n *node) {
	delay := d.expectedDelay(n)
	for _, r := range n.inFlightRequests {
		repeatable := r.class.Idempotency == Idempotent ||
			r.class.Idempotency == Deduplicated && d.now-r.sentAt < r.class.DedupWindow
		if repeatable && d.cfg.CancelAttempts && r.state == inFlight && !r.presumedLost &&
			d.overtaken(r, n, delay) &&
			d.now+delay+n.serviceTime(r.Units) < r.objectiveAt && d.mayCancel(r, n) {
			r.presumedLost = true
			d.claimRetry(r, reserved)
			d.emit(CancelAttempt{ID: r.ID, Attempt: r.attempts - 1})
			return
		}
	}
}

// attemptDeadline returns the deadline of an attempt of r at n; 0: the client's own. Where
// responses are lost, an attempt ends in time for another one within the objective; with no
// time for another it ends at the objective, to free its place.
func (d *Dispatcher) attemptDeadline(r *request, n *node) time.Duration {
	latency := d.expectedDelay(n) + n.serviceTime(lateAttemptFactor*r.Units)
	deadline := r.objectiveAt - latency
	switch {
	case d.lossRate < lossRateThreshold:
		return 0
	case deadline < d.now+latency:
		return r.objectiveAt
	case n.secondsPerUnit == 0 || r.class.Idempotency == NonIdempotent ||
		n.consecutiveFailures >= ejectionThreshold:
		return 0
	}
	return deadline
}
