// Package timerqueue holds timers in the order in which they fall due. Timers of one moment
// fire in the order in which they were added. It reads no clock: the caller passes the time.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is an entry of a Queue.
type Timer[T any] struct {
	Value T

	at    time.Duration
	seq   uint64
	index int // in the heap; -1 once it has fired or was removed
}

// At returns when the timer is due.
func (t *Timer[T]) At() time.Duration { return t.at }

// Queue is a queue of timers. Its zero value is empty and ready to use. It is not safe for
// concurrent use.
type Queue[T any] struct {
	timers timerHeap[T]
	seq    uint64 // of the last timer added
}

// Len returns how many timers are pending.
func (q *Queue[T]) Len() int { return len(q.timers) }

// Add adds a timer that is due at a time.
func (q *Queue[T]) Add(at time.Duration, value T) *Timer[T] {
	q.seq++
	t := &Timer[T]{Value: value, at: at, seq: q.seq}
	heap.Push(&q.timers, t)
	return t
}

// Remove takes a timer out before it fires. A timer that is nil, has fired, or was removed
// before, is left alone.
func (q *Queue[T]) Remove(t *Timer[T]) {
	if t != nil && t.index >= 0 {
		heap.Remove(&q.timers, t.index)
	}
}

// Next returns when the first timer is due; false where none is pending.
func (q *Queue[T]) Next() (time.Duration, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// PopDue takes the first timer out if it is due by now, and returns its value.
func (q *Queue[T]) PopDue(now time.Duration) (value T, due bool) {
	if len(q.timers) == 0 || q.timers[0].at > now {
		return value, false
	}
	return heap.Pop(&q.timers).(*Timer[T]).Value, true
}

// timerHeap implements heap.Interface.
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
