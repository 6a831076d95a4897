package gateway

import (
	"container/heap"
	"time"
)

// backoffEntry is a client connection's entry in the backoff queue.
type backoffEntry struct {
	until    time.Duration
	position int // position in the queue, from 1; 0 if the connection is not in backoff
}

// inBackoff reports whether the connection is in the backoff queue.
func (c *clientConn) inBackoff() bool { return c.backoff.position > 0 }

// endBackoff takes the connection out of the backoff queue and reads from it again.
func (c *clientConn) endBackoff() {
	c.worker.backoff.remove(c)
	c.conn.Resume()
	c.conn.Redeliver()
}

// backoffQueue is a heap of client connections that have had a request rejected. The worker does not
// read from these connections until their retry time. The connection with the earliest retry time is
// first.
type backoffQueue struct{ clients []*clientConn }

// add puts a connection into backoff until the given time. A connection that is already in backoff
// keeps the time that it has.
func (q *backoffQueue) add(c *clientConn, until time.Duration) {
	if c.inBackoff() {
		return
	}
	c.backoff.until = until
	heap.Push(q, c)
}

// remove removes a connection from the queue, if it is in backoff.
func (q *backoffQueue) remove(c *clientConn) {
	if c.inBackoff() {
		heap.Remove(q, c.backoff.position-1)
	}
}

// popDue removes and returns a connection whose backoff has ended. It returns nil if there is none.
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
