// Package forwarder is the life of a request on its way to a storage node: of the
// request, its attempts, and the connections to nodes that carry them. It asks
// the dispatcher for every decision that the dispatcher makes and turns its word into what
// sockets do. It is told of events and returns actions; it does no I/O, reads no
// clock and starts no goroutine. This file is its interface.
package forwarder

import (
	"chalkstand/attribution"
	"chalkstand/dispatch"
	"errors"
	"fmt"
	"time"
)

// ConnID names a connection to a node. It is never used twice.
type ConnID uint64

// LoopID is an event loop. A request and the connection that carries it share one.
type LoopID int

// Config holds the settings of a forwarder.
type Config struct {
	Dispatch dispatch.Config
	Seed     uint64

	MaxConnsPerNode int // bound on connections to one node, those being opened included
	// MaxStreamsPerNode bounds the bodies that flow to or from one node without a place in
	// the dispatcher's depth. It must be below ConnsPerNode: the rest is for what the dispatcher sends.
	MaxStreamsPerNode int
	MaxConns          int           // bound on connections to all nodes; 0: none
	ReuseDelay        time.Duration // after an answer, before a connection carries another request; may be 0
	IdleTimeout       time.Duration // an unused connection is closed after this
	MaxConnAge        time.Duration // a connection is not used again when it is older
	DialTimeout       time.Duration // bound on opening a connection
	// ResponseMargin is kept before a client's deadline for the way of the answer.
	ResponseMargin time.Duration
	// MaxRequests bounds the requests held and out together; beyond it a request is
	// refused unseen.
	MaxRequests int
	// Attribution has each Begin followed by one Accounted.
	Attribution bool
}

func (c Config) check() error {
	switch {
	case c.MaxConnsPerNode < 1:
		return errors.New("ConnsPerNode: want at least 1")
	case c.MaxStreamsPerNode < 0 || c.MaxStreamsPerNode >= c.MaxConnsPerNode:
		return errors.New("Streams: want 0 to below ConnsPerNode")
	case c.MaxConns < 0 || c.ReuseDelay < 0:
		return errors.New("Conns, Rest: want at least 0")
	case c.IdleTimeout <= 0 || c.MaxConnAge <= 0 || c.DialTimeout <= 0:
		return errors.New("IdleFor, MaxAge, Connect: want above 0")
	case c.MaxRequests < 1:
		return errors.New("MaxCalls: want at least 1")
	}
	for i, k := range c.Dispatch.Classes {
		if c.ResponseMargin < 0 || c.ResponseMargin >= k.Deadline {
			return fmt.Errorf("Margin: want at least 0 and below Classes[%d].Deadline", i)
		}
	}
	return nil
}

// Node is an entry of the node list, with where it is reached.
type Node struct {
	dispatch.Node
	Addr string
}

// Event is something that a forwarder hears.
type Event interface{ event() }

// StartRequest is a request for a node, to be answered once.
type StartRequest struct {
	Request       dispatch.Request
	Loop          LoopID
	NotReplayable bool // its body streams through and cannot be sent a second time
}

// ClientCanceled tells that nobody waits for the request any more. Units, where it is over 0, is
// what the part of its answer cost that had come.
type ClientCanceled struct {
	ID    dispatch.RequestID
	Units float64
}

// AbortRequest ends a request whose body proved bad or stopped coming: its client has
// been, or is being, answered by the caller.
type AbortRequest struct{ ID dispatch.RequestID }

// BodyStreaming tells that the node takes the request's body as it comes: from here on
// the client and the link set the pace.
type BodyStreaming struct{ ID dispatch.RequestID }

// BodySent tells that the whole body has gone to the node.
type BodySent struct{ ID dispatch.RequestID }

// EndpointUpdate is news from discovery. Entries that are removed may lack an address.
type EndpointUpdate struct {
	Kind  dispatch.EndpointUpdateKind
	Nodes []Node
}

// DialCompleted ends a Dial.
type DialCompleted struct {
	Conn ConnID
	OK   bool
}

