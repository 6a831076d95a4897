// Retry: attempts beyond the first. Decides whether a request may be tried again, by its
// idempotency, the number of attempts and the retry budget, and when. Owns the budget's record
// of requests and retries, to which arrivals and send add, and the reservations in it.

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
	d.reserveRetry(r)
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

// reserveRetry keeps room in the retry budget for the next attempt of r, until it is sent or r
// is completed. mayRetry has permitted it.
func (d *Dispatcher) reserveRetry(r *request) {
	if !r.retryReserved {
		r.retryReserved = true
		d.reservedRetries++
	}
}

// releaseRetry ends the reservation of r, if it has one.
func (d *Dispatcher) releaseRetry(r *request) {
	if r.retryReserved {
		r.retryReserved = false
		d.reservedRetries--
	}
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
	budget := d.cfg.RetryBudget
	if budget.Window == 0 {
		return true
	}
	d.trimBudget()
	allowed := budget.MinRetries + budget.Ratio*float64(len(d.budgetRequests))
	used := len(d.budgetRetries)
	if !r.retryReserved {
		used += d.reservedRetries
	}
	return float64(used+1) <= allowed
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
