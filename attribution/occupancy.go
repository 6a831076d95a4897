package attribution

import (
	"slices"
	"time"
)

// Occupancy records which volumes have requests in flight at one node, so that the waiting time of
// a queued request can be attributed to them. Each moment is divided among the volumes with
// requests in flight, in proportion to their units.
//
// The history consists of a bounded number of intervals, which are longer the older they are. An
// interval stores only sums. Where a wait starts or ends within an interval, its share of that
// interval is divided like the whole interval. An interval is at least one quantum long. Each older
// level has intervals that are mergeFactor times as long.
type Occupancy struct {
	quantum     time.Duration
	inFlight    []InFlightUnits // sorted by volume
	accruedTo   []float64       // virtual time of the last accrual for the volume at the same index of inFlight
	virtualTime float64         // seconds attributed to each unit in flight
	totalUnits  float64         // sum of the units in inFlight
	updatedAt   time.Duration
	current     interval
	history     [historyLevels][]interval // oldest first in each level
}

const (
	historyLevels     = 3
	intervalsPerLevel = 256
	mergeFactor       = 8 // number of intervals of one level that are merged into one of the next level
)

// minUnits is the minimum number of units that a request counts for. A request of 0 units also
// occupies the node.
const minUnits = 1e-3

// interval holds the division of a time span among volumes.
type interval struct {
	from, to time.Duration
	busy     []InFlightUnits // the field Units holds seconds; sorted by volume
	idle     time.Duration   // time with no request in flight
}

// NewOccupancy returns the occupancy of an idle node.
func NewOccupancy(quantum time.Duration) *Occupancy { return &Occupancy{quantum: quantum} }

// RequestSent records that a request of a volume is in flight from now on. It returns the units
// that each volume had in flight before this request.
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

// RequestEnded records that a request of a volume is no longer in flight.
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
	if len(o.inFlight) == 0 { // reset the sums, so that rounding errors do not accumulate
		o.totalUnits = 0
		o.virtualTime = 0
	}
}

// Between divides the time between two moments among the volumes that had requests in flight. The
// result is sorted by volume, and its times sum to exactly to-from.
func (o *Occupancy) Between(from, to time.Duration) []Contribution {
	o.advance(to)
	if to <= from {
		return nil
	}
	o.accrueAll()
	var seconds []InFlightUnits // the field Units holds seconds
	var unattributed, known time.Duration
	// add adds the interval's share of the wait. It reports whether the wait started before the
	// interval, so that older intervals may have a share too.
	add := func(v *interval) bool {
		d := min(v.to, to) - max(v.from, from)
		if d > 0 {
			known += d
			f := d.Seconds() / (v.to - v.from).Seconds()
			unattributed += time.Duration(f * float64(v.idle))
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
	return apportion(seconds, unattributed+to-from-known, to-from)
}

// advance extends the current interval up to now. Time without requests in flight increases the
// interval's idle time. Other time advances the virtual time, from which accrue derives the share of
// a volume when the volume's units change or the interval ends.
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

// accrue adds the time of the i-th volume since its last accrual to the current interval.
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

// archive appends an interval to a level of the history. If the level is full, archive first
// merges its mergeFactor oldest intervals into one and appends that one to the next level. The
// last level drops its oldest intervals.
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
