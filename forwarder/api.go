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

// Lane is an event loop. A request and the connection that carries it share one.
type Lane int

// Config holds the settings of a forwarder.
type Config struct {
	Choice dispatch.Config
	Seed   uint64

	ConnsPerNode int // bound on connections to one node, those being opened included
	// Streams bounds the bodies that flow to or from one node without a place in
	// the dispatcher's depth. It must be below ConnsPerNode: the rest is for what the dispatcher sends.
	Streams int
	Conns   int           // bound on connections to all nodes; 0: none
	Rest    time.Duration // after an answer, before a connection carries another request; may be 0
	IdleFor time.Duration // an unused connection is closed after this
	MaxAge  time.Duration // a connection is not used again when it is older
	Connect time.Duration // bound on opening a connection
	// Margin is kept before a client's deadline for the way of the answer.
	Margin time.Duration
	// MaxCalls bounds the requests held and out together; beyond it a request is
	// refused unseen.
	MaxCalls int
	// Accounts has each Begin followed by one Accounted.
	Accounts bool
}

func (c Config) check() error {
	switch {
	case c.ConnsPerNode < 1:
		return errors.New("ConnsPerNode: want at least 1")
	case c.Streams < 0 || c.Streams >= c.ConnsPerNode:
		return errors.New("Streams: want 0 to below ConnsPerNode")
	case c.Conns < 0 || c.Rest < 0:
		return errors.New("Conns, Rest: want at least 0")
	case c.IdleFor <= 0 || c.MaxAge <= 0 || c.Connect <= 0:
		return errors.New("IdleFor, MaxAge, Connect: want above 0")
	case c.MaxCalls < 1:
		return errors.New("MaxCalls: want at least 1")
	}
	for i, k := range c.Choice.Classes {
		if c.Margin < 0 || c.Margin >= k.Deadline {
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

// Begin is a request for a node, to be answered once.
type Begin struct {
	Request dispatch.Request
	Lane    Lane
	Once    bool // its body streams through and cannot be sent a second time
}

// Gone tells that nobody waits for the request any more. Units, where it is over 0, is
// what the part of its answer cost that had come.
type Gone struct {
	ID    dispatch.RequestID
	Units float64
}

// Abandon ends a request whose body proved bad or stopped coming: its client has
// been, or is being, answered by the caller.
type Abandon struct{ ID dispatch.RequestID }

// Flowing tells that the node takes the request's body as it comes: from here on
// the client and the link set the pace.
type Flowing struct{ ID dispatch.RequestID }

// BodySent tells that the whole body has gone to the node.
type BodySent struct{ ID dispatch.RequestID }

// Nodes is news from discovery. Entries that are removed may lack an address.
type Nodes struct {
	Kind  dispatch.ListKind
	Nodes []Node
}

// Dialed ends a Dial.
type Dialed struct {
	Conn ConnID
	OK   bool
}

// Headed tells that the head of a node's answer has been passed on to the client,
// and that its body follows piece by piece. From here there is no other answer.
type Headed struct {
	Conn ConnID
	Word Word
}

// Answered tells that a node's whole answer is there.
type Answered struct {
	Conn  ConnID
	Word  Word
	Reuse bool // the connection can carry another request
}

// Word is what a node's answer says beside its content.
type Word struct {
	Status    dispatch.Status // Served, Errored or Full
	Units     float64         // that the answer's size makes the request cost; 0: those it came with
	Use       float64
	Elsewhere float64
	Report    dispatch.Report
	Timed     bool // the node tells how the request's time there divides
	Queue     time.Duration
	Work      time.Duration
}

// Lost tells that a connection ended, or that what came on it was no answer.
type Lost struct {
	Conn ConnID
	// Unsent tells that its request was not wholly written, and so never ran.
	Unsent bool
	// Stale tells that nothing of its request was written: the connection, which had been
	// idle, was of no use any more.
	Stale bool
}

// Fired is a timer that the forwarder has set.
type Fired struct{}

func (Begin) event()    {}
func (Gone) event()     {}
func (Abandon) event()  {}
func (Flowing) event()  {}
func (BodySent) event() {}
func (Nodes) event()    {}
func (Dialed) event()   {}
func (Headed) event()   {}
func (Answered) event() {}
func (Lost) event()     {}
func (Fired) event()    {}

// Action is something that a forwarder wants done, in the order given.
type Action interface {
	// On returns the lane that is to do it; false for what belongs to none.
	On() (Lane, bool)
}

// Dial opens a connection.
type Dial struct {
	Conn    ConnID
	Lane    Lane
	Node    dispatch.NodeID
	Addr    string
	Timeout time.Duration
}

// Send writes a request on a connection. Attempt counts from 0.
type Send struct {
	Conn    ConnID
	Lane    Lane
	ID      dispatch.RequestID
	Node    dispatch.NodeID
	Attempt int
	Until   time.Duration // then the attempt is given up
}

// Close ends a connection. Whatever still comes on it is thrown away.
type Close struct {
	Conn ConnID
	Lane Lane
}

// Deliver is a final answer: the node's own, which the caller holds.
type Deliver struct {
	ID   dispatch.RequestID
	Lane Lane
	Conn ConnID
}

// Drop throws away a node's answer: the request goes on.
type Drop struct {
	ID   dispatch.RequestID
	Lane Lane
	Conn ConnID
}

// Refuse is a final answer: trying again after After is harmless.
type Refuse struct {
	ID    dispatch.RequestID
	Lane  Lane
	After time.Duration
}

// Fail is a final answer that promises nothing. Late tells that time ran out.
type Fail struct {
	ID   dispatch.RequestID
	Lane Lane
	Late bool
}

// Cut breaks off, visibly, an answer whose head was passed on.
type Cut struct {
	ID   dispatch.RequestID
	Lane Lane
}

// Accounted is the account of a request that ends: where its time from Begin on
// went, and behind whom it was held. It comes once for each Begin, before the final
// answer, where the settings ask for accounts; nothing is decided by it.
type Accounted struct {
	ID    dispatch.RequestID
	Lane  Lane
	Entry *attribution.Entry // the caller's from here on
}

// SetTimer asks for Fired at a time. A later one replaces it.
type SetTimer struct{ At time.Duration }

// Ask asks discovery for the list and its changes.
type Ask struct{}

// On returns the action's lane.
func (a Dial) On() (Lane, bool) { return a.Lane, true }

// On returns the action's lane.
func (a Send) On() (Lane, bool) { return a.Lane, true }

// On returns the action's lane.
func (a Close) On() (Lane, bool) { return a.Lane, true }

// On returns the action's lane.
func (a Deliver) On() (Lane, bool) { return a.Lane, true }

// On returns the action's lane.
func (a Drop) On() (Lane, bool) { return a.Lane, true }

// On returns the action's lane.
func (a Refuse) On() (Lane, bool) { return a.Lane, true }

// On returns the action's lane.
func (a Fail) On() (Lane, bool) { return a.Lane, true }

// On returns the action's lane.
func (a Cut) On() (Lane, bool) { return a.Lane, true }

// On returns the action's lane.
func (a Accounted) On() (Lane, bool) { return a.Lane, true }

// On tells that it belongs to no lane.
func (SetTimer) On() (Lane, bool) { return 0, false }

// On tells that it belongs to no lane.
func (Ask) On() (Lane, bool) { return 0, false }
