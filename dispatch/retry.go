// Retry: attempts beyond the first. Decides whether a request may be tried again, by its
// idempotency, the number of attempts and the retry budget, and when. Owns the budget's record
// of requests and retries, to which arrivals and send add, and of the claims on it.

package dispatch

import "time"

// retryDelay is the time before a retry after a failure that came at once.
const retryDelay = 20 * time.Millisecond

// scheduleRetry schedules another attempt of r where the rules and its objective permit it, and otherwise
// rejects or fails it.
func (d *Dispatcher) scheduleRetry(r *request, last *node, result AttemptResult) {
	n := d.retryNode(r, last)
	delay := retryDelay
	if result == TimedOut || result == Canceled {
		delay = 0
	}
	if d.now+delay+d.expectedDelay(n)+n.serviceTime(r.Units) >= r.objectiveAt || !d.mayRetry(r, n) {
		d.reject(r, d.expectedDelay(n))
		return
	}
	d.claimRetry(r, scheduled)
	r.state = backoff
	r.node = n
	d.addTimer(d.now+delay, timerEvent{kind: retryTimer, request: r})
}

// retryNode returns the node for a retry of r: the last one unless another is as safe.
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

// retry queues r for its next attempt, at the head of its flow.
func (d *Dispatcher) retry(r *request) {
	if r.state != backoff {
		return
	}
	if n := r.node; n.listed && n.State == Ready && d.mayRetry(r, n) {
		d.enqueue(r, n, true)
	} else {
		d.reject(r, minRetryAfter)
	}
}

// retryClaim says whether a request waits for a retry that the budget does not count yet.
type retryClaim int

const (
	noClaim   retryClaim = iota
	scheduled            // it is in backoff or queued for a retry
	reserved             // its attempt was canceled for a retry: no other request may take the room
)

// claimRetry records that r waits for a retry, until it is sent or r is completed. A reservation
// stays one when the retry is scheduled.
func (d *Dispatcher) claimRetry(r *request, claim retryClaim) {
	if r.retryClaim == reserved {
		return
	}
	d.dropRetryClaim(r)
	r.retryClaim = claim
	d.countRetryClaim(claim, 1)
}

// dropRetryClaim ends the claim of r, if it has one.
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

// mayCancel reports whether an attempt of r at n may be canceled for a retry: the budget has to
// have room for all retries that are waited for, too, or r could be rejected though its response
// would have come.
func (d *Dispatcher) mayCancel(r *request, n *node) bool {
	return d.mayRetry(r, n) && d.fitRetryBudget(d.scheduledRetries+d.reservedRetries+1)
}

// mayRetry reports whether idempotency, the number of attempts and the retry budget permit
// another attempt of r at n. Room that others have reserved counts against a request without a
// reservation only: where the budget has shrunk since, those with one take what is left in turn.
func (d *Dispatcher) mayRetry(r *request, n *node) bool {
	if d.cfg.MaxAttempts > 0 && r.attempts >= d.cfg.MaxAttempts {
		return false
	}
	if r.ambiguous && !d.mayRepeatAmbiguous(r, n) {
		return false
	}
	if r.retryClaim == reserved {
		return d.fitRetryBudget(1)
	}
	return d.fitRetryBudget(d.reservedRetries + 1)
}

// fitRetryBudget reports whether so many retries fit the budget beside those that were sent.
func (d *Dispatcher) fitRetryBudget(retries int) bool {
	budget := d.cfg.RetryBudget
	if budget.Window == 0 {
		return true
	}
	d.trimBudget()
	allowed := budget.MinRetries + budget.Ratio*float64(len(d.budgetRequests))
	return float64(len(d.budgetRetries)+retries) <= allowed
}

// mayRepeatAmbiguous reports whether r may be sent to n though it may have been executed.
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

// trimBudget drops the entries that have left the budget's window. Requests leave it one round trip early
// and retries one late, so that an observer with other clocks counts no violation.
func (d *Dispatcher) trimBudget() {
	budget := d.cfg.RetryBudget
	d.budgetRequests = trimBefore(d.budgetRequests, d.now-budget.Window+d.cfg.RoundTrip)
	d.budgetRetries = trimBefore(d.budgetRetries, d.now-budget.Window-d.cfg.RoundTrip-1)
}

// trimBefore returns the times after t. The times are in ascending order.
func trimBefore(times []time.Duration, t time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= t {
		times = times[1:]
	}
	return times
}
