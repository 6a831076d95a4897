// Events: what a dispatcher is notified of, and the types that events carry. Nothing is
// decided here and no state is held.

package dispatch

import "time"

// RequestID identifies a request. Actions return it unchanged.
type RequestID uint64

// NodeID identifies a storage node. It carries no meaning.
type NodeID string

// VolumeID identifies a volume.
type VolumeID string

// Shard is a partition of the data. A node holds one.
type Shard int

// AnyShard is the shard of a request that every node may serve, such as the creation of an
// object.
const AnyShard Shard = -1

// Event is an input of Dispatcher.Handle.
type Event interface{ event() }

// EndpointUpdate is an update of the list of nodes from discovery.
type EndpointUpdate struct {
	Kind  EndpointUpdateKind
	Nodes []Node
}

// EndpointUpdateKind says how an EndpointUpdate is applied.
type EndpointUpdateKind int

// The kinds of endpoint updates.
const (
	Delta      EndpointUpdateKind = iota // changed nodes only
	Snapshot                             // all nodes; those missing are removed
	Cached                               // all nodes as last known, possibly stale
	PollFailed                           // a call to discovery failed; the list stays as it is
)

// Node is an entry of the list of nodes.
type Node struct {
	ID      NodeID
	Zone    int
	Kind    int // hardware kind
	Shard   Shard
	State   NodeState
	Started time.Duration // start of its process; 0: long ago
}

// NodeState is the state of a listed node.
type NodeState int

// The states of a listed node.
const (
	Ready    NodeState = iota
	Draining           // takes no new requests
	Removed
)

// Request is the arrival of a client's request. It gets one final answer, within Timeout.
type Request struct {
	ID          RequestID
	Class       int // index into Config.Classes
	Plan        int // index into Config.Plans
	Volume      VolumeID
	Key         string // "": none
	Shard       Shard
	Units       float64       // cost
	Dispatchers int           // dispatchers that serve the volume
	Timeout     time.Duration // remaining time until the client gives up
}

// AttemptCompleted is the end of an attempt.
type AttemptCompleted struct {
	ID         RequestID
	Attempt    int // 0 for the first
	Node       NodeID
	Result     AttemptResult
	Responded  bool          // the client has its final answer
	Latency    time.Duration // of the attempt
	QuotaUsage float64       // 1 + percent of the plan's rate that the volume uses everywhere; 0: unknown
	PeerUnits  float64       // units served for the volume through other dispatchers
	LoadReport LoadReport
}

// AttemptResult is how an attempt ended.
type AttemptResult int

// The results of an attempt.
const (
	OK AttemptResult = iota
	ServerError
	Rejected        // by the node, without execution
	TimedOut        // no response; it may have been executed
	ConnectFailed   // never sent
	ConnectionReset // no response; it may have been executed
	Canceled        // by CancelAttempt or a client's cancellation
	NotSent         // given up before it was sent
)

// LoadReport holds a node's own load figures by name. They may be late and noisy. Only
// "inflight", the number of requests at the node, is used.
type LoadReport map[string]float64

// loadInFlight is the name of the load figure that is used.
const loadInFlight = "inflight"

// CostCorrection is the difference between the actual cost of a request that was sent and the
// units that it was charged. It is negative where too much was charged.
type CostCorrection struct {
	Volume VolumeID
	Node   NodeID
	Units  float64
}

// ClientCanceled is the cancellation of a request by its client.
type ClientCanceled struct{ ID RequestID }

// TimerFired is the expiry of a timer requested by SetTimer.
type TimerFired struct{ Token string }

func (EndpointUpdate) event()   {}
func (Request) event()          {}
func (AttemptCompleted) event() {}
func (ClientCanceled) event()   {}
func (CostCorrection) event()   {}
func (TimerFired) event()       {}
