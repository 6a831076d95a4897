// This file declares the events that Forwarder.Handle takes, and the types of their
// fields.

package forwarder

import (
	"time"

	"chalkstand/dispatch"
)

// ConnID identifies a connection to a node. An ID is never reused.
type ConnID uint64

// LoopID identifies an event loop. A request and the connection that carries it belong
// to the same loop.
type LoopID int

// Node is an entry of the endpoint list. It adds the node's address to dispatch.Node.
type Node struct {
	dispatch.Node
	Addr string
}

// Event is an input of Handle.
type Event interface{ event() }

// StartRequest adds a request. The forwarder gives it exactly one final response unless
// ClientCanceled or AbortRequest ends it first.
type StartRequest struct {
	Request       dispatch.Request
	Loop          LoopID
	NotReplayable bool // the body is streamed from the client and cannot be sent twice
}

// ClientCanceled reports that the client no longer waits for its request. If Units is
// above 0, it is the cost of the part of the response that arrived before the
// cancellation.
type ClientCanceled struct {
	ID    dispatch.RequestID
	Units float64
}

// AbortRequest ends a request whose body is invalid or has stopped arriving. The forwarder
// emits no final response, because the caller responds to the client itself.
type AbortRequest struct{ ID dispatch.RequestID }

// BodyStreaming reports that the request's body is sent to the node as it arrives from the
// client. From then on, the client and the network determine how long the request takes.
type BodyStreaming struct{ ID dispatch.RequestID }

// BodySent reports that the whole body was written to the node.
type BodySent struct{ ID dispatch.RequestID }

// EndpointUpdate is an update of the endpoint list from discovery. A node in state Removed
// may lack an address.
type EndpointUpdate struct {
	Kind  dispatch.EndpointUpdateKind
	Nodes []Node
}

// DialCompleted reports the result of a Dial action.
type DialCompleted struct {
	Conn ConnID
	OK   bool
}

// ResponseHeaders reports that the client has received the headers of the node's response
// and receives the body as it arrives. After that, the client can get no other response.
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

// ResponseInfo holds the metadata of a node's response.
type ResponseInfo struct {
	Result      dispatch.AttemptResult // OK, ServerError or Rejected
	Units       float64                // cost of the request given the response's size; 0 keeps the requested cost
	QuotaUsage  float64
	PeerUnits   float64
	LoadReport  dispatch.LoadReport
	HasTiming   bool // QueueTime and ServiceTime are set
	QueueTime   time.Duration
	ServiceTime time.Duration
}

// ConnectionLost reports that a connection ended without a CloseConn action, or that its
// input was not a valid response.
type ConnectionLost struct {
	Conn ConnID
	// Unsent is set if the request was not written completely. The node cannot have executed
	// it then.
	Unsent bool
	// Stale is set if no byte of the request was written, because the node had closed the
	// connection while it was idle.
	Stale bool
}

// Shutdown reports that the forwarder is about to end. Every request gets its final response at
// once, unless its client has received the headers of a response. Later requests are rejected.
type Shutdown struct{}

// TimerFired reports that the time of the last SetTimer action has been reached.
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
func (Shutdown) event()          {}
func (TimerFired) event()        {}
