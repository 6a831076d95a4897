// Actions: what a dispatcher asks its caller to do. Nothing is decided here and no state is
// held.

package dispatch

import "time"

// Action is an output of Dispatcher.Handle. Actions are performed in the order returned.
type Action interface{ action() }

// SendAttempt sends a request to a node. The attempt ends at Deadline at the latest.
type SendAttempt struct {
	ID        RequestID
	Node      NodeID
	Deadline  time.Duration // 0: the client's own deadline
	QueueTime QueueTime
}

// Reject answers a request for good. The request was not executed or may be repeated: the
// client may retry it after RetryAfter.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration
	QueueTime  QueueTime
}

// Fail answers a request for good. The request may have been executed.
type Fail struct {
	ID        RequestID
	QueueTime QueueTime
}

// CancelAttempt cancels an attempt that is in flight.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// SetTimer asks for a TimerFired event with Token at a time.
type SetTimer struct {
	At    time.Duration
	Token string
}

// Watch asks discovery for endpoint updates from now on.
type Watch struct{ On bool }

func (SendAttempt) action()   {}
func (Reject) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Watch) action()         {}

// QueueTime is the time that a request spent in the queues of nodes since its arrival or since
// the end of its last attempt, by what blocked it. The remaining time was spent waiting for
// earlier requests of its key, quiescence or a retry.
type QueueTime struct {
	Concurrency time.Duration // by the node's concurrency limit
	RateLimit   time.Duration // by the rate limit of its volume
	SlowStart   time.Duration // by the slow start of the node
	Ejected     time.Duration // by the ejection of the node
}
