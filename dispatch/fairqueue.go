// Fair queue: one start-time fair queue per node with the volumes as flows (the paper's
// sections 2.3 and 2.4). Decides which queued request is released next. Owns the flows, their
// tags and the virtual time of each node.

package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// flow holds the requests of one volume that are queued at one node. Only the head has a start
// tag: each later request starts where its predecessor finishes. So a request that leaves the
// queue unsent leaves no trace in later tags.
type flow struct {
	volume         *volume
	node           *node
	requests       []*request // may hold requests that have left; the head has not
	queuedRequests int
	queuedUnits    float64
	lastStartTag   float64 // of the last request sent
	lastCost       float64 // of the last request sent, units
	lastFinishTag  float64 // of the last request sent
	minStartTag    float64 // virtual time at the last change of weight or end of throttling
	startTag       float64 // of the head
	heapIndex      int     // in node.flows; -1 when not in it

	throttled     bool // the head exceeds the volume's rate limit for now
	throttledAt   time.Duration
	throttledTime time.Duration // total of earlier periods
}

// flowFor returns the flow of a volume at a node, adding it if there is none.
func (d *Dispatcher) flowFor(v *volume, n *node) *flow {
	for _, f := range v.flows {
		if f.node == n {
			return f
		}
	}
	f := &flow{volume: v, node: n, heapIndex: -1}
	v.flows = append(v.flows, f)
	return f
}

// idle reports whether f can be forgotten: it is empty, and its tags no longer matter.
func (f *flow) idle() bool {
	return f.queuedRequests == 0 && !f.throttled &&
		(f.lastFinishTag <= f.node.virtualTime || !f.node.listed)
}

// enqueue adds r to its flow at n: at the front for a retry, which keeps its place, else at the
// back.
func (d *Dispatcher) enqueue(r *request, n *node, front bool) {
	f := d.flowFor(r.volume, n)
	r.node = n
	r.flow = f
	r.state = queued
	r.arrivalVirtualTime = n.virtualTime
	r.blockedAtEnqueue = f.blockedTimes(d.now)
	if f.queuedRequests == 0 {
		n.backloggedWeight += r.volume.weight
	}
	f.queuedRequests++
	f.queuedUnits += r.Units
	n.queuedRequests++
	n.queuedUnits += r.Units
	r.volume.queuedUnits += r.Units
	if front {
		f.requests = slices.Insert(f.requests, 0, r)
	} else {
		f.requests = append(f.requests, r)
	}
	f.updateHead()
	d.setExpiry(r, min(r.objectiveAt, r.deadline-d.cfg.RoundTrip))
	d.markDirty(n)
}

// dequeue removes r from its flow, whether it is sent or not.
func (d *Dispatcher) dequeue(r *request) {
	f, n := r.flow, r.node
	d.clearExpiry(r)
	r.queueTime = r.queueTimeUntil(d.now)
	f.queuedRequests--
	f.queuedUnits -= r.Units
	n.queuedRequests--
	n.queuedUnits -= r.Units
	r.volume.queuedUnits -= r.Units
	r.flow = nil
	if f.queuedRequests == 0 {
		f.queuedUnits = 0
		n.backloggedWeight -= r.volume.weight
	}
	if n.queuedRequests == 0 { // rounding errors must not add up
		n.backloggedWeight = 0
		n.queuedUnits = 0
	}
	f.updateHead()
}

// updateHead drops requests that have left from the front of f, sets the start tag of the head
// (S = max(v, F of the flow's last request)) and moves f to its place in the node's heap.
func (f *flow) updateHead() {
	for len(f.requests) > 0 && f.requests[0].flow != f {
		f.requests[0] = nil
		f.requests = f.requests[1:]
	}
	h := &f.node.flows
	if len(f.requests) == 0 || f.throttled {
		if f.heapIndex >= 0 {
			heap.Remove(h, f.heapIndex)
		}
		return
	}
	f.startTag = max(f.requests[0].arrivalVirtualTime, f.minStartTag, f.lastFinishTag)
	if f.heapIndex < 0 {
		heap.Push(h, f)
	} else {
		heap.Fix(h, f.heapIndex)
	}
}

// recordDispatch records in the tags that the head of f is sent (F = S + c/φ) and advances the
// node's virtual time to its start tag.
func (f *flow) recordDispatch(r *request) {
	f.lastStartTag = f.startTag
	f.lastCost = r.Units
	f.lastFinishTag = f.startTag + r.Units/f.volume.weight
	f.node.virtualTime = max(f.node.virtualTime, f.lastStartTag)
}

// correctCost changes the cost of the last request sent, to no less than 0.
func (f *flow) correctCost(units float64) {
	f.lastCost = max(0, f.lastCost+units)
	f.lastFinishTag = f.lastStartTag + f.lastCost/f.volume.weight
	f.updateHead()
}

// releaseQueued sends or rejects the requests that may leave the queue of n, lowest start tag
// first, up to the concurrency limit.
func (d *Dispatcher) releaseQueued(n *node) {
	n.unblock(d.now)
	for len(n.flows) > 0 && (n.inFlight < d.concurrencyLimit(n) || d.mayProbe(n)) {
		f := n.flows[0]
		r := f.requests[0]
		late := d.now + d.expectedDelay(n) + n.serviceTime(r.Units) - r.objectiveAt
		if late > 0 && !d.mayProbe(n) { // it would miss its objective at the node
			d.reject(r, late)
			continue
		}
		at, permission := d.permitSend(r, n)
		switch {
		case permission == permitted:
			d.send(r, n)
		case permission == forbidden || at > r.objectiveAt:
			d.reject(r, at-d.now)
		case permission == volumeThrottled:
			d.suspendFlow(f, at)
		default:
			d.suspendNode(n, at)
			return
		}
	}
}

// suspendFlow takes f out of the queue until the rate limit of its volume admits its head.
func (d *Dispatcher) suspendFlow(f *flow, until time.Duration) {
	f.throttle(d.now)
	f.updateHead()
	d.addTimer(until, timerEvent{kind: throttleTimer, flow: f})
}

// resumeFlow puts f back into the queue. Its head starts at the virtual time at the earliest.
func (d *Dispatcher) resumeFlow(f *flow) {
	f.unthrottle(d.now)
	f.minStartTag = max(f.minStartTag, f.node.virtualTime)
	f.updateHead()
	d.markDirty(f.node)
}

// suspendNode looks at the queue of n again at a time.
func (d *Dispatcher) suspendNode(n *node, until time.Duration) {
	if n.releaseAt <= d.now || until < n.releaseAt {
		n.releaseAt = until
		d.addTimer(until, timerEvent{kind: releaseTimer, node: n})
	}
	n.block(d.now, n.ejectedUntil >= until)
}

// flowHeap implements heap.Interface. The first flow is the next to be served: the one with the
// lowest start tag, and among equals the one whose head arrived first.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return a.startTag < b.startTag ||
		a.startTag == b.startTag && a.requests[0].sequence < b.requests[0].sequence
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	last := len(old) - 1
	f := old[last]
	f.heapIndex = -1
	*h = old[:last]
	return f
}
