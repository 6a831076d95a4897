package fairshare

import "time"

// Flow is the queue of one volume on one loop. It is used with the scheduler that made it.
type Flow[T any] struct {
	name      string
	config    FlowConfig
	startTag  float64 // of the next service, while the flow is backlogged
	finishTag float64 // of the last service
	items     itemQueue[T]
	state     flowState
	heapIndex int
	seq       uint64 // order of becoming ready, for flows of equal tags

	tokens       float64       // bytes left in the rate limit's bucket
	refilledAt   time.Duration // when tokens was last updated
	limitedUntil time.Duration // valid while rateLimited

	forgotten bool // dropped from its scheduler
	changed   bool // in the scheduler's list of flows with unpublished usage

	shared      *SharedUsage // nil: the flow is on this loop alone
	elsewhere   Usage        // of other loops, as read from shared last
	unpublished Usage        // of this loop, not yet in shared
	used        Usage        // of this loop
}

// flowState says which of the scheduler's structures holds a flow.
type flowState uint8

const (
	idle        flowState = iota // in none: nothing is queued
	ready                        // in the heap of flows that may be served
	inService                    // between Next and Done
	rateLimited                  // in the heap of flows that wait for tokens
)

// Cost is what one service consumed.
type Cost struct {
	Work  time.Duration // 0 or more
	Bytes int
}

// Usage is an amount of service.
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

// Usage returns what the flow has used on this loop since it was created.
func (f *Flow[T]) Usage() Usage { return f.used }

// RateLimitedUntil returns when the flow's rate limit lets it go on; false if it is not
// waiting for tokens.
func (f *Flow[T]) RateLimitedUntil() (time.Duration, bool) {
	return f.limitedUntil, f.state == rateLimited
}
