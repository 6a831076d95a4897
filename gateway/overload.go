package gateway

import (
	"chalkstand/internal/http1"
	"chalkstand/internal/payload"
	"container/heap"
	"strings"
	"time"
)

// rejectOverload refuses a request before anything is done for it: its head has been read, and
// nothing else. The connection is left alone until the time that its client was told: who
// comes back earlier than that was told once, and costs nothing more.
func (t *transaction) rejectOverload(r *http1.Request, after time.Duration) {
	c := t.conn
	c.worker.gateway.metrics.overloaded.Inc()
	t.resource, _, _ = strings.Cut(string(r.Target), "?")
	if !r.None() { // it is not waited for
		t.body = &payload.Body{}
	}
	t.respondSlowDown(after)
	if c.state == stateReading && c.conn.Open() {
		c.conn.Pause()
		c.worker.backoff.add(c, c.worker.gateway.core.now()+after)
	}
}

// backoffEntry is a client's place among those that are left alone for a while.
type backoffEntry struct {
	until    time.Duration
	position int // 1 and more; 0: it does not rest
}

func (c *clientConn) inBackoff() bool { return c.backoff.position > 0 }

// backoffQueue are a lane's clients that are left alone, the first to end in front. There
// are as many as there are clients at most.
type backoffQueue struct{ clients []*clientConn }

func (r *backoffQueue) add(c *clientConn, until time.Duration) {
	if c.inBackoff() {
		return
	}
	c.backoff.until = until
	heap.Push(r, c)
}

func (r *backoffQueue) remove(c *clientConn) {
	if c.inBackoff() {
		heap.Remove(r, c.backoff.position-1)
	}
}

// popDue takes one whose rest has ended; nil when there is none.
func (r *backoffQueue) popDue(now time.Duration) *clientConn {
	if len(r.clients) == 0 || r.clients[0].backoff.until > now {
		return nil
	}
	return heap.Pop(r).(*clientConn)
}

// Len is part of heap.Interface, as those that follow.
func (r *backoffQueue) Len() int { return len(r.clients) }

func (r *backoffQueue) Less(i, j int) bool {
	return r.clients[i].backoff.until < r.clients[j].backoff.until
}

func (r *backoffQueue) Swap(i, j int) {
	r.clients[i], r.clients[j] = r.clients[j], r.clients[i]
	r.clients[i].backoff.position, r.clients[j].backoff.position = i+1, j+1
}

// Push adds a client at the end.
func (r *backoffQueue) Push(x any) {
	c := x.(*clientConn)
	c.backoff.position = len(r.clients) + 1
	r.clients = append(r.clients, c)
}

// Pop takes the client at the end.
func (r *backoffQueue) Pop() any {
	last := len(r.clients) - 1
	c := r.clients[last]
	r.clients[last] = nil
	r.clients = r.clients[:last]
	c.backoff.position = 0
	return c
}

// nextTimer returns when something on the lane is due by time.
func (l *loopWorker) nextTimer() (time.Duration, bool) {
	at, ok := l.nextGrantExpiry()
	if len(l.backoff.clients) > 0 {
		if then := l.backoff.clients[0].backoff.until; !ok || then < at {
			at, ok = then, true
		}
	}
	return at, ok
}

// onTimer does what is due by time.
func (l *loopWorker) onTimer(now time.Duration) {
	l.expireGrants(now)
	for c := l.backoff.popDue(now); c != nil; c = l.backoff.popDue(now) {
		c.conn.Resume()
		c.conn.Redeliver()
	}
}
