package gateway

import (
	"time"

	"chalkstand/attribution"
	"chalkstand/forwarder"
)

const (
	// minContendedWait is the shortest wait for the event loop for which the gateway records the
	// volumes that the request waited behind. Recording them costs more than the rest of the
	// request's attribution.
	minContendedWait = time.Millisecond
	// minDeliveryPoll is the shortest interval at which watchDelivery polls.
	minDeliveryPoll = time.Millisecond
	// deliveryPollRatio is the time that a delivery has taken so far, divided by the interval at
	// which watchDelivery polls.
	deliveryPollRatio = 16
)

// now returns the time since the gateway was built.
func (t *transaction) now() time.Duration { return t.conn.worker.gateway.core.now() }

// startSpan starts the transaction's span. The span begins when the request's head began to wait for
// the event loop.
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

// recordContenders records the other volumes that the request waited behind for the event loop. A
// contribution without a volume name stands for time that no volume used, such as polling, and for
// time that the loop no longer remembers.
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

// enterComponent attributes the transaction's time from now on to the component c.
func (t *transaction) enterComponent(c attribution.Component) {
	if t.conn.worker.gateway.attribution != nil {
		t.span.Enter(t.now(), c)
	}
}

// requestAttributed handles the forwarder's report of how the time of a node request divides. It adds
// this attribution to the span of the request's transaction.
func (w *loopWorker) requestAttributed(a forwarder.RequestAttributed) {
	r := w.requests[a.ID]
	if r == nil {
		r = w.unattributed[a.ID]
		delete(w.unattributed, a.ID)
	}
	if r == nil || r.transaction == nil {
		return // cannot happen: the worker keeps a request until it is attributed
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

// endSpan ends the span of a transaction that has started node requests, and adds the span's entry to
// the batch for the attribution worker. Further calls have no effect.
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

// endSpanWhenDelivered ends the span of a transaction whose response has been written, as soon as the
// gateway's write buffer is empty. If the client has stalled the response before, the span ends only
// when the kernel's send buffer is empty too, because this buffer may hold megabytes. The gateway
// cannot see how much data the client's own buffers hold.
func (t *transaction) endSpanWhenDelivered() {
	c := t.conn
	if c.worker.gateway.attribution == nil || !t.usedNodes {
		return
	}
	if c.conn.BufferedOutput() == 0 && (!t.wasStalled || c.conn.Unacknowledged() == 0) {
		t.endSpan()
		return
	}
	t.enterComponent(attribution.SlowClient)
	c.previous = t
	if t.wasStalled {
		c.watchDelivery(t, t.now())
	}
}

// watchDelivery polls until the client has received the response, and then ends the span. The interval
// grows with the time since the response was written, so the poll detects the end of the delivery
// within a sixteenth of that time.
func (c *clientConn) watchDelivery(t *transaction, since time.Duration) {
	interval := max((t.now()-since)/deliveryPollRatio, minDeliveryPoll)
	loop := c.worker.loop
	time.AfterFunc(interval, func() {
		loop.Post(func() {
			switch {
			case c.previous != t:
			case c.conn.Open() && c.conn.BufferedOutput()+c.conn.Unacknowledged() > 0:
				c.watchDelivery(t, since)
			default:
				c.endPreviousSpan()
			}
		})
	})
}

// previousWritten ends the span of the previous transaction when the kernel has accepted all bytes of
// its response. If the client has stalled that response, watchDelivery ends the span instead.
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

// endSpanWhenAttributed ends the span of a transaction whose client has disconnected. If some of its
// node requests have not been attributed, requestAttributed ends the span after the last of them.
func (t *transaction) endSpanWhenAttributed() {
	t.clientGone = true
	if t.openRequests <= 0 {
		t.endSpan()
	}
}

// stopwatch sums the periods between calls of start and stop.
type stopwatch struct {
	since   time.Duration // when the current period started; valid while running
	running bool
	sum     time.Duration // total of the completed periods
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

// reset stops the stopwatch, sets its sum to zero, and returns the sum from before the reset.
func (s *stopwatch) reset(now time.Duration) time.Duration {
	s.stop(now)
	sum := s.sum
	s.sum = 0
	return sum
}
