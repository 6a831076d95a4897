// Package fairshare schedules the work of an event loop among volumes by weight, with
// start-time fair queuing (Goyal, Vin and Cheng 1996). All connections of a volume share one
// flow, regardless of their number. A flow is charged after each service, for the time that
// the service took and the bytes that it moved. The package does no I/O and reads no clock.
//
// The scheduler runs about a million times per second. Its methods therefore neither
// allocate nor exchange events with their caller. Like the other decision packages, they are
// deterministic (docs/design/fair-sharing.md).
package fairshare

import "time"

// overflowFlow is the name of the flow that all names beyond Config.Flows share.
const overflowFlow = "others"

// maxEvictionScan is the maximum number of flows that one search for an evictable flow examines.
const maxEvictionScan = 16

// Scheduler decides which flow of an event loop is served next. It is not safe for
// concurrent use.
type Scheduler[T any] struct {
	cfg         Config
	loop        int
	virtualTime float64 // start tag of the last service
	maxFinish   float64 // largest finish tag of all flows
	seq         uint64  // number of times that a flow was enqueued

	ready       flowHeap[T] // flows that may be served, ordered by start tag
	rateLimited flowHeap[T] // flows that wait for tokens, ordered by limitedUntil

	byName        map[string]*Flow[T]
	flows         []*Flow[T] // the values of byName, in the order of their creation until the first eviction
	overflow      *Flow[T]   // flow of all names beyond Config.Flows
	changed       []*Flow[T] // flows with usage since the last Sync
	evictionIndex int        // index in flows of the flow that evictOne examined last
	queued        int        // number of queued items of all flows
}

// New returns a Scheduler for the loop with the given index, which is also the loop's slot in
// SharedUsage. If a setting is invalid, the error is a *ConfigError.
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

// Len returns the number of queued items, including those of rate-limited flows.
func (s *Scheduler[T]) Len() int { return s.queued }

// Ready reports whether a flow can be served without waiting for a rate limit.
func (s *Scheduler[T]) Ready() bool { return len(s.ready.flows) > 0 }

// Flows calls visit for each flow, including the overflow flow.
func (s *Scheduler[T]) Flows(visit func(*Flow[T])) {
	for _, f := range s.flows {
		visit(f)
	}
	visit(s.overflow)
}

// Flow returns the flow with the given name, and creates it if it does not exist. If shared
// is not nil, the flow shares its usage with the flows of the same name on other loops.
//
// If the number of flows has reached Config.Flows, Flow evicts an idle flow that is not ahead
// of virtual time. If it finds none, it returns the overflow flow. With Config.FIFO, all names
// share the overflow flow.
func (s *Scheduler[T]) Flow(now time.Duration, name string, c FlowConfig, shared *SharedUsage) *Flow[T] {
	if f := s.byName[name]; f != nil {
		return f
	}
	if s.cfg.FIFO {
		return s.overflow
	}
	if len(s.flows) >= s.cfg.Flows && !s.evictOne() {
		return s.overflow
	}
	f := &Flow[T]{name: name, config: c.normalized(), shared: shared, refilledAt: now}
	f.tokens = f.config.Burst
	if shared != nil {
		f.usageOnOtherLoops = shared.usageOnOtherLoops(s.loop)
	}
	s.byName[name] = f
	s.flows = append(s.flows, f)
	return f
}

// evictOne evicts an idle flow whose finish tag is not ahead of virtual time. Such a flow
// would have the same state if it were created again. Callers that hold the flow may still
// push to it. evictOne reports whether it found a flow to evict.
func (s *Scheduler[T]) evictOne() bool {
	for range min(maxEvictionScan, len(s.flows)) {
		s.evictionIndex = (s.evictionIndex + 1) % len(s.flows)
		f := s.flows[s.evictionIndex]
		bucketFull := f.config.Rate == 0 || f.tokens >= f.config.Burst
		if f.state != idle || f.finishTag > s.virtualTime || !bucketFull {
			continue
		}
		s.publish(f)
		delete(s.byName, f.name)
		f.evicted = true
		last := len(s.flows) - 1
		s.flows[s.evictionIndex] = s.flows[last]
		s.flows[last] = nil
		s.flows = s.flows[:last]
		return true
	}
	return false
}

// restore returns the flow that has replaced the evicted flow f. If there is none, restore
// registers f again, or returns the overflow flow if no other flow can be evicted.
func (s *Scheduler[T]) restore(f *Flow[T]) *Flow[T] {
	if replacement := s.byName[f.name]; replacement != nil {
		return replacement
	}
	if len(s.flows) >= s.cfg.Flows && !s.evictOne() {
		return s.overflow
	}
	f.evicted = false
	s.byName[f.name] = f
	s.flows = append(s.flows, f)
	return f
}

// Configure replaces a flow's configuration. It scales the distance of the flow's tags from
// virtual time by the ratio of the old weight to the new one. The flow then compensates for
// earlier service at its new weight.
func (s *Scheduler[T]) Configure(now time.Duration, f *Flow[T], c FlowConfig) {
	c = c.normalized()
	s.refill(now, f)
	ratio := f.config.Weight / c.Weight
	f.startTag = s.rescaleTag(f.startTag, ratio)
	f.finishTag = s.rescaleTag(f.finishTag, ratio)
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

// rescaleTag multiplies a tag's distance ahead of virtual time by ratio and returns the new
// tag. A tag that is not ahead of virtual time stays unchanged.
func (s *Scheduler[T]) rescaleTag(tag, ratio float64) float64 {
	if tag <= s.virtualTime {
		return tag
	}
	return s.virtualTime + (tag-s.virtualTime)*ratio
}

// Push adds an item to a flow for work that has already begun.
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
	if f.evicted {
		f = s.restore(f)
	}
	f.items.push(class, item)
	s.queued++
	if f.state != idle {
		return
	}
	s.chargeOtherLoops(now, f)
	f.startTag = max(s.virtualTime, f.finishTag)
	s.enqueue(now, f)
}

// enqueue puts a flow with queued items into the heap of ready flows. If the flow has no
// tokens, enqueue puts it into the heap of rate-limited flows instead.
func (s *Scheduler[T]) enqueue(now time.Duration, f *Flow[T]) {
	s.seq++
	f.seq = s.seq
	if f.config.Rate > 0 && s.checkRateLimit(now, f) {
		f.state = rateLimited
		s.rateLimited.push(f)
		return
	}
	f.state = ready
	s.ready.push(f)
}

// Next removes and returns an item of the ready flow with the smallest start tag. The caller
// serves the item and calls Done before it calls Next again. Next returns false if no flow
// may be served now.
func (s *Scheduler[T]) Next(now time.Duration) (item T, f *Flow[T], ok bool) {
	for len(s.rateLimited.flows) > 0 && s.rateLimited.flows[0].limitedUntil <= now {
		s.releaseRateLimited(now)
	}
	if len(s.ready.flows) == 0 {
		if s.queued == 0 { // at the end of a busy period, no flow stays ahead of virtual time
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

// Done charges a flow for the service of its item. It queues the flow again if the flow has
// more items.
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

// Charge adds a cost to a flow's usage, whether or not the flow is in service. Negative bytes
// refund an earlier charge.
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

// advance moves a flow's tags forward by a cost divided by the flow's weight. Config.Window
// limits how far the tags move ahead of virtual time.
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
