package fairshare

import "time"

// Flow is the queue of one volume on one loop. It may only be used with the Scheduler that
// created it.
type Flow[T any] struct {
	name      string
	config    FlowConfig
	startTag  float64 // start tag of the next service; valid while the flow has queued items
	finishTag float64 // finish tag of the last service
	items     itemQueue[T]
	state     flowState
	heapIndex int
	seq       uint64 // order in which flows were enqueued; breaks ties between equal tags

	tokens       float64       // bytes left in the token bucket of the rate limit
	refilledAt   time.Duration // when tokens was last updated
	limitedUntil time.Duration // when the rate limit ends; valid in state rateLimited

	evicted bool // whether the scheduler has evicted the flow
	changed bool // whether the flow is in Scheduler.changed

	shared            *SharedUsage // usage on all loops; nil if the flow is on this loop alone
	usageOnOtherLoops Usage        // usage on other loops when shared was last read
	unpublished       Usage        // usage on this loop that is not yet in shared
	used              Usage        // usage on this loop
}

// flowState says which of the scheduler's heaps holds a flow, if any.
type flowState uint8

const (
	idle        flowState = iota // in no heap, because the flow has no queued items
	ready                        // in the heap of flows that may be served
	inService                    // in no heap, between Next and Done
	rateLimited                  // in the heap of flows that wait for tokens
)

// Cost is the amount of work that one service consumed.
type Cost struct {
	Work  time.Duration // time that the service took, 0 or more
	Bytes int           // bytes that the service moved; negative bytes refund an earlier charge
}

// Usage is the total service that a flow has received.
type Usage struct {
	Cost  float64 // nanoseconds
	Bytes int64
}

// Name returns the flow's name.
func (f *Flow[T]) Name() string { return f.name }

// Weight returns the flow's weight.
func (f *Flow[T]) Weight() float64 { return f.config.Weight }

// Waiting returns the number of queued items.
func (f *Flow[T]) Waiting() int { return f.items.len }

// Usage returns the flow's usage on this loop since the flow was created.
func (f *Flow[T]) Usage() Usage { return f.used }

// RateLimitedUntil returns when the flow's rate limit allows the next service. It returns
// false if the flow is not waiting for tokens.
func (f *Flow[T]) RateLimitedUntil() (time.Duration, bool) {
	return f.limitedUntil, f.state == rateLimited
}
