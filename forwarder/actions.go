// This file declares the actions that Forwarder.Handle returns. The caller performs them
// in the order in which they are returned.

package forwarder

import (
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

// Action is an operation that Handle asks its caller to perform.
type Action interface {
	// OnLoop returns the event loop that must perform the action. It returns false if any
	// loop may perform it.
	OnLoop() (LoopID, bool)
}

// Dial opens a connection to a node. The caller reports the result with DialCompleted.
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
	Attempt  int           // number of the attempt, starting at 0
	Deadline time.Duration // time at which the attempt times out
}

// CloseConn closes a connection. The caller discards input that still arrives on it.
type CloseConn struct {
	Conn ConnID
	Loop LoopID
}

// ForwardResponse is a final response. It gives the client the node's response, which the
// caller has either buffered or already passed on.
type ForwardResponse struct {
	ID   dispatch.RequestID
	Loop LoopID
	Conn ConnID
}

// DiscardResponse drops a node's response. The client receives a different response
// later.
type DiscardResponse struct {
	ID   dispatch.RequestID
	Loop LoopID
	Conn ConnID
}

// Reject is a final response. It tells the client to retry the request after RetryAfter.
// Either no node executed the request, or it is safe to execute it again.
type Reject struct {
	ID         dispatch.RequestID
	Loop       LoopID
	RetryAfter time.Duration
}

// Fail is a final response. It tells the client that the request failed and that a node
// may or may not have executed it.
type Fail struct {
	ID       dispatch.RequestID
	Loop     LoopID
	TimedOut bool
}

// AbortResponse is a final response. It cuts off a response whose headers the client has
// already received, in a way that the client can detect.
type AbortResponse struct {
	ID   dispatch.RequestID
	Loop LoopID
}

// RequestAttributed reports how a request's time is divided among components, and which
// volumes the request queued behind. If Config.Attribution is set, the forwarder emits one
// for each StartRequest, before the final response. It has no influence on decisions.
type RequestAttributed struct {
	ID    dispatch.RequestID
	Loop  LoopID
	Entry *attribution.Entry // the caller owns the entry
}

// SetTimer requests a TimerFired event at time At. It replaces any earlier SetTimer.
type SetTimer struct{ At time.Duration }

// PollDiscovery asks the caller to fetch the endpoint list from discovery and to report
// later changes to it.
type PollDiscovery struct{}

// OnLoop returns the loop that will own the connection.
func (a Dial) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the loop that owns the request and its connection.
func (a SendRequest) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the loop that owns the connection.
func (a CloseConn) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the loop that owns the request.
func (a ForwardResponse) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the loop that owns the request.
func (a DiscardResponse) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the loop that owns the request.
func (a Reject) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the loop that owns the request.
func (a Fail) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the loop that owns the request.
func (a AbortResponse) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the loop that owns the request.
func (a RequestAttributed) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns false, because any loop may set the timer.
func (SetTimer) OnLoop() (LoopID, bool) { return 0, false }

// OnLoop returns false, because any loop may poll discovery.
func (PollDiscovery) OnLoop() (LoopID, bool) { return 0, false }
