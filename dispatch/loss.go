// This file detects responses that are lost in the network, and distinguishes them from nodes
// that are slow or silent. It decides which attempts are canceled early and with which deadline
// an attempt is sent. It owns Dispatcher.lossRate and these fields of node: unansweredAttempts,
// lastUnansweredSentAt and lastPromptSentAt.

package dispatch

import "time"

const (
	// lossRateGain is the weight of one response in the moving average of the loss rate.
	lossRateGain = 1.0 / 8
	// lossRateThreshold is the loss rate at which attempts start to get an early deadline.
	lossRateThreshold = 0.08
	// lateAttemptFactor is the multiple of its service time that an attempt may take before its
	// response counts as late.
	lateAttemptFactor = 4.0
)

// overtaken reports whether the response to the last attempt of r counts as lost. This is true
// if n has promptly answered an attempt that was sent later, and the attempt of r has taken
// longer than the delay plus lateAttemptFactor times its service time. The result is wrong for
// a node that works only in part or serves requests out of order.
func (d *Dispatcher) overtaken(r *request, n *node, delay time.Duration) bool {
	return r.sentAt < n.lastPromptSentAt && d.now-r.sentAt > delay+n.serviceTime(lateAttemptFactor*r.Units)
}

// recordUnanswered records that the last attempt of r, sent to n, ended without a response.
func (n *node) recordUnanswered(r *request) {
	n.unansweredAttempts++
	n.lastUnansweredSentAt = max(n.lastUnansweredSentAt, r.sentAt)
}

// updateLossRate updates the loss rate when n has served r. Attempts without a response count
// as lost if the same node promptly answers an attempt that was sent later. A silent node
// answers no attempt and a slow node answers late, so timeouts at these nodes do not count as
// lost responses.
func (d *Dispatcher) updateLossRate(n *node, r *request, e AttemptCompleted) {
	d.lossRate *= 1 - lossRateGain
	if e.Latency-n.serviceTime(r.Units) < d.delayTarget() {
		n.lastPromptSentAt = max(n.lastPromptSentAt, r.sentAt)
		if r.sentAt > n.lastUnansweredSentAt {
			d.lossRate += (1 - d.lossRate) * min(1, lossRateGain*float64(n.unansweredAttempts))
		}
	}
	n.unansweredAttempts = 0
}

// cancelPresumedLost cancels the first attempt at n whose response counts as lost. The request
// must be repeatable, and its retry must be able to complete in the time that the client has left.
func (d *Dispatcher) cancelPresumedLost(n *node) {
	delay := d.expectedDelay(n)
	for _, r := range n.inFlightRequests {
		repeatable := r.class.Idempotency == Idempotent ||
			r.class.Idempotency == Deduplicated && d.now-r.sentAt < r.class.DedupWindow
		if repeatable && d.cfg.CancelAttempts && r.state == inFlight && !r.presumedLost &&
			d.overtaken(r, n, delay) &&
			d.now+delay+n.serviceTime(r.Units) < r.answerBy && d.mayCancel(r, n) {
			r.presumedLost = true
			d.claimRetry(r, reserved)
			d.emit(CancelAttempt{ID: r.ID, Attempt: r.attempts - 1})
			return
		}
	}
}

// attemptDeadline returns the deadline of an attempt of r at n. If responses are being lost, an
// attempt ends early enough for another one in the time that the client has left. Otherwise it
// lasts until the client gives up.
func (d *Dispatcher) attemptDeadline(r *request, n *node) time.Duration {
	retryTime := d.expectedDelay(n) + n.serviceTime(lateAttemptFactor*r.Units)
	retryable := r.class.Idempotency != NonIdempotent && n.secondsPerUnit > 0 &&
		n.consecutiveFailures < ejectionThreshold
	switch {
	case d.lossRate >= lossRateThreshold && retryable && d.now+2*retryTime <= r.answerBy:
		return r.answerBy - retryTime
	case r.Timeout > r.class.Deadline:
		return r.deadline
	}
	return 0 // the client's own deadline
}
