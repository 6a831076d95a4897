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
	out     []InFlightUnits // by volume
	marks   []float64       // of the clock, up to which each of out is accounted for
	clock   float64         // seconds for each unit out: what a unit has been put down to
	units   float64
	since   time.Duration // accounted for in now up to here
	now     stretch
	past    [levels][]stretch // the oldest first in each
}

const (
	levels   = 3
	perLevel = 256
	merged   = 8 // stretches of one level in one of the next
)

// stretch is how a time divides: seconds by volume, and time when nothing was out.
type stretch struct {
	from, to time.Duration
	secs     []InFlightUnits // Units are seconds here; by volume
	idle     time.Duration
}

func addShare(to []InFlightUnits, volume string, units float64) []InFlightUnits {
	i, found := slices.BinarySearchFunc(to, volume, compareShare)
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
	d := now - o.since
	if d <= 0 {
		return
	}
	if len(o.out) == 0 {
		o.now.idle += d
	} else {
		o.clock += d.Seconds() / o.units
	}
	o.since, o.now.to = now, now
	if now-o.now.from < o.quantum {
		return
	}
	o.reckonAll()
	o.keep(0, o.now)
	o.now = stretch{from: now, to: now}
}

// reckon accounts for a volume's part up to now.
func (o *Occupancy) reckon(i int) {
	if d := o.clock - o.marks[i]; d > 0 {
		o.now.secs = addShare(o.now.secs, o.out[i].Volume, d*o.out[i].Units)
	}
	o.marks[i] = o.clock
}

func (o *Occupancy) reckonAll() {
	for i := range o.out {
		o.reckon(i)
	}
}

// keep puts a stretch into a level's history. A full level gives its oldest as one
// to the next; the last forgets them.
func (o *Occupancy) keep(level int, s stretch) {
	if level == levels {
		return
	}
	h := o.past[level]
	if len(h) == perLevel {
		sum := stretch{from: h[0].from, to: h[merged-1].to}
		for _, x := range h[:merged] {
			sum.idle += x.idle
			for _, y := range x.secs {
				sum.secs = addShare(sum.secs, y.Volume, y.Units)
			}
		}
		n := copy(h, h[merged:])
		clear(h[n:])
		h = h[:n]
		o.keep(level+1, sum)
	}
	o.past[level] = append(h, s)
}

// Sent notes that a request of a volume is out from now on. It returns what was
// out before it.
func (o *Occupancy) Sent(now time.Duration, volume string, units float64) []InFlightUnits {
	o.advance(now)
	ahead := slices.Clone(o.out)
	units = max(units, minUnits)
	i, found := slices.BinarySearchFunc(o.out, volume, compareShare)
	if found {
		o.reckon(i)
	} else {
		o.out = slices.Insert(o.out, i, InFlightUnits{Volume: volume})
		o.marks = slices.Insert(o.marks, i, o.clock)
	}
	o.out[i].Units += units
	o.out[i].count++
	o.units += units
	return ahead
}

// minUnits is what a request counts at least: one without units takes a place too.
const minUnits = 1e-3

// Ended notes that it is out no more.
func (o *Occupancy) Ended(now time.Duration, volume string, units float64) {
	o.advance(now)
	units = max(units, minUnits)
	i, found := slices.BinarySearchFunc(o.out, volume, compareShare)
	if !found {
		return
	}
	o.reckon(i)
	o.out[i].Units -= units
	o.units -= units
	if o.out[i].count--; o.out[i].count == 0 {
		o.out, o.marks = slices.Delete(o.out, i, i+1), slices.Delete(o.marks, i, i+1)
	}
	if len(o.out) == 0 {
		o.units, o.clock = 0, 0 // rounding must not add up
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
	o.reckonAll()
	var sum []InFlightUnits // units as seconds here
	var nobody, known time.Duration
	// take adds what a stretch has of the wait, and tells whether an older one may
	// have more.
	take := func(s *stretch) bool {
		d := min(s.to, to) - max(s.from, from)
		if d > 0 {
			known += d
			f := d.Seconds() / (s.to - s.from).Seconds()
			nobody += time.Duration(f * float64(s.idle))
			for _, x := range s.secs {
				sum = addShare(sum, x.Volume, f*x.Units)
			}
		}
		return s.from > from
	}
	more := o.now.to == o.now.from || take(&o.now)
	for level := 0; level < levels && more; level++ {
		h := o.past[level]
		for i := len(h) - 1; i >= 0 && more; i-- {
			more = take(&h[i])
		}
	}
	return exact(sum, nobody+to-from-known, to-from)
}

// exact turns shares of seconds into whole times that sum to all: what rounding
// leaves goes to the largest.
func exact(sum []InFlightUnits, nobody, all time.Duration) []Contribution {
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
