package gateway

import (
	"container/heap"
	"time"
)

// backoffEntry is a client connection's place among those in backoff.
type backoffEntry struct {
	until    time.Duration
	position int // in the queue, from 1; 0: not in backoff
}

func (c *clientConn) inBackoff() bool { return c.backoff.position > 0 }

// backoffQueue holds a worker's client connections that are not read until the retry time of their
// rejected request, the earliest first.
type backoffQueue struct{ clients []*clientConn }

// add puts a connection into backoff; one that is in backoff already keeps its time.
func (q *backoffQueue) add(c *clientConn, until time.Duration) {
	if c.inBackoff() {
		return
	}
	c.backoff.until = until
	heap.Push(q, c)
}

func (q *backoffQueue) remove(c *clientConn) {
	if c.inBackoff() {
		heap.Remove(q, c.backoff.position-1)
	}
}

// popDue removes and returns a connection whose backoff has ended; nil if there is none.
func (q *backoffQueue) popDue(now time.Duration) *clientConn {
	if len(q.clients) == 0 || q.clients[0].backoff.until > now {
		return nil
	}
	return heap.Pop(q).(*clientConn)
}

// Len implements heap.Interface.
func (q *backoffQueue) Len() int { return len(q.clients) }

// Less implements heap.Interface.
func (q *backoffQueue) Less(i, j int) bool {
	return q.clients[i].backoff.until < q.clients[j].backoff.until
}

// Swap implements heap.Interface.
func (q *backoffQueue) Swap(i, j int) {
	q.clients[i], q.clients[j] = q.clients[j], q.clients[i]
	q.clients[i].backoff.position = i + 1
	q.clients[j].backoff.position = j + 1
}

// Push implements heap.Interface.
func (q *backoffQueue) Push(x any) {
	c := x.(*clientConn)
	c.backoff.position = len(q.clients) + 1
	q.clients = append(q.clients, c)
}

// Pop implements heap.Interface.
func (q *backoffQueue) Pop() any {
	last := len(q.clients) - 1
	c := q.clients[last]
	q.clients[last] = nil
	q.clients = q.clients[:last]
	c.backoff.position = 0
	return c
}
