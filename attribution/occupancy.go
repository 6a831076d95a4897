package attribution

import (
	"cmp"
	"slices"
	"time"
)

// Occupancy follows who has requests out at one node, so that the time of a request
// that was held can be put down to those whose requests took the places. While it
// is held, each moment belongs to the volumes that are out, by their units.
//
// History is kept in stretches that grow coarser with their age, a bounded number
// of them: within a stretch only the sums are known, so the two ends of a wait are
// divided as their whole stretches are. A stretch is at least a quantum long, and
// in each older level merged times as long.
type Occupancy struct {
	quantum time.Duration
	inFlight     []InFlightUnits // by volume
	accruedTo   []float64       // of the clock, up to which each of out is accounted for
	virtualTime   float64         // seconds for each unit out: what a unit has been put down to
	totalUnits   float64
	updatedAt   time.Duration // accounted for in now up to here
	current     interval
	history    [historyLevels][]interval // the oldest first in each
}

const (
	historyLevels   = 3
	intervalsPerLevel = 256
	mergeFactor   = 8 // stretches of one level in one of the next
)

// interval is how a time divides: seconds by volume, and time when nothing was out.
type interval struct {
	from, to time.Duration
	busy     []InFlightUnits // Units are seconds here; by volume
	idle     time.Duration
}

func addUnits(to []InFlightUnits, volume string, units float64) []InFlightUnits {
	i, found := slices.BinarySearchFunc(to, volume, compareVolume)
	if !found {
		to = slices.Insert(to, i, InFlightUnits{Volume: volume})
	}
	to[i].Units += units
	return to
}

// NewOccupancy returns the view of a node where nothing is out.
func NewOccupancy(quantum time.Duration) *Occupancy { return &Occupancy{quantum: quantum} }

// advance lets the time up to now pass. A volume's part of it is reckoned when its
// units change or the stretch ends, from how far the clock has gone.
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
	o.updatedAt, o.current.to = now, now
	if now-o.current.from < o.quantum {
		return
	}
	o.accrueAll()
	o.archive(0, o.current)
	o.current = interval{from: now, to: now}
}

// accrue accounts for a volume's part up to now.
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

// archive puts a stretch into a level's history. A full level gives its oldest as one
// to the next; the last forgets them.
func (o *Occupancy) archive(level int, s interval) {
	if level == historyLevels {
		return
	}
	h := o.history[level]
	if len(h) == intervalsPerLevel {
		sum := interval{from: h[0].from, to: h[mergeFactor-1].to}
		for _, x := range h[:mergeFactor] {
			sum.idle += x.idle
			for _, y := range x.busy {
				sum.busy = addUnits(sum.busy, y.Volume, y.Units)
			}
		}
		n := copy(h, h[mergeFactor:])
		clear(h[n:])
		h = h[:n]
		o.archive(level+1, sum)
	}
	o.history[level] = append(h, s)
}

// Sent notes that a request of a volume is out from now on. It returns what was
// out before it.
func (o *Occupancy) Sent(now time.Duration, volume string, units float64) []InFlightUnits {
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

// minUnits is what a request counts at least: one without units takes a place too.
const minUnits = 1e-3

// Ended notes that it is out no more.
func (o *Occupancy) Ended(now time.Duration, volume string, units float64) {
	o.advance(now)
	units = max(units, minUnits)
	i, found := slices.BinarySearchFunc(o.inFlight, volume, compareVolume)
	if !found {
		return
	}
	o.accrue(i)
	o.inFlight[i].Units -= units
	o.totalUnits -= units
	if o.inFlight[i].count--; o.inFlight[i].count == 0 {
		o.inFlight, o.accruedTo = slices.Delete(o.inFlight, i, i+1), slices.Delete(o.accruedTo, i, i+1)
	}
	if len(o.inFlight) == 0 {
		o.totalUnits, o.virtualTime = 0, 0 // rounding must not add up
	}
}

// Contribution is a part of a wait and the volume it is put down to; "" where nothing was
// out, or where it lies before what is still known.
type Contribution struct {
	Volume string        `json:"volume"`
	Time   time.Duration `json:"ns"`
}

// Between divides the time from one moment to another among those who were out,
// the volumes in order. The parts sum to the whole exactly.
func (o *Occupancy) Between(from, to time.Duration) []Contribution {
	o.advance(to)
	if to <= from {
		return nil
	}
	o.accrueAll()
	var sum []InFlightUnits // units as seconds here
	var nobody, known time.Duration
	// take adds what a stretch has of the wait, and tells whether an older one may
	// have more.
	take := func(s *interval) bool {
		d := min(s.to, to) - max(s.from, from)
		if d > 0 {
			known += d
			f := d.Seconds() / (s.to - s.from).Seconds()
			nobody += time.Duration(f * float64(s.idle))
			for _, x := range s.busy {
				sum = addUnits(sum, x.Volume, f*x.Units)
			}
		}
		return s.from > from
	}
	more := o.current.to == o.current.from || take(&o.current)
	for level := 0; level < historyLevels && more; level++ {
		h := o.history[level]
		for i := len(h) - 1; i >= 0 && more; i-- {
			more = take(&h[i])
		}
	}
	return apportion(sum, nobody+to-from-known, to-from)
}

// apportion turns shares of seconds into whole times that sum to all: what rounding
// leaves goes to the largest.
func apportion(sum []InFlightUnits, nobody, all time.Duration) []Contribution {
	out := make([]Contribution, 0, len(sum)+1)
	if nobody > 0 {
		out = append(out, Contribution{"", nobody})
	}
	rest := all - nobody
	big := -1
	for _, s := range sum {
		d := min(time.Duration(s.Units*float64(time.Second)), rest)
		rest -= d
		out = append(out, Contribution{s.Volume, d})
		if big < 0 || d > out[big].Time {
			big = len(out) - 1
		}
	}
	if rest > 0 && big >= 0 {
		out[big].Time += rest
	} else if rest > 0 {
		out = append(out, Contribution{"", rest})
	}
	slices.SortFunc(out, func(a, b Contribution) int { return cmp.Compare(a.Volume, b.Volume) })
	return out
}
