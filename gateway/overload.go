package gateway

import (
	"chalkstand/internal/http1"
	"chalkstand/internal/payload"
	"container/heap"
	"strings"
	"time"
)

// overloaded refuses a request before anything is done for it: its head has been read, and
// nothing else. The connection is left alone until the time that its client was told: who
// comes back earlier than that was told once, and costs nothing more.
func (t *transaction) overloaded(r *http1.Request, after time.Duration) {
	c := t.conn
	c.lane.g.metrics.overloaded.Inc()
	t.resource, _, _ = strings.Cut(string(r.Target), "?")
	if !r.None() { // it is not waited for
		t.body = &payload.Body{}
	}
	t.slowDown(after)
	if c.state == reading && c.c.Open() {
		c.c.Pause()
		c.lane.resting.add(c, c.lane.g.core.now()+after)
	}
}

// rest is a client's place among those that are left alone for a while.
type rest struct {
	until time.Duration
	place int // 1 and more; 0: it does not rest
}

func (c *clientConn) rests() bool { return c.rest.place > 0 }

// restingClients are a lane's clients that are left alone, the first to end in front. There
// are as many as there are clients at most.
type restingClients struct{ a []*clientConn }

func (r *restingClients) add(c *clientConn, until time.Duration) {
	if c.rests() {
		return
	}
	c.rest.until = until
	heap.Push(r, c)
}

func (r *restingClients) remove(c *clientConn) {
	if c.rests() {
		heap.Remove(r, c.rest.place-1)
	}
}

// due takes one whose rest has ended; nil when there is none.
func (r *restingClients) due(now time.Duration) *clientConn {
	if len(r.a) == 0 || r.a[0].rest.until > now {
		return nil
	}
	return heap.Pop(r).(*clientConn)
}

// Len is part of heap.Interface, as those that follow.
func (r *restingClients) Len() int           { return len(r.a) }
func (r *restingClients) Less(i, j int) bool { return r.a[i].rest.until < r.a[j].rest.until }
func (r *restingClients) Swap(i, j int) {
	r.a[i], r.a[j] = r.a[j], r.a[i]
	r.a[i].rest.place, r.a[j].rest.place = i+1, j+1
}

// Push adds a client at the end.
func (r *restingClients) Push(x any) {
	c := x.(*clientConn)
	c.rest.place = len(r.a) + 1
	r.a = append(r.a, c)
}

// Pop takes the client at the end.
func (r *restingClients) Pop() any {
	last := len(r.a) - 1
	c := r.a[last]
	r.a[last] = nil
	r.a = r.a[:last]
	c.rest.place = 0
	return c
}

// nextAlarm returns when something on the lane is due by time.
func (l *lane) nextAlarm() (time.Duration, bool) {
	at, ok := l.nextLease()
	if len(l.resting.a) > 0 {
		if then := l.resting.a[0].rest.until; !ok || then < at {
			at, ok = then, true
		}
	}
	return at, ok
}

// ring does what is due by time.
func (l *lane) ring(now time.Duration) {
	l.leases(now)
	for c := l.resting.due(now); c != nil; c = l.resting.due(now) {
		c.c.Resume()
		c.c.Redeliver()
	}
}
