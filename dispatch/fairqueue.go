// This file implements the queue of each node: a start-time fair queue whose flows are the
// volumes (sections 2.3 and 2.4 of the paper that the package comment names). It decides which
// queued request is released next. It owns the flows, their tags and the virtual time of each
// node.

package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"chalkstand/overload"
)

// flow holds the requests of one volume that are queued at one node. Only the head request has
// a start tag. A later request gets its start tag when it becomes the head, from the finish tag
// of the last request sent. A request that leaves the queue unsent therefore does not affect
// the tags of later requests.
type flow struct {
	volume         *volume
	node           *node
	requests       []*request // may contain requests that have left the queue, but not as the head
	queuedRequests int
	queuedUnits    float64
	lastStartTag   float64 // start tag of the last request sent
	lastCost       float64 // cost of the last request sent, in units
	lastFinishTag  float64 // finish tag of the last request sent
	minStartTag    float64 // virtual time when the weight last changed or throttling last ended
	startTag       float64 // start tag of the head request
	heapIndex      int     // index of this flow in node.flows; -1 if it is not in the heap

	detector overload.Detector // whether requests of the flow join a standing queue

	throttled     bool          // whether the volume's rate limit blocks the head request now
	throttledAt   time.Duration // when the current throttled period began
	throttledTime time.Duration // total length of earlier throttled periods
}

// flowFor returns the flow of volume v at node n. It creates the flow if there is none.
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

// idle reports whether f can be deleted: it has no queued requests, and its tags can no longer
// affect the order of requests.
func (f *flow) idle() bool {
	return f.queuedRequests == 0 && !f.throttled &&
		(f.lastFinishTag <= f.node.virtualTime || !f.node.listed)
}

// enqueue adds r to the flow of its volume at n. If front is true, r is a retry and goes to the
// front of the flow, so that it keeps its place. Otherwise r goes to the back.
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
	if r.withinReserve {
		n.queuedReservedUnits += r.Units
	}
	r.volume.queuedUnits += r.Units
	if front {
		f.requests = slices.Insert(f.requests, 0, r)
	} else {
		f.requests = append(f.requests, r)
	}
	f.updateHead()
	d.setExpiry(r, r.answerBy)
	d.markDirty(n)
}

// dequeue removes r from its flow. It is called both when r is sent and when r leaves the queue
// unsent.
func (d *Dispatcher) dequeue(r *request) {
	f, n := r.flow, r.node
	d.clearExpiry(r)
	r.queueTime = r.queueTimeUntil(d.now)
	f.queuedRequests--
	f.queuedUnits -= r.Units
	n.queuedRequests--
	n.queuedUnits -= r.Units
	if r.withinReserve {
		n.queuedReservedUnits -= r.Units
	}
	r.volume.queuedUnits -= r.Units
	r.flow = nil
	if f.queuedRequests == 0 {
		f.queuedUnits = 0
		n.backloggedWeight -= r.volume.weight
	}
	if n.queuedRequests == 0 {
		// Resetting the sums of an empty queue keeps rounding errors from accumulating.
		n.backloggedWeight = 0
		n.queuedUnits = 0
		n.queuedReservedUnits = 0
	}
	f.updateHead()
}

// updateHead updates f after a change of its head request or its tags. It first drops the
// requests at the front that have left the queue. It then computes the start tag S = max(v, F)
// of the head, where v is the virtual time at which the head was queued and F is the finish tag
// of the last request sent. Finally it moves f to its position in the node's heap. A flow that
// is empty or throttled is removed from the heap.
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

// recordDispatch updates the tags of f when its head request r is sent. The finish tag becomes
// F = S + c/φ for start tag S, cost c and weight φ. The node's virtual time advances to S.
func (f *flow) recordDispatch(r *request) {
	f.lastStartTag = f.startTag
	f.lastCost = r.Units
	f.lastFinishTag = f.startTag + r.Units/f.volume.weight
	f.node.virtualTime = max(f.node.virtualTime, f.lastStartTag)
}

// correctCost adds units to the cost of the last request sent and recomputes its finish tag.
// The corrected cost is at least 0.
func (f *flow) correctCost(units float64) {
	f.lastCost = max(0, f.lastCost+units)
	f.lastFinishTag = f.lastStartTag + f.lastCost/f.volume.weight
	f.updateHead()
}

// releaseQueued sends or rejects the queued requests of n, lowest start tag first. It stops
// when the queue is empty, when the concurrency limit is reached, or when slow start or
// ejection blocks the node.
func (d *Dispatcher) releaseQueued(n *node) {
	n.unblock(d.now)
	for len(n.flows) > 0 && (n.inFlight < d.concurrencyLimit(n) || d.mayProbe(n)) {
		f := n.flows[0]
		r := f.requests[0]
		if !d.answerable(r, n, 0) && !d.mayAttempt(n) {
			d.reject(r, d.queueDelay(r))
			continue
		}
		at, permission := d.permitSend(r, n)
		switch {
		case permission == permitted:
			d.send(r, n)
		case permission == forbidden || at > r.answerBy:
			d.reject(r, at-d.now)
		case permission == volumeThrottled:
			d.suspendFlow(f, at)
		default:
			d.suspendNode(n, at)
			return
		}
	}
}

// suspendFlow removes f from the heap of its node until the given time, when the rate limit of
// the volume is expected to admit the head request.
func (d *Dispatcher) suspendFlow(f *flow, until time.Duration) {
	f.throttle(d.now)
	f.updateHead()
	d.addTimer(until, timerEvent{kind: throttleTimer, flow: f})
}

// resumeFlow puts f back into the heap of its node when throttling ends. The start tag of its
// head request is then at least the current virtual time of the node.
func (d *Dispatcher) resumeFlow(f *flow) {
	f.unthrottle(d.now)
	f.minStartTag = max(f.minStartTag, f.node.virtualTime)
	f.updateHead()
	d.markDirty(f.node)
}

// suspendNode sets a timer that examines the queue of n again at the given time. It also
// records that slow start or ejection blocks the queue until then.
func (d *Dispatcher) suspendNode(n *node, until time.Duration) {
	if n.releaseAt <= d.now || until < n.releaseAt {
		n.releaseAt = until
		d.addTimer(until, timerEvent{kind: releaseTimer, node: n})
	}
	n.block(d.now, n.ejectedUntil >= until)
}

// flowHeap implements heap.Interface. The first flow is served next: its head request has the
// lowest start tag. Among flows with equal start tags, the flow whose head request arrived
// first comes first.
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
