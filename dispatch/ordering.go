// Ordering: requests with one key in classes that keep order run one at a time. Decides when a
// request may enter the queue of its node. Owns the key queues.

package dispatch

import (
	"strings"
	"time"
)

// keyQueue holds the requests of one key in order of arrival; the first one may be sent.
type keyQueue struct {
	key         string
	requests    []*request
	quiescentAt time.Duration // no attempt of the key is expected to be running from then on
}

// joinKeyQueue appends r to the queue of its key and reports whether it is the first.
func (d *Dispatcher) joinKeyQueue(r *request) bool {
	q := d.keyQueues[r.Key]
	if q == nil {
		q = &keyQueue{key: strings.Clone(r.Key)}
		d.keyQueues[q.key] = q
	}
	r.keyQueue = q
	q.requests = append(q.requests, r)
	if q.requests[0] == r && d.now >= q.quiescentAt {
		return true
	}
	d.setExpiry(r, r.objectiveAt)
	d.advanceKeyQueue(q)
	return false
}

// extendQuiescence is called when an attempt of a request in q has ended that may still be
// running at its node.
func (d *Dispatcher) extendQuiescence(q *keyQueue) {
	q.quiescentAt = max(q.quiescentAt, d.now+d.cfg.Quiescence)
}

// advanceKeyQueue places the first unfinished request of a key once the key is quiescent. It
// drops the queue when it is empty.
func (d *Dispatcher) advanceKeyQueue(q *keyQueue) {
	if q == nil {
		return
	}
	for len(q.requests) > 0 && q.requests[0].state == completed && !q.requests[0].outstanding {
		q.requests = q.requests[1:]
	}
	empty := len(q.requests) == 0
	switch {
	case d.keyQueues[q.key] != q: // dropped before
	case !empty && q.requests[0].state != queuedByKey:
	case d.now < q.quiescentAt:
		d.addTimer(q.quiescentAt, timerEvent{kind: quiescenceTimer, keyQueue: q})
	case !empty:
		d.place(q.requests[0])
	default:
		delete(d.keyQueues, q.key)
	}
}
