package attribution

import (
	"slices"
	"time"
)

// Occupancy records which volumes have requests in flight at one node, so that the time of a
// queued request can be attributed to them: each moment belongs to the volumes in flight, in
// proportion to their units.
//
// The history is a bounded number of intervals that grow coarser with age. Within an interval
// only sums are known, so the two ends of a wait are divided as the whole of their intervals.
// An interval is at least a quantum long, and mergeFactor times as long in each older level.
type Occupancy struct {
	quantum     time.Duration
	inFlight    []InFlightUnits // sorted by volume
	accruedTo   []float64       // for each of inFlight: virtual time up to which it is accrued
	virtualTime float64         // seconds attributed to each unit in flight
	totalUnits  float64         // sum over inFlight
	updatedAt   time.Duration
	current     interval
	history     [historyLevels][]interval // oldest first in each level
}

const (
	historyLevels     = 3
	intervalsPerLevel = 256
	mergeFactor       = 8 // intervals of one level that become one of the next
)

// minUnits is the least that a request counts for: one of no units occupies the node too.
const minUnits = 1e-3

// interval is how a time span divides among volumes.
type interval struct {
	from, to time.Duration
	busy     []InFlightUnits // Units are seconds here; sorted by volume
	idle     time.Duration   // nothing in flight
}

// NewOccupancy returns the occupancy of an idle node.
func NewOccupancy(quantum time.Duration) *Occupancy { return &Occupancy{quantum: quantum} }

// RequestSent records that a request of a volume is in flight from now on. It returns what was in
// flight before it.
func (o *Occupancy) RequestSent(now time.Duration, volume string, units float64) []InFlightUnits {
	o.advance(now)
	ahead := slices.Clone(o.inFlight)
	units = max(units, minUnits)
	i, found := slices.BinarySearchFunc(o.inFlight, volume, compareVolume)
	if found {
		o.accrue(i)
	} else {
		o.inFlight = slices.Insert(o.inFlight, i, InFlightUnits{Volume: volume})
		o.accruedTo = slices.Insert(o.accruedTo, i, o.virtualTime)
	}
	o.inFlight[i].Units += units
	o.inFlight[i].count++
	o.totalUnits += units
	return ahead
}

// RequestEnded records that a request is no longer in flight.
func (o *Occupancy) RequestEnded(now time.Duration, volume string, units float64) {
	o.advance(now)
	units = max(units, minUnits)
	i, found := slices.BinarySearchFunc(o.inFlight, volume, compareVolume)
	if !found {
		return
	}
	o.accrue(i)
	o.inFlight[i].Units -= units
	o.inFlight[i].count--
	o.totalUnits -= units
	if o.inFlight[i].count == 0 {
		o.inFlight = slices.Delete(o.inFlight, i, i+1)
		o.accruedTo = slices.Delete(o.accruedTo, i, i+1)
	}
	if len(o.inFlight) == 0 { // rounding errors must not accumulate
		o.totalUnits = 0
		o.virtualTime = 0
	}
}

// Between divides the time from one moment to another among the volumes that were in flight,
// sorted by volume. The parts sum to to-from exactly.
func (o *Occupancy) Between(from, to time.Duration) []Contribution {
	o.advance(to)
	if to <= from {
		return nil
	}
	o.accrueAll()
	var seconds []InFlightUnits // Units are seconds here
	var nobody, known time.Duration
	// add adds the share that an interval has of the wait and reports whether an older one
	// may have more.
	add := func(v *interval) bool {
		d := min(v.to, to) - max(v.from, from)
		if d > 0 {
			known += d
			f := d.Seconds() / (v.to - v.from).Seconds()
			nobody += time.Duration(f * float64(v.idle))
			for _, b := range v.busy {
				seconds = addUnits(seconds, b.Volume, f*b.Units)
			}
		}
		return v.from > from
	}
	more := o.current.to == o.current.from || add(&o.current)
	for level := 0; level < historyLevels && more; level++ {
		h := o.history[level]
		for i := len(h) - 1; i >= 0 && more; i-- {
			more = add(&h[i])
		}
	}
	return apportion(seconds, nobody+to-from-known, to-from)
}

// advance accounts for the time up to now. A volume's share of it is accrued when its units
// change or the interval ends, from how far the virtual time has advanced.
func (o *Occupancy) advance(now time.Duration) {
	d := now - o.updatedAt
	if d <= 0 {
		return
	}
	if len(o.inFlight) == 0 {
		o.current.idle += d
	} else {
		o.virtualTime += d.Seconds() / o.totalUnits
	}
	o.updatedAt = now
	o.current.to = now
	if now-o.current.from < o.quantum {
		return
	}
	o.accrueAll()
	o.archive(0, o.current)
	o.current = interval{from: now, to: now}
}

// accrue adds the i-th volume's time since it was last accrued to the current interval.
func (o *Occupancy) accrue(i int) {
	if d := o.virtualTime - o.accruedTo[i]; d > 0 {
		o.current.busy = addUnits(o.current.busy, o.inFlight[i].Volume, d*o.inFlight[i].Units)
	}
	o.accruedTo[i] = o.virtualTime
}

func (o *Occupancy) accrueAll() {
	for i := range o.inFlight {
		o.accrue(i)
	}
}

// archive appends an interval to a level of the history. A full level passes its oldest
// intervals to the next, merged into one; the last level drops them.
func (o *Occupancy) archive(level int, v interval) {
	if level == historyLevels {
		return
	}
	h := o.history[level]
	if len(h) == intervalsPerLevel {
		sum := interval{from: h[0].from, to: h[mergeFactor-1].to}
		for _, x := range h[:mergeFactor] {
			sum.idle += x.idle
			for _, b := range x.busy {
				sum.busy = addUnits(sum.busy, b.Volume, b.Units)
			}
		}
		n := copy(h, h[mergeFactor:])
		clear(h[n:])
		h = h[:n]
		o.archive(level+1, sum)
	}
	o.history[level] = append(h, v)
}
