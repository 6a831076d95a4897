// Package dispatch decides, for one dispatcher of a storage gateway, which held
// request leaves next, where to, and which is turned away. This file is its
// interface: settings, events in, actions out. All decisions are in dispatcher.go.
package dispatch

import "time"

// RequestID names a request. It is returned unchanged in actions.
type RequestID uint64

// NodeID names a storage node. It carries no meaning.
type NodeID string

// VolumeID names a volume.
type VolumeID string

// Shard is a piece of the data; a node holds one. AnyShard marks a new object.
type Shard int

// AnyShard is the shard of a request that any node may take.
const AnyShard Shard = -1

// Idempotency tells whether a request may run twice.
type Idempotency int

// The three kinds of effect.
const (
	Idempotent    Idempotency = iota // may be repeated freely
	Deduplicated                     // repeats are dropped within a group, for a window
	NonIdempotent                    // must not run twice
)

// DedupScope is the set of nodes that drop repeats of a keyed request.
type DedupScope int

// The groups, from the widest to the narrowest.
const (
	DedupEverywhere DedupScope = iota
	DedupPerZone
	DedupPerShard
)

// Config holds the settings a dispatcher is given at start. A rule whose
// settings are absent (zero) is off.
type Config struct {
	DispatcherIndex, DispatcherCount int  // this dispatcher's number, and how many there are
	CancelAttempts                   bool // attempts may be cancelled
	PollDiscovery                    bool // node lists come only when asked for
	MaxRetryAfter                    time.Duration
	MaxAttempts                      int // for one request; 0: no bound
	RoundTrip                        time.Duration

	Classes []Class
	Plans   []Plan

	MeanUnits float64 // mean units of a request
	MaxUnits  float64 // units of the largest request

	SlowStart   SlowStart
	RetryBudget RetryBudget
	Quiescence  time.Duration // rest of a key after an attempt that may still run
}

// Class is a kind of request.
type Class struct {
	Name                       string
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
	Idempotency                Idempotency
	DedupScope                 DedupScope
	DedupWindow                time.Duration
	Ordered                    bool // requests with one key run one at a time, in order
}

// Plan holds the figures of a volume over all dispatchers and nodes.
type Plan struct {
	Name                    string
	Reserve                 float64 // units a second
	Weight                  float64
	Price                   float64
	RateLimit, Burst, Slack float64 // Limit 0: none
}

// SlowStart bounds what all dispatchers may send a node that has just started.
type SlowStart struct {
	InitialCapacity float64       // share of its capacity that a node starts with
	WarmUp          time.Duration // it is warm after this at the latest
	OverloadFactor  float64       // of its present capacity that it bears
	Window          time.Duration // for so long
	InitialUnits    float64       // units within Span that it always bears; 0: rule off
}

// RetryBudget bounds attempts beyond the first: in any Span at most Free plus
// Ratio times the requests taken.
type RetryBudget struct {
	MinRetries, Ratio float64
	Window            time.Duration // 0: no budget
}

// NodeState is what the node list says of a node.
type NodeState int

// The states of a listed node.
const (
	Ready NodeState = iota
	Draining
	Removed
)

// Node is an entry of the node list.
type Node struct {
	ID      NodeID
	Zone    int
	Kind    int
	Shard   Shard
	State   NodeState
	Started time.Duration // 0: long ago
}

// Event is something that a dispatcher hears.
type Event interface{ event() }

// EndpointUpdateKind tells how a NodeList is to be applied.
type EndpointUpdateKind int

// The kinds of list.
const (
	Delta      EndpointUpdateKind = iota // changed entries only
	Snapshot                             // all nodes; those missing are removed
	Cached                               // all nodes as last held, perhaps stale
	PollFailed                           // a call to discovery failed; nothing changes
)

// EndpointUpdate is news from discovery.
type EndpointUpdate struct {
	Kind  EndpointUpdateKind
	Nodes []Node
}

// Request is a client's request, to be answered once before Left has passed.
type Request struct {
	ID          RequestID
	Class       int
	Plan        int
	Volume      VolumeID
	Key         string // "" : none
	Shard       Shard
	Units       float64
	Dispatchers int // dispatchers through which the volume's requests come
	Timeout     time.Duration
}

// AttemptResult is how an attempt ended.
type AttemptResult int

// The ends of an attempt.
const (
	OK AttemptResult = iota
	ServerError
	Rejected        // turned away unseen
	TimedOut        // no answer; it may have run
	ConnectFailed   // never sent
	ConnectionReset // the connection broke
	Canceled
	NotSent // not sent
)

// LoadReport is a node's late and noisy account of its load: inflight (requests in hand) is
// used where it is there; other fields are ignored.
type LoadReport map[string]float64

// AttemptCompleted is the end of one attempt.
type AttemptCompleted struct {
	ID         RequestID
	Attempt    int
	Node       NodeID
	Result     AttemptResult
	Responded  bool // the client has its answer
	Latency    time.Duration
	QuotaUsage float64 // 1 + percent of the plan's rate served everywhere; 0: none
	PeerUnits  float64 // units served here for the volume through other dispatchers
	LoadReport LoadReport
}

// CostCorrection tells what a request that was sent turned out to cost beyond the units that it
// was taken for; below 0: short of them.
type CostCorrection struct {
	Volume VolumeID
	Node   NodeID
	Units  float64
}

// ClientCanceled tells that the client has left.
type ClientCanceled struct{ ID RequestID }

// TimerFired is a timer that the dispatcher has set.
type TimerFired struct{ Token string }

func (EndpointUpdate) event()   {}
func (Request) event()          {}
func (AttemptCompleted) event() {}
func (ClientCanceled) event()   {}
func (CostCorrection) event()   {}
func (TimerFired) event()       {}

// Action is something that a dispatcher wants done, in the order given.
type Action interface{ action() }

// QueueTime tells for what a request was held at nodes since it was taken or its last
// attempt ended. What is left of that time is its key's turn or its pause.
type QueueTime struct {
	Concurrency time.Duration // the node's places were taken
	RateLimit   time.Duration // its volume's limit
	SlowStart   time.Duration // the guard of a cold node
	Ejected     time.Duration // the pause of a suspect node
}

// SendAttempt sends a request to a node; it ends at the client's deadline or Until.
type SendAttempt struct {
	ID        RequestID
	Node      NodeID
	Deadline  time.Duration // 0: when the client gives up
	QueueTime QueueTime
}

// Reject is a final answer: trying again is harmless, after After.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration
	QueueTime  QueueTime
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID        RequestID
	QueueTime QueueTime
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// SetTimer asks for Fired at a time.
type SetTimer struct {
	At    time.Duration
	Token string
}

// Watch asks discovery for changes from now on.
type Watch struct{ On bool }

func (SendAttempt) action()   {}
func (Reject) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Watch) action()         {}
