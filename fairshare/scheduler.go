// Package fairshare schedules the work of an event loop among volumes by weight, with
// start-time fair queuing (Goyal, Vin and Cheng 1996). All connections of a volume share one
// flow, however many there are. A service is charged after it was done, with the time that it
// took and the bytes that it moved. The package does no I/O and reads no clock.
//
// The scheduler runs about a million times per second, so that its methods neither allocate nor
// exchange events; they are deterministic, as the other decision packages are
// (docs/design/fair-sharing.md).
package fairshare

import "time"

// overflowFlow is the name of the flow that is shared by all names beyond Config.Flows.
const overflowFlow = "others"

// evictionScan bounds how many flows are examined to find one that can be forgotten.
const evictionScan = 16

// Scheduler decides which flow of one loop is served next. It is not safe for concurrent use.
type Scheduler[T any] struct {
	cfg         Config
	loop        int
	virtualTime float64 // the start tag of the last service
	maxFinish   float64 // the largest finish tag
	seq         uint64

	ready       flowHeap[T] // by start tag
	rateLimited flowHeap[T] // by limitedUntil

	byName    map[string]*Flow[T]
	flows     []*Flow[T] // all of byName, in the order of their creation unless some were forgotten
	overflow  *Flow[T]
	changed   []*Flow[T] // with usage since the last Sync
	evictHand int        // index into flows of the last one examined by forgetOne
	queued    int        // items of all flows
}

// New returns a scheduler of the loop with the given index, the loop's slot in SharedUsage. The
// error is a *ConfigError.
func New[T any](cfg Config, loop int) (*Scheduler[T], error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.InProgressWeight == 0 {
		cfg.InProgressWeight = 1
	}
	s := &Scheduler[T]{cfg: cfg, loop: loop, byName: map[string]*Flow[T]{}}
	s.ready.less = func(a, b *Flow[T]) bool {
		return a.startTag < b.startTag || a.startTag == b.startTag && a.seq < b.seq
	}
	s.rateLimited.less = func(a, b *Flow[T]) bool {
		return a.limitedUntil < b.limitedUntil || a.limitedUntil == b.limitedUntil && a.seq < b.seq
	}
	s.overflow = &Flow[T]{name: overflowFlow, config: FlowConfig{Weight: 1}.normalized()}
	return s, nil
}

// Len returns the number of queued items, those of rate-limited flows included.
func (s *Scheduler[T]) Len() int { return s.queued }

// Ready reports whether a flow can be served without waiting for a rate limit.
func (s *Scheduler[T]) Ready() bool { return len(s.ready.flows) > 0 }

// Flows calls visit for each flow.
func (s *Scheduler[T]) Flows(visit func(*Flow[T])) {
	for _, f := range s.flows {
		visit(f)
	}
	visit(s.overflow)
}

// Flow returns the flow with the given name, and creates it if there is none. A non-nil shared
// joins it with the flows of that name on other loops. When the number of flows is at its bound,
// an idle flow that is not ahead of virtual time is forgotten; if there is none, the
// overflow flow is returned.
func (s *Scheduler[T]) Flow(now time.Duration, name string, c FlowConfig, shared *SharedUsage) *Flow[T] {
	if f := s.byName[name]; f != nil {
		return f
	}
	if s.cfg.FIFO {
		return s.overflow
	}
	if len(s.flows) >= s.cfg.Flows && !s.forgetOne() {
		return s.overflow
	}
	f := &Flow[T]{name: name, config: c.normalized(), shared: shared, refilledAt: now}
	f.tokens = f.config.Burst
	if shared != nil {
		f.elsewhere = shared.elsewhere(s.loop)
	}
	s.byName[name] = f
	s.flows = append(s.flows, f)
	return f
}

// forgetOne drops an idle flow whose finish tag virtual time has passed; recreated, it would be in
// the same state. Its holders may still push to it. It reports whether it found one.
func (s *Scheduler[T]) forgetOne() bool {
	for range min(evictionScan, len(s.flows)) {
		s.evictHand = (s.evictHand + 1) % len(s.flows)
		f := s.flows[s.evictHand]
		bucketFull := f.config.Rate == 0 || f.tokens >= f.config.Burst
		if f.state != idle || f.finishTag > s.virtualTime || !bucketFull {
			continue
		}
		s.publish(f)
		delete(s.byName, f.name)
		f.forgotten = true
		last := len(s.flows) - 1
		s.flows[s.evictHand] = s.flows[last]
		s.flows[last] = nil
		s.flows = s.flows[:last]
		return true
	}
	return false
}

// restore returns the flow that replaces a forgotten one, or registers it again.
func (s *Scheduler[T]) restore(f *Flow[T]) *Flow[T] {
	if replacement := s.byName[f.name]; replacement != nil {
		return replacement
	}
	if len(s.flows) >= s.cfg.Flows && !s.forgetOne() {
		return s.overflow
	}
	f.forgotten = false
	s.byName[f.name] = f
	s.flows = append(s.flows, f)
	return f
}

