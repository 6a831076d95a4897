package fairshare

import (
	"sync/atomic"
	"time"
)

// SharedUsage sums the usage of one volume over several loops. Each loop adds to its own slot,
// about once a millisecond, and reads the others': there is no lock, and no cache line
// has two writers. It is safe for concurrent use.
type SharedUsage struct {
	slots []usageSlot
}

type usageSlot struct {
	cost  atomic.Int64 // nanoseconds
	bytes atomic.Int64
	_     [48]byte // fills a cache line
}

// NewSharedUsage returns the usage of a volume over the given number of loops.
func NewSharedUsage(loops int) *SharedUsage {
	return &SharedUsage{slots: make([]usageSlot, loops)}
}

func (u *SharedUsage) add(loop int, x Usage) {
	u.slots[loop].cost.Add(int64(x.Cost))
	u.slots[loop].bytes.Add(x.Bytes)
}

// elsewhere returns the usage of all loops but one.
func (u *SharedUsage) elsewhere(loop int) Usage {
	var sum Usage
	for i := range u.slots {
		if i != loop {
			sum.Cost += float64(u.slots[i].cost.Load())
			sum.Bytes += u.slots[i].bytes.Load()
		}
	}
	return sum
}

// Sync publishes what flows have used here since the last call, and charges them for what they have
// used on other loops; a flow that was not served here is charged when it is pushed to
// again. It is to be called about a thousand times per second.
func (s *Scheduler[T]) Sync(now time.Duration) {
	for i, f := range s.changed {
		s.changed[i] = nil
		f.changed = false
		s.publish(f)
		if f.state != idle {
			s.chargeElsewhere(now, f)
		}
	}
	s.changed = s.changed[:0]
}

func (s *Scheduler[T]) publish(f *Flow[T]) {
	if f.shared != nil && f.unpublished != (Usage{}) {
		f.shared.add(s.loop, f.unpublished)
		f.unpublished = Usage{}
	}
}

// chargeElsewhere charges a flow for what it has used on other loops since the last call.
func (s *Scheduler[T]) chargeElsewhere(now time.Duration, f *Flow[T]) {
	if f.shared == nil {
		return
	}
	elsewhere := f.shared.elsewhere(s.loop)
	cost := elsewhere.Cost - f.elsewhere.Cost
	bytes := elsewhere.Bytes - f.elsewhere.Bytes
	f.elsewhere = elsewhere
	if bytes > 0 && f.config.Rate > 0 {
		s.refill(now, f)
		f.tokens -= float64(bytes)
	}
	if cost > 0 {
		s.advance(f, cost)
	}
}
