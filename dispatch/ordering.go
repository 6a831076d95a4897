// This file keeps requests with the same key in order: in an ordered class, they run one at a
// time. It decides when such a request may enter the queue of its node. It owns the key queues.

package dispatch

import (
	"strings"
	"time"
)

// keyQueue holds the requests of one key in order of arrival. Only the first request may be
// sent.
type keyQueue struct {
	key         string
	requests    []*request
	quiescentAt time.Duration // when no attempt of the key is expected to be running any more
}

// joinKeyQueue appends r to the queue of its key. It reports whether r may be placed at once,
// because r is the first request and the key is quiescent.
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
	d.setExpiry(r, r.answerBy)
	d.advanceKeyQueue(q)
	return false
}

// extendQuiescence delays the next request in q. It is called when an attempt of a request in q
// has ended, but its node may still be executing that request.
func (d *Dispatcher) extendQuiescence(q *keyQueue) {
	q.quiescentAt = max(q.quiescentAt, d.now+d.cfg.Quiescence)
}

// advanceKeyQueue removes the completed requests at the front of q. Once the key is quiescent,
// it places the first remaining request, or deletes q if q is empty.
func (d *Dispatcher) advanceKeyQueue(q *keyQueue) {
	if q == nil {
		return
	}
	for len(q.requests) > 0 && q.requests[0].state == completed && !q.requests[0].outstanding {
		q.requests = q.requests[1:]
	}
	empty := len(q.requests) == 0
	switch {
	case d.keyQueues[q.key] != q: // q was deleted earlier
	case !empty && q.requests[0].state != queuedByKey:
	case d.now < q.quiescentAt:
		d.addTimer(q.quiescentAt, timerEvent{kind: quiescenceTimer, keyQueue: q})
	case !empty:
		d.place(q.requests[0])
	default:
		delete(d.keyQueues, q.key)
	}
}
