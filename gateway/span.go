package gateway

import (
	"time"

	"chalkstand/attribution"
	"chalkstand/forwarder"
)

const (
	// minContendedWait is how long a request must wait for the event loop for its contenders to be
	// recorded, which costs more than the rest of its attribution.
	minContendedWait = time.Millisecond
	// minDeliveryPoll is the shortest interval of watchDelivery.
	minDeliveryPoll = time.Millisecond
	// deliveryPollRatio is the time that a delivery takes, to watchDelivery's interval.
	deliveryPollRatio = 16
)

// now returns the time since the gateway was built.
func (t *transaction) now() time.Duration { return t.conn.worker.gateway.core.now() }

// startSpan starts the transaction's span at the time when its head began to wait for the event loop.
func (t *transaction) startSpan() {
	c := t.conn
	w := c.worker
	started := t.started.Sub(w.gateway.core.start)
	waited := c.conn.SliceWait()
	t.span = attribution.StartClientSpan(started-waited, attribution.RateLimited)
	waited -= c.conn.RateLimitWait()
	t.span.Enter(started-waited, attribution.EventLoop)
	t.span.Enter(started, attribution.Gateway)
	if w.gateway.attribution != nil && waited >= minContendedWait {
		t.recordContenders(waited)
	}
}

// recordContenders records behind which other volumes the request has waited for the event loop. Time
// that is no volume's, such as polling, or not remembered has no name.
func (t *transaction) recordContenders(waited time.Duration) {
	c := t.conn
	w := c.worker
	w.loopContenders = c.conn.WaitedBehind(w.loopContenders[:0])
	contributions := make([]attribution.Contribution, 0, len(w.loopContenders)+1)
	rest := waited
	for _, x := range w.loopContenders {
		d := min(x.Time, rest)
		rest -= d
		if x.Flow != c.volume.flow {
			contributions = append(contributions, attribution.Contribution{Volume: x.Flow.Name(), Time: d})
		}
	}
	if rest > 0 {
		contributions = append(contributions, attribution.Contribution{Time: rest})
	}
	t.span.WaitedBehind(contributions)
}

// enterComponent attributes the time from now on to a component.
func (t *transaction) enterComponent(c attribution.Component) {
	if t.conn.worker.gateway.attribution != nil {
		t.span.Enter(t.now(), c)
	}
}

// requestAttributed adds the attribution of a node request to its transaction's span.
func (w *loopWorker) requestAttributed(a forwarder.RequestAttributed) {
	r := w.requests[a.ID]
	if r == nil {
		r = w.unattributed[a.ID]
		delete(w.unattributed, a.ID)
	}
	if r == nil || r.transaction == nil {
		return // cannot happen: a request is known until it is attributed
	}
	t := r.transaction
	if t.attributed {
		return
	}
	if t.upload != nil && t.upload.request == r {
		a.Entry.Move(attribution.NodeUnknown, attribution.RequestBody, t.upload.clientTime(t.now()))
	}
	if stalled := t.clientStall.reset(t.now()); stalled > 0 {
		a.Entry.Move(attribution.ResponseBody, attribution.SlowClient, stalled)
	}
	t.span.Include(a.Entry)
	t.openRequests--
	if t.clientGone && t.openRequests <= 0 {
		t.endSpan()
	}
}

// endSpan ends the span of a transaction that used nodes, and batches its entry.
func (t *transaction) endSpan() {
	w := t.conn.worker
	if w.gateway.attribution == nil || t.attributed || !t.usedNodes {
		return
	}
	t.attributed = true
	name := noBucketVolume
	if t.volume != nil {
		name = t.volume.name
	}
	w.addEntry(t.span.End(t.now(), name, t.outcome))
}

// endSpanWhenDelivered ends the span of a transaction whose response has been written, once the client has
// received what is still buffered here. If the client has stalled the response before, what
// is buffered in the kernel counts, too: it may be megabytes. The client's own buffers are not seen.
func (t *transaction) endSpanWhenDelivered() {
	c := t.conn
	if c.worker.gateway.attribution == nil || !t.usedNodes {
		return
	}
	if c.conn.Pending() == 0 && (!t.wasStalled || c.conn.Unacknowledged() == 0) {
		t.endSpan()
		return
	}
	t.enterComponent(attribution.SlowClient)
	c.previous = t
	if t.wasStalled {
		c.watchDelivery(t, t.now())
	}
}

// watchDelivery polls whether the client has received the response. The interval grows with the time
// since the response was written, so that the end is found within a sixteenth of it.
func (c *clientConn) watchDelivery(t *transaction, since time.Duration) {
	interval := max((t.now()-since)/deliveryPollRatio, minDeliveryPoll)
	loop := c.worker.loop
	time.AfterFunc(interval, func() {
		loop.Post(func() {
			switch {
			case c.previous != t:
			case c.conn.Open() && c.conn.Pending()+c.conn.Unacknowledged() > 0:
				c.watchDelivery(t, since)
			default:
				c.endPreviousSpan()
			}
		})
	})
}

// previousWritten is called when all bytes have been passed to the kernel.
func (c *clientConn) previousWritten() {
	if c.previous != nil && !c.previous.wasStalled {
		c.endPreviousSpan()
	}
}

// endPreviousSpan ends the span of the previous transaction, if it is still open.
func (c *clientConn) endPreviousSpan() {
	if t := c.previous; t != nil {
		c.previous = nil
		t.endSpan()
	}
}

// endSpanWhenAttributed ends the span of a transaction whose client has left, once all of its node requests
// have been attributed.
func (t *transaction) endSpanWhenAttributed() {
	t.clientGone = true
	if t.openRequests <= 0 {
		t.endSpan()
	}
}

// stopwatch sums the times between start and stop.
type stopwatch struct {
	since   time.Duration
	running bool
	sum     time.Duration
}

func (s *stopwatch) start(now time.Duration) {
	if !s.running {
		s.running = true
		s.since = now
	}
}

func (s *stopwatch) stop(now time.Duration) {
	if s.running {
		s.running = false
		s.sum += now - s.since
	}
}

// reset stops the stopwatch, sets it to zero, and returns the sum that it had.
func (s *stopwatch) reset(now time.Duration) time.Duration {
	s.stop(now)
	sum := s.sum
	s.sum = 0
	return sum
}
