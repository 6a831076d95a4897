// This file defines the events that a dispatcher is notified of, and the types that events
// contain. It decides nothing and holds no state.

package dispatch

import "time"

// RequestID identifies a request. Actions for a request contain the same ID as its events.
type RequestID uint64

// NodeID identifies a storage node. The dispatcher does not interpret it.
type NodeID string

// VolumeID identifies a volume.
type VolumeID string

// Shard identifies a partition of the data. Each node holds one shard.
type Shard int

// AnyShard is the shard of a request that every node may serve, such as the creation of an
// object.
const AnyShard Shard = -1

// Event is an input of Dispatcher.Handle.
type Event interface{ event() }

// EndpointUpdate reports a change in the list of nodes from discovery, or a failed call to
// discovery.
type EndpointUpdate struct {
	Kind  EndpointUpdateKind
	Nodes []Node
}

// EndpointUpdateKind says how the dispatcher applies an EndpointUpdate.
type EndpointUpdateKind int

// An EndpointUpdate has one of these kinds.
const (
	Delta      EndpointUpdateKind = iota // the update lists only changed nodes
	Snapshot                             // the update lists all nodes; nodes missing from it are removed
	Cached                               // the update lists all nodes as last known, and may be outdated
	PollFailed                           // a call to discovery failed; the list of nodes stays as it is
)

// Node is an entry in the list of nodes from discovery.
type Node struct {
	ID      NodeID
	Zone    int
	Kind    int // hardware kind
	Shard   Shard
	State   NodeState
	Started time.Duration // when the process of the node started; 0 means long ago
}

// NodeState is the state of a listed node.
type NodeState int

// A listed node has one of these states.
const (
	Ready    NodeState = iota
	Draining           // the node takes no new requests
	Removed
)

// Request reports the arrival of a client's request. The request gets one final answer, within
// Timeout.
type Request struct {
	ID          RequestID
	Class       int // index into Config.Classes
	Plan        int // index into Config.Plans
	Volume      VolumeID
	Key         string // requests with the same key may have to keep order; "" means no key
	Shard       Shard
	Units       float64       // cost of the request
	Dispatchers int           // number of dispatchers that serve the volume
	Timeout     time.Duration // remaining time until the client gives up
}

// AttemptCompleted reports the end of an attempt.
type AttemptCompleted struct {
	ID        RequestID
	Attempt   int // number of the attempt; the first is 0
	Node      NodeID
	Result    AttemptResult
	Responded bool          // whether the client has its final answer
	Latency   time.Duration // duration of the attempt
	// QuotaUsage is 1 plus the percentage of its plan's rate that the volume uses through all
	// dispatchers. 0 means that the usage is unknown.
	QuotaUsage float64
	PeerUnits  float64 // units served for the volume through other dispatchers
	LoadReport LoadReport
}

// AttemptResult says how an attempt ended.
type AttemptResult int

// An attempt ends with one of these results.
const (
	OK AttemptResult = iota
	ServerError
	Rejected        // the node rejected the request and did not execute it
	TimedOut        // no response came in time; the request may have been executed
	ConnectFailed   // the connection failed before the request was sent
	ConnectionReset // the connection ended without a response; the request may have been executed
	Canceled        // the attempt was canceled by CancelAttempt or by the client
	NotSent         // the attempt was given up before the request was sent
)

// LoadReport holds the load figures that a node reports about itself, by name. The figures may
// be late and noisy. The dispatcher uses only "inflight", the number of requests at the node.
type LoadReport map[string]float64

// loadInFlight is the name of the only load figure that the dispatcher uses.
const loadInFlight = "inflight"

// CostCorrection reports the difference between the actual cost of a sent request and the units
// that were charged for it. Units is negative if too much was charged.
type CostCorrection struct {
	Volume VolumeID
	Node   NodeID
	Units  float64
}

// ClientCanceled reports that the client has canceled a request.
type ClientCanceled struct{ ID RequestID }

// Shutdown reports that the dispatcher is about to end. Every request that waits gets its final
// answer, and no further attempt starts. The caller ends the attempts in flight and reports their
// results as usual.
type Shutdown struct{}

// TimerFired reports that a timer requested by SetTimer has expired.
type TimerFired struct{ Token string }

func (EndpointUpdate) event()   {}
func (Request) event()          {}
func (AttemptCompleted) event() {}
func (ClientCanceled) event()   {}
func (CostCorrection) event()   {}
func (Shutdown) event()         {}
func (TimerFired) event()       {}
