package fairshare

import (
	"sync/atomic"
	"time"
)

// SharedUsage sums the usage of one volume over several loops. About once a millisecond, each
// loop adds to its own slot and reads the slots of the others. There is no lock, and each
// cache line has one writer. SharedUsage is safe for concurrent use.
type SharedUsage struct {
	slots []usageSlot
}

// usageSlot holds the usage of one loop.
type usageSlot struct {
	cost  atomic.Int64 // nanoseconds
	bytes atomic.Int64
	_     [48]byte // pads the slot to a cache line
}

// NewSharedUsage returns a SharedUsage with one slot for each of the given number of loops.
func NewSharedUsage(loops int) *SharedUsage {
	return &SharedUsage{slots: make([]usageSlot, loops)}
}

// add adds the usage x to the slot of a loop.
func (u *SharedUsage) add(loop int, x Usage) {
	u.slots[loop].cost.Add(int64(x.Cost))
	u.slots[loop].bytes.Add(x.Bytes)
}

// usageOnOtherLoops returns the summed usage of all loops except the given one.
func (u *SharedUsage) usageOnOtherLoops(loop int) Usage {
	var sum Usage
	for i := range u.slots {
		if i != loop {
			sum.Cost += float64(u.slots[i].cost.Load())
			sum.Bytes += u.slots[i].bytes.Load()
		}
	}
	return sum
}

// Sync publishes the usage of flows on this loop since the last call. If such a flow is not
// idle, Sync also charges it for its usage on other loops. All other flows are charged later:
// an idle flow when an item is pushed to it, and a waiting flow by the Sync after its next
// service. Callers should call Sync about a thousand times per second.
func (s *Scheduler[T]) Sync(now time.Duration) {
	for i, f := range s.changed {
		s.changed[i] = nil
		f.changed = false
		s.publish(f)
		if f.state != idle {
			s.chargeOtherLoops(now, f)
		}
	}
	s.changed = s.changed[:0]
}

// publish adds a flow's unpublished usage to its SharedUsage, if it has one.
func (s *Scheduler[T]) publish(f *Flow[T]) {
	if f.shared != nil && f.unpublished != (Usage{}) {
		f.shared.add(s.loop, f.unpublished)
		f.unpublished = Usage{}
	}
}

// chargeOtherLoops charges a flow for its usage on other loops since the last call.
func (s *Scheduler[T]) chargeOtherLoops(now time.Duration, f *Flow[T]) {
	if f.shared == nil {
		return
	}
	usageOnOtherLoops := f.shared.usageOnOtherLoops(s.loop)
	cost := usageOnOtherLoops.Cost - f.usageOnOtherLoops.Cost
	bytes := usageOnOtherLoops.Bytes - f.usageOnOtherLoops.Bytes
	f.usageOnOtherLoops = usageOnOtherLoops
	if bytes > 0 && f.config.Rate > 0 {
		s.refill(now, f)
		f.tokens -= float64(bytes)
	}
	if cost > 0 {
		s.advance(f, cost)
	}
}
