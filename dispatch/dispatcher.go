// Package dispatch decides, for one dispatcher of a storage gateway, which queued request is
// sent next, to which node, and which requests are rejected.
//
// A Dispatcher is a deterministic state machine: Handle takes the time and an event and returns
// actions. A Dispatcher performs no I/O, reads no clock and draws random numbers only from its
// seed.
//
// A Dispatcher schedules requests by C-SFQ(D) (Karlsson, Karamanolis and Chase, "Controllable
// Fair Queuing for Service Utilities", HPL-2005-21). Each node has one start-time fair queue
// whose flows are the volumes. While fewer than D requests are in flight at a node, the queued
// request with the lowest start tag is sent next. Every other file of the package implements
// one concern, which the comment at its top describes.
package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chalkstand/internal/timerqueue"
)

// wakeupToken is the token in the SetTimer actions and TimerFired events of the dispatcher's
// timer.
const wakeupToken = "wake"

// Dispatcher holds the state of one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	cfg       Config
	rng       *rand.Rand
	now       time.Duration
	startedAt time.Duration // time of the first event
	started   bool
	// shuttingDown is true after the event Shutdown. No attempt starts any more.
	shuttingDown bool

	tightestObjective time.Duration // the shortest latency objective of all classes
	shortestDeadline  time.Duration // the shortest deadline of all classes

	nodes             map[NodeID]*node
	nodeOrder         []*node                // sorted by ID
	nodeByShard       map[Shard]*node        // the node that serves each shard
	throughputByShard map[Shard]*decayingSum // units that each shard has served for this dispatcher
	volumes           map[VolumeID]*volume
	volumeOrder       []*volume // in the order of their first requests
	evictionCursor    int       // position in volumeOrder of the record that hasRoomForVolume examined last
	requests          map[RequestID]*request
	keyQueues         map[string]*keyQueue

	timers       timerqueue.Queue[timerEvent]
	wakeAt       time.Duration // when the requested TimerFired event is due
	lastSequence uint64        // the sequence number of the last request that arrived

	budgetRequests []time.Duration // arrival times of the requests within the window of the retry budget
	budgetRetries  []time.Duration // send times of the retries within the same window
	// scheduledRetries and reservedRetries count the requests with each claim on the retry budget.
	scheduledRetries, reservedRetries int

	lossRate float64 // estimated share of responses that are lost, from 0 to 1

	// The file endpoints.go owns the following fields.
	failedPolls  int           // number of consecutive failed calls to discovery
	pollSilentAt time.Duration // a call to discovery that fails then or later has met silence

	dirtyNodes []*node // nodes whose queues must be examined before Handle returns
	actions    []Action
}

// New checks cfg and returns a dispatcher without nodes. The error wraps a *ConfigError. Two
// dispatchers with the same settings, seed and events return the same actions.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if err := checkConfig(&cfg); err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	d := &Dispatcher{
		cfg:               cfg,
		rng:               rand.New(rand.NewPCG(seed, 0)),
		tightestObjective: cfg.Classes[0].LatencyObjective,
		shortestDeadline:  cfg.Classes[0].Deadline,
		nodes:             map[NodeID]*node{},
		nodeByShard:       map[Shard]*node{},
		throughputByShard: map[Shard]*decayingSum{},
		volumes:           map[VolumeID]*volume{},
		requests:          map[RequestID]*request{},
		keyQueues:         map[string]*keyQueue{},
	}
	for _, c := range cfg.Classes {
		d.tightestObjective = min(d.tightestObjective, c.LatencyObjective)
		d.shortestDeadline = min(d.shortestDeadline, c.Deadline)
	}
	return d, nil
}

// Handle applies the event ev at the time now. It returns the resulting actions, which the
// caller must perform in order. If now is earlier than the time of a previous event, Handle uses
// that previous time.
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
	case Shutdown:
		d.handleShutdown()
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

// start initializes the dispatcher when its first event arrives.
func (d *Dispatcher) start() {
	d.started = true
	d.startedAt = d.now
	d.wakeAt = math.MaxInt64
	d.addTimer(d.now+controllerInterval, timerEvent{kind: controllerTimer})
	if d.cfg.PollDiscovery {
		d.poll()
	}
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// markDirty ensures that the queue of n is examined before Handle returns.
func (d *Dispatcher) markDirty(n *node) {
	if n != nil && !slices.Contains(d.dirtyNodes, n) {
		d.dirtyNodes = append(d.dirtyNodes, n)
	}
}
