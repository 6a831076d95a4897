// Package timerqueue provides a queue of timers in the order of their due times. Timers with the same
// due time fire in the order in which they were added. The package reads no clock: the caller passes
// the current time.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is an entry of a Queue with a value and a due time.
type Timer[T any] struct {
	Value T

	at    time.Duration
	seq   uint64
	index int // position in the heap; -1 after the timer has fired or was removed
}

// At returns the due time of the timer.
func (t *Timer[T]) At() time.Duration { return t.at }

// Queue is a queue of timers. Its zero value is empty and ready to use. It is not safe for
// concurrent use.
type Queue[T any] struct {
	timers timerHeap[T]
	seq    uint64 // sequence number of the last timer that was added
}

// Len returns the number of pending timers.
func (q *Queue[T]) Len() int { return len(q.timers) }

// Add adds a timer that is due at the given time.
func (q *Queue[T]) Add(at time.Duration, value T) *Timer[T] {
	q.seq++
	t := &Timer[T]{Value: value, at: at, seq: q.seq}
	heap.Push(&q.timers, t)
	return t
}

// Remove removes a pending timer from the queue. It does nothing if the timer is nil, has fired or was
// already removed.
func (q *Queue[T]) Remove(t *Timer[T]) {
	if t != nil && t.index >= 0 {
		heap.Remove(&q.timers, t.index)
	}
}

// Next returns the due time of the first timer. It returns false if no timer is pending.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// PopDue removes the first timer from the queue and returns its value if the timer is due at or before
// now.
func (q *Queue[T]) PopDue(now time.Duration) (value T, due bool) {
	if len(q.timers) == 0 || q.timers[0].at > now {
		return value, false
	}
	return heap.Pop(&q.timers).(*Timer[T]).Value, true
}

// timerHeap implements heap.Interface. It orders timers by due time and then by sequence number.
type timerHeap[T any] []*Timer[T]

func (h timerHeap[T]) Len() int { return len(h) }

func (h timerHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	t.index = -1
	*h = old[:last]
	return t
}
