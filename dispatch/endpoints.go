// Endpoints: the list of nodes from discovery. Decides which node serves a shard, and where the
// queued requests of a node go that no longer serves. Owns the set of nodes; the fields of a
// record are owned as marked.

package dispatch

import (
	"slices"
	"strings"
	"time"
)

const (
	// The time until a failed call to discovery is repeated doubles between these bounds,
	// times a random factor between minPollJitter and minPollJitter+1.
	minPollDelay        = 500 * time.Millisecond
	maxPollDelay        = 2 * time.Second
	maxPollDelayDoubles = 8
	minPollJitter       = 0.5
)

// node is a storage node, as far as this dispatcher knows.
type node struct {
	Node
	listed bool

	// fairqueue.go
	flows            flowHeap // with requests that may be sent
	virtualTime      float64  // v in the paper: the highest start tag sent
	queuedRequests   int
	queuedUnits      float64
	backloggedWeight float64       // sum of the weights of flows with queued requests
	releaseAt        time.Duration // of the timer that examines the queue again

	// attempts.go
	inFlight         int
	inFlightRequests []*request // in the order sent; may hold some that have ended
	lastSentAt       time.Duration

	// loss.go
	lastPromptSentAt     time.Duration // send time of the latest attempt that was answered promptly
	unansweredAttempts   int           // since the last served response
	lastUnansweredSentAt time.Duration // send time of the latest of them

	// concurrency.go
	completions decayingSum // served responses

	// latency.go
	uncongestedResponses int     // consecutive
	delay                float64 // expected beyond the service time, seconds
	delayUpdatedAt       time.Duration
	secondsPerUnit       float64 // service time of a unit without congestion; 0: unknown

	// outlier.go
	consecutiveFailures int
	ejectedUntil        time.Duration

	// slowstart.go
	slowStartDebt   float64 // units sent and not paid off
	slowStartDebtAt time.Duration
	shardThroughput *decayingSum // units served by its shard

	// queuetime.go
	blocked           bool // by slow start or ejection
	blockedAt         time.Duration
	blockedByEjection bool
	slowStartTime     time.Duration // total of earlier periods
	ejectedTime       time.Duration // total of earlier periods
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

// schedulePoll calls discovery again after a failed call.
func (d *Dispatcher) schedulePoll() {
	delay := min(minPollDelay<<min(d.failedPolls, maxPollDelayDoubles), maxPollDelay)
	d.failedPolls++
	jitter := minPollJitter + d.rng.Float64()
	d.addTimer(d.now+time.Duration(float64(delay)*jitter), timerEvent{kind: pollTimer})
}

// updateNode adds or changes a node. The estimates of an earlier process of it are dropped.
func (d *Dispatcher) updateNode(entry Node) {
	n := d.nodes[entry.ID]
	if n == nil {
		n = &node{}
		d.nodes[entry.ID] = n
		d.nodeOrder = append(d.nodeOrder, n)
	}
	if n.Started != entry.Started {
		n.delay = 0
		n.secondsPerUnit = 0
		n.completions = decayingSum{}
		n.consecutiveFailures = 0
		n.ejectedUntil = 0
		n.unansweredAttempts = 0
	}
	n.Node = entry
	n.listed = true
	n.shardThroughput = d.throughputOf(entry.Shard)
}

// indexShards finds the node of each shard: of several that are ready the one started last.
func (d *Dispatcher) indexShards() {
	clear(d.nodeByShard)
	for _, n := range d.nodeOrder {
		current := d.nodeByShard[n.Shard]
		if n.State == Ready && (current == nil || current.Started < n.Started) {
			d.nodeByShard[n.Shard] = n
		}
	}
}

// requeueFrom places the queued requests of n anew.
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

// dropRemovedNodes forgets removed nodes without requests.
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
