// This file decides whether and when a request gets another attempt, by its idempotency, its
// number of attempts and the retry budget. It owns the requests and retries that the retry
// budget counts, and the claims on the budget. handleRequest adds the requests, and send adds
// the retries.

package dispatch

import "time"

// retryDelay is the time before a retry if the attempt failed quickly. A retry after a timeout
// or a cancellation is not delayed.
const retryDelay = 20 * time.Millisecond

// scheduleRetry schedules another attempt of r if the rules permit it and it can complete
// in the time that the client has left. Otherwise it rejects or fails r.
func (d *Dispatcher) scheduleRetry(r *request, last *node, result AttemptResult) {
	n := d.retryNode(r, last)
	delay := retryDelay
	if result == TimedOut || result == Canceled {
		delay = 0
	}
	if !d.answerable(r, n, delay) || !d.mayRetry(r, n) {
		d.reject(r, d.retryAfterAt(n))
		return
	}
	d.claimRetry(r, scheduled)
	r.state = backoff
	r.node = n
	d.addTimer(d.now+delay, timerEvent{kind: retryTimer, request: r})
}

// retryNode returns the node for a retry of r. This is the node of the last attempt, unless a
// retry at another node is as safe.
func (d *Dispatcher) retryNode(r *request, last *node) *node {
	var n *node
	if r.Shard != AnyShard {
		n = d.nodeByShard[r.Shard]
	} else if !r.ambiguous || r.class.Idempotency == Idempotent {
		n = d.chooseNode(r)
	}
	if n == nil {
		return last
	}
	return n
}

// retry queues r at the head of its flow for its next attempt. It rejects r if the attempt is
// no longer permitted.
func (d *Dispatcher) retry(r *request) {
	if r.state != backoff {
		return
	}
	if n := r.node; n.listed && n.State == Ready && d.mayRetry(r, n) {
		d.enqueue(r, n, true)
	} else {
		d.reject(r, d.retryAfterAt(r.node))
	}
}

// retryClaim says whether a request waits for a retry that the retry budget does not count yet.
type retryClaim int

const (
	noClaim   retryClaim = iota
	scheduled            // the request is in backoff or queued for a retry
	reserved             // an attempt was canceled, and the retry has a reserved place in the budget
)

// claimRetry records that r waits for a retry. The claim ends when the retry is sent or r is
// completed. A reserved claim stays reserved when the retry is scheduled.
func (d *Dispatcher) claimRetry(r *request, claim retryClaim) {
	if r.retryClaim == reserved {
		return
	}
	d.dropRetryClaim(r)
	r.retryClaim = claim
	d.countRetryClaim(claim, 1)
}

// dropRetryClaim ends the claim of r on the retry budget, if r has one.
func (d *Dispatcher) dropRetryClaim(r *request) {
	d.countRetryClaim(r.retryClaim, -1)
	r.retryClaim = noClaim
}

func (d *Dispatcher) countRetryClaim(claim retryClaim, change int) {
	switch claim {
	case noClaim:
	case scheduled:
		d.scheduledRetries += change
	case reserved:
		d.reservedRetries += change
	}
}

// mayCancel reports whether an attempt of r at n may be canceled in favor of a retry. The retry
// budget must have room for this retry and for all retries that other requests wait for.
// Otherwise r could be rejected although its response would have arrived.
func (d *Dispatcher) mayCancel(r *request, n *node) bool {
	return d.mayRetry(r, n) && d.fitsRetryBudget(d.scheduledRetries+d.reservedRetries+1)
}

// mayRetry reports whether idempotency, the number of attempts and the retry budget permit
// another attempt of r at n. None is permitted during a shutdown. Retries that other requests have
// reserved count only against a request without a reservation. If the budget has shrunk below the
// reservations, the requests with a reservation use the remaining budget in the order in which they
// ask.
func (d *Dispatcher) mayRetry(r *request, n *node) bool {
	if d.shuttingDown {
		return false
	}
	if d.cfg.MaxAttempts > 0 && r.attempts >= d.cfg.MaxAttempts {
		return false
	}
	if r.ambiguous && !d.mayRepeatAmbiguous(r, n) {
		return false
	}
	if r.retryClaim == reserved {
		return d.fitsRetryBudget(1)
	}
	return d.fitsRetryBudget(d.reservedRetries + 1)
}

// fitsRetryBudget reports whether the retry budget has room for the given number of retries in
// addition to those already sent.
func (d *Dispatcher) fitsRetryBudget(retries int) bool {
	budget := d.cfg.RetryBudget
	if budget.Window == 0 {
		return true
	}
	d.trimBudget()
	allowed := budget.MinRetries + budget.Ratio*float64(len(d.budgetRequests))
	return float64(len(d.budgetRetries)+retries) <= allowed
}

// mayRepeatAmbiguous reports whether r may be sent to n although an earlier attempt of r may
// have been executed.
func (d *Dispatcher) mayRepeatAmbiguous(r *request, n *node) bool {
	switch r.class.Idempotency {
	case NonIdempotent:
		return false
	case Deduplicated:
		inScope := r.class.DedupScope == DedupEverywhere ||
			r.class.DedupScope == DedupPerZone && r.ambiguousZone == n.Zone ||
			r.class.DedupScope == DedupPerShard && r.ambiguousShard == n.Shard
		return inScope && d.now-r.ambiguousSince < r.class.DedupWindow
	default:
		return true
	}
}

// maxBudgetRequests is the largest number of requests that the retry budget counts. Further
// requests allow no further retries.
const maxBudgetRequests = 1 << 15

// countBudgetRequest counts a request that has just arrived for the retry budget.
func (d *Dispatcher) countBudgetRequest() {
	if d.cfg.RetryBudget.Window == 0 {
		return
	}
	d.trimBudget()
	if len(d.budgetRequests) < maxBudgetRequests {
		d.budgetRequests = append(d.budgetRequests, d.now)
	}
}

// trimBudget drops the requests and retries that have left the window of the retry budget.
// Requests leave it one round trip early and retries leave it one round trip late, so that an
// observer with a different clock counts no violation.
func (d *Dispatcher) trimBudget() {
	budget := d.cfg.RetryBudget
	d.budgetRequests = trimBefore(d.budgetRequests, d.now-budget.Window+d.cfg.RoundTrip)
	d.budgetRetries = trimBefore(d.budgetRetries, d.now-budget.Window-d.cfg.RoundTrip-1)
}

// trimBefore returns the times that are later than t. The given times must be in ascending order.
func trimBefore(times []time.Duration, t time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= t {
		times = times[1:]
	}
	return times
}
