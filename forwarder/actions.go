// The actions that a Forwarder returns, to be performed in their order.

package forwarder

import (
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

// Action is an operation that Handle asks its caller to perform.
type Action interface {
	// OnLoop returns the event loop that performs the action; false where any may.
	OnLoop() (LoopID, bool)
}

// Dial opens a connection. DialCompleted reports its result.
type Dial struct {
	Conn    ConnID
	Loop    LoopID
	Node    dispatch.NodeID
	Addr    string
	Timeout time.Duration
}

// SendRequest writes a request to a connection.
type SendRequest struct {
	Conn     ConnID
	Loop     LoopID
	ID       dispatch.RequestID
	Node     dispatch.NodeID
	Attempt  int           // from 0
	Deadline time.Duration // at which the attempt times out
}

// CloseConn closes a connection. Input that still arrives on it is discarded.
type CloseConn struct {
	Conn ConnID
	Loop LoopID
}

// ForwardResponse is a final response: the node's own, which the caller has buffered or
// has passed on.
type ForwardResponse struct {
	ID   dispatch.RequestID
	Loop LoopID
	Conn ConnID
}

// DiscardResponse drops a node's response: the client gets another one.
type DiscardResponse struct {
	ID   dispatch.RequestID
	Loop LoopID
	Conn ConnID
}

// Reject is a final response: the request was not executed, or may be executed again, and
// can be retried after RetryAfter.
type Reject struct {
	ID         dispatch.RequestID
	Loop       LoopID
	RetryAfter time.Duration
}

// Fail is a final response: the request may or may not have been executed.
type Fail struct {
	ID       dispatch.RequestID
	Loop     LoopID
	TimedOut bool
}

// AbortResponse is a final response: it breaks off a response whose headers were passed on,
// in a way that the client can detect.
type AbortResponse struct {
	ID   dispatch.RequestID
	Loop LoopID
}

// RequestAttributed reports how the time of a request is attributed and behind which volumes it
// queued. With Config.Attribution there is one for each StartRequest, before the final
// response. It has no influence on decisions.
type RequestAttributed struct {
	ID    dispatch.RequestID
	Loop  LoopID
	Entry *attribution.Entry // owned by the caller from now on
}

// SetTimer requests a TimerFired event at a time. It replaces an earlier SetTimer.
type SetTimer struct{ At time.Duration }

// PollDiscovery requests the endpoint list and its further changes from discovery.
type PollDiscovery struct{}

// OnLoop returns the loop that dials.
func (a Dial) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the loop of the connection and the request.
func (a SendRequest) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the connection's loop.
func (a CloseConn) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the request's loop.
func (a ForwardResponse) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the request's loop.
func (a DiscardResponse) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the request's loop.
func (a Reject) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the request's loop.
func (a Fail) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the request's loop.
func (a AbortResponse) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the request's loop.
func (a RequestAttributed) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns false: a timer belongs to no loop.
func (SetTimer) OnLoop() (LoopID, bool) { return 0, false }

// OnLoop returns false: discovery belongs to no loop.
func (PollDiscovery) OnLoop() (LoopID, bool) { return 0, false }
