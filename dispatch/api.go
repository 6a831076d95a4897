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

// Effect tells whether a request may run twice.
type Effect int

// The three kinds of effect.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped within a group, for a window
	Unsafe               // must not run twice
)

// Group is the set of nodes that drop repeats of a keyed request.
type Group int

// The groups, from the widest to the narrowest.
const (
	GroupAll Group = iota
	GroupZone
	GroupShard
)

// Config holds the settings a dispatcher is given at start. A rule whose
// settings are absent (zero) is off.
type Config struct {
	Me, Peers     int  // this dispatcher's number, and how many there are
	Cancel        bool // attempts may be cancelled
	AskDiscovery  bool // node lists come only when asked for
	MaxRetryAfter time.Duration
	MaxAttempts   int // for one request; 0: no bound
	Round         time.Duration

	Classes []Class
	Plans   []Plan

	UsualUnits   float64 // mean units of a request
	LargestUnits float64 // units of the largest request

	Cold   ColdRule
	Budget BudgetRule
	Settle time.Duration // rest of a key after an attempt that may still run
}

// Class is a kind of request.
type Class struct {
	Name          string
	Aim, Deadline time.Duration
	Worth         float64
	Effect        Effect
	Group         Group
	Window        time.Duration
	InTurn        bool // requests with one key run one at a time, in order
}

// Plan holds the figures of a volume over all dispatchers and nodes.
type Plan struct {
	Name                string
	Reserve             float64 // units a second
	Weight              float64
	Price               float64
	Limit, Burst, Slack float64 // Limit 0: none
}

// ColdRule bounds what all dispatchers may send a node that has just started.
type ColdRule struct {
	From       float64       // share of its capacity that a node starts with
	WarmUp     time.Duration // it is warm after this at the latest
	Multiple   float64       // of its present capacity that it bears
	Span       time.Duration // for so long
	YoungLimit float64       // units within Span that it always bears; 0: rule off
}

// BudgetRule bounds attempts beyond the first: in any Span at most Free plus
// Ratio times the requests taken.
type BudgetRule struct {
	Free, Ratio float64
	Span        time.Duration // 0: no budget
}

// NodeState is what the node list says of a node.
type NodeState int

// The states of a listed node.
const (
	Serving NodeState = iota
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

// ListKind tells how a NodeList is to be applied.
type ListKind int

// The kinds of list.
const (
	Changes   ListKind = iota // changed entries only
	Complete                  // all nodes; those missing are removed
	Persisted                 // all nodes as last held, perhaps stale
	Failed                    // a call to discovery failed; nothing changes
)

// NodeList is news from discovery.
type NodeList struct {
	Kind  ListKind
	Nodes []Node
}

// Request is a client's request, to be answered once before Left has passed.
type Request struct {
	ID     RequestID
	Class  int
	Plan   int
	Volume VolumeID
	Key    string // "" : none
	Shard  Shard
	Units  float64
	Hosts  int // dispatchers through which the volume's requests come
	Left   time.Duration
}

// Status is how an attempt ended.
type Status int

// The ends of an attempt.
const (
	Served Status = iota
	Errored
	Full          // turned away unseen
	TimedOut      // no answer; it may have run
	ConnectFailed // never sent
	Dropped       // the connection broke
	Cancelled
	Moot // not sent
)

// Report is a node's late and noisy account of its load: inflight (requests in hand) is
// used where it is there; other fields are ignored.
type Report map[string]float64

// Outcome is the end of one attempt.
type Outcome struct {
	ID        RequestID
	Attempt   int
	Node      NodeID
	Status    Status
	Concluded bool // the client has its answer
	Took      time.Duration
	Use       float64 // 1 + percent of the plan's rate served everywhere; 0: none
	Elsewhere float64 // units served here for the volume through other dispatchers
	Report    Report
}

// Measured tells what a request that was sent turned out to cost beyond the units that it
// was taken for; below 0: short of them.
type Measured struct {
	Volume VolumeID
	Node   NodeID
	Units  float64
}

// Gone tells that the client has left.
type Gone struct{ ID RequestID }

// Fired is a timer that the dispatcher has set.
type Fired struct{ Token string }

func (NodeList) event() {}
func (Request) event()  {}
func (Outcome) event()  {}
func (Gone) event()     {}
func (Measured) event() {}
func (Fired) event()    {}

// Action is something that a dispatcher wants done, in the order given.
type Action interface{ action() }

// Held tells for what a request was held at nodes since it was taken or its last
// attempt ended. What is left of that time is its key's turn or its pause.
type Held struct {
	Line    time.Duration // the node's places were taken
	Limit   time.Duration // its volume's limit
	Cold    time.Duration // the guard of a cold node
	Suspect time.Duration // the pause of a suspect node
}

// Attempt sends a request to a node; it ends at the client's deadline or Until.
type Attempt struct {
	ID    RequestID
	Node  NodeID
	Until time.Duration // 0: when the client gives up
	Held  Held
}

// Refuse is a final answer: trying again is harmless, after After.
type Refuse struct {
	ID    RequestID
	After time.Duration
	Held  Held
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID   RequestID
	Held Held
}

// Cancel stops waiting for an attempt.
type Cancel struct {
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

func (Attempt) action()  {}
func (Refuse) action()   {}
func (Fail) action()     {}
func (Cancel) action()   {}
func (SetTimer) action() {}
func (Watch) action()    {}
