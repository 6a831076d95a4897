// The events that a Forwarder handles, and the values that they carry.

package forwarder

import (
	"time"

	"chalkstand/dispatch"
)

// ConnID identifies a connection to a node. It is never reused.
type ConnID uint64

// LoopID identifies an event loop. A request and the connection that carries it belong
// to the same loop.
type LoopID int

// Node is an entry of the endpoint list, with its address.
type Node struct {
	dispatch.Node
	Addr string
}

// Event is an input of Handle.
type Event interface{ event() }

// StartRequest adds a request. It gets exactly one final response.
type StartRequest struct {
	Request       dispatch.Request
	Loop          LoopID
	NotReplayable bool // its body is streamed and cannot be sent a second time
}

// ClientCanceled reports that the client no longer waits for its request. Units, where it
// is above 0, is the cost of the part of the response that had arrived.
type ClientCanceled struct {
	ID    dispatch.RequestID
	Units float64
}

// AbortRequest ends a request whose body is invalid or stopped arriving. The caller
// responds to the client itself.
type AbortRequest struct{ ID dispatch.RequestID }

// BodyStreaming reports that the node reads the request's body as it arrives: from now on
// the client and the network set the pace.
type BodyStreaming struct{ ID dispatch.RequestID }

// BodySent reports that the whole body was written to the node.
type BodySent struct{ ID dispatch.RequestID }

// EndpointUpdate is an update from discovery. Entries in state Removed may lack an address.
type EndpointUpdate struct {
	Kind  dispatch.EndpointUpdateKind
	Nodes []Node
}

// DialCompleted reports the result of a Dial.
type DialCompleted struct {
	Conn ConnID
	OK   bool
}

// ResponseHeaders reports that the headers of a node's response were passed on to the
// client, and that the body is passed on as it arrives. No other response can follow.
type ResponseHeaders struct {
	Conn ConnID
	Info ResponseInfo
}

// ResponseCompleted reports that a node's response is complete.
type ResponseCompleted struct {
	Conn  ConnID
	Info  ResponseInfo
	Reuse bool // the connection can carry another request
}

// ResponseInfo is what a node's response says apart from its content.
type ResponseInfo struct {
	Result      dispatch.AttemptResult // OK, ServerError or Rejected
	Units       float64                // cost of the request by the response's size; 0: as requested
	QuotaUsage  float64
	PeerUnits   float64
	LoadReport  dispatch.LoadReport
	HasTiming   bool // QueueTime and ServiceTime are set
	QueueTime   time.Duration
	ServiceTime time.Duration
}

// ConnectionLost reports that a connection ended or that its input was not a valid response.
type ConnectionLost struct {
	Conn ConnID
	// Unsent is set where the request was not wholly written, and so was never executed.
	Unsent bool
	// Stale is set where nothing of the request was written: the node had closed the
	// connection while it was idle.
	Stale bool
}

// TimerFired reports that the time of the last SetTimer has come.
type TimerFired struct{}

func (StartRequest) event()      {}
func (ClientCanceled) event()    {}
func (AbortRequest) event()      {}
func (BodyStreaming) event()     {}
func (BodySent) event()          {}
func (EndpointUpdate) event()    {}
func (DialCompleted) event()     {}
func (ResponseHeaders) event()   {}
func (ResponseCompleted) event() {}
func (ConnectionLost) event()    {}
func (TimerFired) event()        {}
