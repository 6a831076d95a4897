// This file keeps the list of nodes from discovery. It decides which node serves a shard, and
// where the queued requests of a node go when that node stops serving. It owns the set of
// nodes. Comments in the type node name the file that owns each group of its fields.

package dispatch

import (
	"slices"
	"strings"
	"time"

	"chalkstand/overload"
)

const (
	// The delay before a failed call to discovery is repeated doubles with each failure, from
	// minPollDelay up to maxPollDelay. It is multiplied by a random factor between
	// minPollJitter and minPollJitter+1.
	minPollDelay          = 500 * time.Millisecond
	maxPollDelay          = 2 * time.Second
	maxPollDelayDoublings = 8 // largest number of doublings of the delay
	minPollJitter         = 0.5
	// silentPollDelay replaces the delay above where lists are pushed and the failed call has
	// met a silent service.
	silentPollDelay = 100 * time.Millisecond
)

// node holds what this dispatcher knows about a storage node.
type node struct {
	Node
	listed bool // true until the dispatcher deletes the node after its removal

	// The file fairqueue.go owns the following fields.
	flows          flowHeap // flows whose head request may be sent
	virtualTime    float64  // v in the paper: the highest start tag of the requests sent
	queuedRequests int
	queuedUnits    float64
	// queuedReservedUnits is the part of queuedUnits that was within a reserve when it was admitted.
	queuedReservedUnits float64
	backloggedWeight    float64       // sum of the weights of flows with queued requests
	releaseAt           time.Duration // when a timer examines the queue again

	// The file attempts.go owns the following fields.
	inFlight         int
	inFlightRequests []*request    // requests in the order sent; some attempts may have ended
	lastSentAt       time.Duration // when the last attempt was sent

	// The file loss.go owns the following fields.
	lastPromptSentAt     time.Duration // send time of the latest attempt that was answered promptly
	unansweredAttempts   int           // attempts without a response since the last served response
	lastUnansweredSentAt time.Duration // send time of the latest attempt without a response

	// The file concurrency.go owns the following field.
	completions decayingSum // decaying number of served responses

	// The file latency.go owns the following fields.
	uncongestedResponses int     // consecutive responses without congestion
	delay                float64 // expected delay beyond the service time, in seconds
	delayConcurrency     float64 // requests in flight when the responses behind delay were requested
	delayUpdatedAt       time.Duration
	secondsPerUnit       float64 // service time of a unit without congestion; 0 means unknown

	// The file standingqueue.go owns the following field.
	detector overload.Detector // whether the node delays the requests of all dispatchers for long

	// The file outlier.go owns the following fields.
	consecutiveFailures int
	ejectedUntil        time.Duration

	// The file slowstart.go owns the following fields.
	slowStartDebt   float64       // units sent and not yet paid off
	slowStartDebtAt time.Duration // when slowStartDebt was last updated
	shardThroughput *decayingSum  // units that the node's shard has served for this dispatcher

	// The file queuetime.go owns the following fields.
	blocked           bool          // whether slow start or ejection blocks the queue now
	blockedAt         time.Duration // when the current blocked period began
	blockedByEjection bool          // whether ejection causes the current blocked period
	slowStartTime     time.Duration // total length of earlier periods blocked by slow start
	ejectedTime       time.Duration // total length of earlier periods blocked by ejection
}

func (d *Dispatcher) handleEndpointUpdate(e EndpointUpdate) {
	if e.Kind == PollFailed {
		d.schedulePoll()
		return
	}
	d.failedPolls = 0
	if e.Kind != Delta {
		for _, n := range d.nodeOrder {
			n.State = Removed
		}
	}
	for _, entry := range e.Nodes {
		d.updateNode(entry)
	}
	slices.SortFunc(d.nodeOrder, func(a, b *node) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	d.indexShards()
	for _, n := range d.nodeOrder {
		if n.State != Ready {
			d.requeueFrom(n)
		}
		d.markDirty(n)
	}
	d.dropRemovedNodes()
}

// poll calls discovery.
func (d *Dispatcher) poll() {
	d.pollSilentAt = d.now + maxPollDelay
	d.emit(Watch{On: true})
}

// schedulePoll sets the timer that repeats a failed call to discovery. Where lists are pushed, the
// news that discovery gets after an outage binds at once, so a call must be waiting for it. Each
// call that a silent service leaves unanswered lasts longer than maxPollDelay, so a short delay
// does not lead to many calls. A service that refuses calls is called less and less often.
func (d *Dispatcher) schedulePoll() {
	delay := min(minPollDelay<<min(d.failedPolls, maxPollDelayDoublings), maxPollDelay)
	if d.cfg.ListsPushed && d.failedPolls > 0 && d.now >= d.pollSilentAt {
		delay = silentPollDelay
	}
	d.failedPolls++
	jitter := minPollJitter + d.rng.Float64()
	d.addTimer(d.now+time.Duration(float64(delay)*jitter), timerEvent{kind: pollTimer})
}

// updateNode adds a node or changes its entry. If the node has a new process, the estimates
// from its earlier process are dropped.
func (d *Dispatcher) updateNode(entry Node) {
	n := d.nodes[entry.ID]
	if n == nil {
		n = &node{}
		d.nodes[entry.ID] = n
		d.nodeOrder = append(d.nodeOrder, n)
	}
	if n.Started != entry.Started {
		n.delay = 0
		n.delayConcurrency = 0
		n.secondsPerUnit = 0
		n.completions = decayingSum{}
		n.consecutiveFailures = 0
		n.ejectedUntil = 0
		n.unansweredAttempts = 0
		n.detector = overload.Detector{}
	}
	n.Node = entry
	n.listed = true
	n.shardThroughput = d.throughputOf(entry.Shard)
}

// indexShards determines which node serves each shard. Among several ready nodes with the same
// shard, the node that started last serves it.
func (d *Dispatcher) indexShards() {
	clear(d.nodeByShard)
	for _, n := range d.nodeOrder {
		current := d.nodeByShard[n.Shard]
		if n.State == Ready && (current == nil || current.Started < n.Started) {
			d.nodeByShard[n.Shard] = n
		}
	}
}

// requeueFrom removes the queued requests of n from its queue and chooses a node for each of
// them again.
func (d *Dispatcher) requeueFrom(n *node) {
	for _, v := range d.volumeOrder {
		for _, f := range v.flows {
			for _, r := range slices.Clone(f.requests) {
				if r.flow == f && r.node == n {
					d.dequeue(r)
					r.state = queuedByKey
					d.place(r)
				}
			}
		}
	}
}

// dropRemovedNodes deletes the removed nodes that have no requests in flight or queued.
func (d *Dispatcher) dropRemovedNodes() {
	d.nodeOrder = slices.DeleteFunc(d.nodeOrder, func(n *node) bool {
		unused := n.State == Removed && n.inFlight == 0 && n.queuedRequests == 0
		if unused {
			n.listed = false
			delete(d.nodes, n.ID)
		}
		return unused
	})
}
