// Package dispatch decides, for one dispatcher of a storage gateway, which queued request is
// sent next, to which node, and which requests are rejected.
//
// A Dispatcher is a deterministic state machine: Handle takes the time and an event and returns
// actions. It performs no I/O and reads no clock; its only random numbers come from the seed.
//
// Requests are scheduled by C-SFQ(D) (Karlsson, Karamanolis and Chase, "Controllable Fair
// Queuing for Service Utilities", HPL-2005-21): one start-time fair queue per node with the
// volumes as flows, lowest start tag first, while fewer than D requests are in flight at the
// node. Each other file holds one concern: see the comment at its top.
package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chalkstand/internal/timerqueue"
)

// wakeupToken is the token of the dispatcher's timer.
const wakeupToken = "wake"

// Dispatcher holds the state of one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	cfg       Config
	rng       *rand.Rand
	now       time.Duration
	startedAt time.Duration // time of the first event
	started   bool

	tightestObjective time.Duration // the smallest latency objective of all classes
	maxPriority       float64       // the largest priority weight times price

	nodes             map[NodeID]*node
	nodeOrder         []*node // by ID
	nodeByShard       map[Shard]*node
	throughputByShard map[Shard]*decayingSum // units served for this dispatcher
	volumes           map[VolumeID]*volume
	volumeOrder       []*volume // by first request
	requests          map[RequestID]*request
	keyQueues         map[string]*keyQueue
	maxTimeouts       []time.Duration // by class: the longest timeout of a client

	timers       timerqueue.Queue[timerEvent]
	wakeAt       time.Duration // of the timer that is set
	lastSequence uint64        // of a request

	budgetRequests []time.Duration // arrivals within the window of the retry budget
	budgetRetries  []time.Duration // attempts beyond the first, within the same window
	// requests with each claim on the budget
	scheduledRetries, reservedRetries int

	lossRate    float64 // share of responses that are lost, 0 to 1
	failedPolls int     // consecutive failed calls to discovery

	dirtyNodes []*node // whose queues have to be looked at before Handle returns
	actions    []Action
}

// New checks the settings and returns a dispatcher without nodes. The error wraps a
// *ConfigError. Dispatchers with the same seed and events return the same actions.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if err := checkConfig(&cfg); err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	d := &Dispatcher{
		cfg:               cfg,
		rng:               rand.New(rand.NewPCG(seed, 0)),
		tightestObjective: cfg.Classes[0].LatencyObjective,
		nodes:             map[NodeID]*node{},
		nodeByShard:       map[Shard]*node{},
		throughputByShard: map[Shard]*decayingSum{},
		volumes:           map[VolumeID]*volume{},
		requests:          map[RequestID]*request{},
		keyQueues:         map[string]*keyQueue{},
		maxTimeouts:       make([]time.Duration, len(cfg.Classes)),
	}
	for _, c := range cfg.Classes {
		d.tightestObjective = min(d.tightestObjective, c.LatencyObjective)
		for _, p := range cfg.Plans {
			d.maxPriority = max(d.maxPriority, c.PriorityWeight*p.Price)
		}
	}
	return d, nil
}

// Handle applies an event at a time and returns the actions that follow, in order. A time
// before that of an earlier event counts as that time.
func (d *Dispatcher) Handle(now time.Duration, ev Event) []Action {
	d.actions = nil
	d.now = max(now, d.now)
	if !d.started {
		d.start()
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		d.handleEndpointUpdate(e)
	case Request:
		d.handleRequest(e)
	case AttemptCompleted:
		d.handleAttemptCompleted(e)
	case ClientCanceled:
		d.handleClientCanceled(e)
	case CostCorrection:
		d.handleCostCorrection(e)
	case TimerFired:
		if d.now >= d.wakeAt {
			d.wakeAt = math.MaxInt64
		}
	}
	d.runTimers()
	for len(d.dirtyNodes) > 0 {
		n := d.dirtyNodes[0]
		d.dirtyNodes = d.dirtyNodes[1:]
		d.releaseQueued(n)
	}
	d.armWakeup()
	return d.actions
}

// start is called before the first event.
func (d *Dispatcher) start() {
	d.started = true
	d.startedAt = d.now
	d.wakeAt = math.MaxInt64
	d.addTimer(d.now+controllerInterval, timerEvent{kind: controllerTimer})
	if d.cfg.PollDiscovery {
		d.emit(Watch{On: true})
	}
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// markDirty has the queue of n looked at before Handle returns.
func (d *Dispatcher) markDirty(n *node) {
	if n != nil && !slices.Contains(d.dirtyNodes, n) {
		d.dirtyNodes = append(d.dirtyNodes, n)
	}
}