// ResponseHeaders tells that the head of a node's answer has been passed on to the client,
// and that its body follows piece by piece. From here there is no other answer.
type ResponseHeaders struct {
	Conn ConnID
	Info ResponseInfo
}

// ResponseCompleted tells that a node's whole answer is there.
type ResponseCompleted struct {
	Conn  ConnID
	Info  ResponseInfo
	Reuse bool // the connection can carry another request
}

// ResponseInfo is what a node's answer says beside its content.
type ResponseInfo struct {
	Result      dispatch.AttemptResult // Served, Errored or Full
	Units       float64                // that the answer's size makes the request cost; 0: those it came with
	QuotaUsage  float64
	PeerUnits   float64
	LoadReport  dispatch.LoadReport
	HasTiming   bool // the node tells how the request's time there divides
	QueueTime   time.Duration
	ServiceTime time.Duration
}

// ConnectionLost tells that a connection ended, or that what came on it was no answer.
type ConnectionLost struct {
	Conn ConnID
	// Unsent tells that its request was not wholly written, and so never ran.
	Unsent bool
	// Stale tells that nothing of its request was written: the connection, which had been
	// idle, was of no use any more.
	Stale bool
}

// TimerFired is a timer that the forwarder has set.
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

// Action is something that a forwarder wants done, in the order given.
type Action interface {
	// OnLoop returns the lane that is to do it; false for what belongs to none.
	OnLoop() (LoopID, bool)
}

// Dial opens a connection.
type Dial struct {
	Conn    ConnID
	Loop    LoopID
	Node    dispatch.NodeID
	Addr    string
	Timeout time.Duration
}

// SendRequest writes a request on a connection. Attempt counts from 0.
type SendRequest struct {
	Conn     ConnID
	Loop     LoopID
	ID       dispatch.RequestID
	Node     dispatch.NodeID
	Attempt  int
	Deadline time.Duration // then the attempt is given up
}

// CloseConn ends a connection. Whatever still comes on it is thrown away.
type CloseConn struct {
	Conn ConnID
	Loop LoopID
}

// ForwardResponse is a final answer: the node's own, which the caller holds.
type ForwardResponse struct {
	ID   dispatch.RequestID
	Loop LoopID
	Conn ConnID
}

// DiscardResponse throws away a node's answer: the request goes on.
type DiscardResponse struct {
	ID   dispatch.RequestID
	Loop LoopID
	Conn ConnID
}

// Reject is a final answer: trying again after After is harmless.
type Reject struct {
	ID         dispatch.RequestID
	Loop       LoopID
	RetryAfter time.Duration
}

// Fail is a final answer that promises nothing. Late tells that time ran out.
type Fail struct {
	ID       dispatch.RequestID
	Loop     LoopID
	TimedOut bool
}

// AbortResponse breaks off, visibly, an answer whose head was passed on.
type AbortResponse struct {
	ID   dispatch.RequestID
	Loop LoopID
}

// RequestAttributed is the account of a request that ends: where its time from Begin on
// went, and behind whom it was held. It comes once for each Begin, before the final
// answer, where the settings ask for accounts; nothing is decided by it.
type RequestAttributed struct {
	ID    dispatch.RequestID
	Loop  LoopID
	Entry *attribution.Entry // the caller's from here on
}

// SetTimer asks for Fired at a time. A later one replaces it.
type SetTimer struct{ At time.Duration }

// PollDiscovery asks discovery for the list and its changes.
type PollDiscovery struct{}

// OnLoop returns the action's lane.
func (a Dial) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the action's lane.
func (a SendRequest) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the action's lane.
func (a CloseConn) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the action's lane.
func (a ForwardResponse) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the action's lane.
func (a DiscardResponse) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the action's lane.
func (a Reject) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the action's lane.
func (a Fail) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the action's lane.
func (a AbortResponse) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop returns the action's lane.
func (a RequestAttributed) OnLoop() (LoopID, bool) { return a.Loop, true }

// OnLoop tells that it belongs to no lane.
func (SetTimer) OnLoop() (LoopID, bool) { return 0, false }

// OnLoop tells that it belongs to no lane.
func (PollDiscovery) OnLoop() (LoopID, bool) { return 0, false }