// Configure replaces a flow's configuration. The distance of its tags from virtual time is scaled by
// the ratio of the weights, so that earlier service is paid off at the new weight.
func (s *Scheduler[T]) Configure(now time.Duration, f *Flow[T], c FlowConfig) {
	c = c.normalized()
	s.refill(now, f)
	ratio := f.config.Weight / c.Weight
	f.startTag = s.rescaled(f.startTag, ratio)
	f.finishTag = s.rescaled(f.finishTag, ratio)
	f.config = c
	f.tokens = min(f.tokens, c.Burst)
	if f.state == ready {
		s.ready.fix(f)
	}
	if f.state == rateLimited {
		s.rateLimited.remove(f)
		s.enqueue(now, f)
	}
}

// rescaled returns a tag with its distance ahead of virtual time multiplied by ratio.
func (s *Scheduler[T]) rescaled(tag, ratio float64) float64 {
	if tag <= s.virtualTime {
		return tag
	}
	return s.virtualTime + (tag-s.virtualTime)*ratio
}

// Push adds an item to a flow for work in progress.
func (s *Scheduler[T]) Push(now time.Duration, f *Flow[T], item T) { s.push(now, f, item, inProgress) }

// PushNew adds an item to a flow for work that has not begun, such as a new request.
func (s *Scheduler[T]) PushNew(now time.Duration, f *Flow[T], item T) {
	if s.cfg.FIFO {
		s.push(now, f, item, inProgress)
		return
	}
	s.push(now, f, item, notStarted)
}

func (s *Scheduler[T]) push(now time.Duration, f *Flow[T], item T, class int) {
	if f.forgotten {
		f = s.restore(f)
	}
	f.items.push(class, item)
	s.queued++
	if f.state != idle {
		return
	}
	s.chargeElsewhere(now, f)
	f.startTag = max(s.virtualTime, f.finishTag)
	s.enqueue(now, f)
}

// enqueue puts a backlogged flow into the heap of ready flows, or into that of rate-limited
// ones.
func (s *Scheduler[T]) enqueue(now time.Duration, f *Flow[T]) {
	s.seq++
	f.seq = s.seq
	if f.config.Rate > 0 && s.limit(now, f) {
		f.state = rateLimited
		s.rateLimited.push(f)
		return
	}
	f.state = ready
	s.ready.push(f)
}

// Next removes and returns an item of the flow with the smallest start tag. The caller serves it, and
// calls Done before it calls Next again. It returns false when no flow may be served now.
func (s *Scheduler[T]) Next(now time.Duration) (item T, f *Flow[T], ok bool) {
	for len(s.rateLimited.flows) > 0 && s.rateLimited.flows[0].limitedUntil <= now {
		s.releaseRateLimited(now)
	}
	if len(s.ready.flows) == 0 {
		if s.queued == 0 { // the end of a busy period: flows start level again
			s.virtualTime = max(s.virtualTime, s.maxFinish)
		}
		return item, nil, false
	}
	f = s.ready.flows[0]
	s.ready.remove(f)
	f.state = inService
	s.virtualTime = max(s.virtualTime, f.startTag)
	s.queued--
	return f.items.pop(), f, true
}

// Done charges a flow for the service of its item, and queues the flow again if it has more.
func (s *Scheduler[T]) Done(now time.Duration, f *Flow[T], c Cost) {
	s.Charge(now, f, c)
	if f.state != inService {
		return
	}
	f.items.charge(max(float64(c.Work), float64(c.Bytes)*s.cfg.ByteTime), s.cfg.InProgressWeight)
	f.state = idle
	if f.items.len > 0 {
		f.startTag = max(s.virtualTime, f.finishTag)
		s.enqueue(now, f)
	}
}

// Charge adds to what a flow has used, whether it is in service or not. Negative bytes give back
// what was charged in excess.
func (s *Scheduler[T]) Charge(now time.Duration, f *Flow[T], c Cost) {
	cost := max(float64(c.Work), float64(c.Bytes)*s.cfg.ByteTime)
	if c.Bytes < 0 {
		cost = float64(c.Bytes) * s.cfg.ByteTime
	}
	f.used.Cost += cost
	f.used.Bytes += int64(c.Bytes)
	f.unpublished.Cost += cost
	f.unpublished.Bytes += int64(c.Bytes)
	if !f.changed {
		f.changed = true
		s.changed = append(s.changed, f)
	}
	if f.config.Rate > 0 {
		s.refill(now, f)
		f.tokens -= float64(c.Bytes)
	}
	s.advance(f, cost)
}

// advance moves a flow's tags by a cost, as far as Config.Window allows.
func (s *Scheduler[T]) advance(f *Flow[T], cost float64) {
	from := f.finishTag
	if f.state != idle {
		from = f.startTag
	}
	weight := f.config.Weight
	limit := max(from, s.virtualTime+float64(s.cfg.Window)/weight)
	tag := min(max(s.virtualTime, from)+cost/weight, limit)
	f.finishTag = tag
	if f.state != idle {
		f.startTag = tag
	}
	if f.state == ready {
		s.ready.fix(f)
	}
	s.maxFinish = max(s.maxFinish, tag)
}
