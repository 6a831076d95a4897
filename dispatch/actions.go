// This file defines the actions that a dispatcher asks its caller to perform. It decides
// nothing and holds no state.

package dispatch

import "time"

// Action is an output of Dispatcher.Handle. The caller performs actions in the order returned.
type Action interface{ action() }

// SendAttempt sends a request to a node. The caller ends the attempt at Deadline at the latest.
type SendAttempt struct {
	ID        RequestID
	Node      NodeID
	Deadline  time.Duration // end of the attempt; 0 means the client's own deadline
	QueueTime QueueTime
}

// Reject is the final answer to a request that was not executed or may be repeated. The client
// may retry the request after RetryAfter.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration
	QueueTime  QueueTime
}

// Fail is the final answer to a failed request that may have been executed.
type Fail struct {
	ID        RequestID
	QueueTime QueueTime
}

// CancelAttempt cancels an attempt that is in flight.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// SetTimer asks the caller for a TimerFired event with Token at the time At.
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

// QueueTime is the time that a request has spent in the queues of nodes, since its arrival or
// since the end of its last attempt. Each field holds the time with one cause. QueueTime does
// not include the time spent waiting for earlier requests of the same key, for quiescence or
// for a retry.
type QueueTime struct {
	Concurrency time.Duration // time blocked by the concurrency limit of the node
	RateLimit   time.Duration // time blocked by the rate limit of the volume
	SlowStart   time.Duration // time blocked by the slow start of the node
	Ejected     time.Duration // time blocked by the ejection of the node
}
