package attribution

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Contribution is the part of a wait that is attributed to a volume. The volume is empty where
// nothing was in flight, or where the history does not reach back.
type Contribution struct {
	Volume string        `json:"volume"`
	Time   time.Duration `json:"ns"`
}

// InFlightUnits is what a volume has in flight at a node, in cost units.
type InFlightUnits struct {
	Volume string
	Units  float64
	count  int // requests in flight
}

// Divide divides a wait among the volumes that were ahead, by their units, as a FIFO queue
// serves them. The parts sum to d; with nothing ahead, all of it belongs to no volume.
func Divide(ahead []InFlightUnits, d time.Duration) []Contribution {
	if d <= 0 {
		return nil
	}
	total := 0.0
	for _, a := range ahead {
		total += a.Units
	}
	if total <= 0 {
		return []Contribution{{Time: d}}
	}
	seconds := make([]InFlightUnits, len(ahead))
	for i, a := range ahead {
		seconds[i] = InFlightUnits{Volume: a.Volume, Units: d.Seconds() * a.Units / total}
	}
	return apportion(seconds, 0, d)
}

// apportion turns seconds by volume into durations that, with the unattributed part, sum to total exactly.
// The rounding error goes to the largest.
func apportion(seconds []InFlightUnits, nobody, total time.Duration) []Contribution {
	out := make([]Contribution, 0, len(seconds)+1)
	if nobody > 0 {
		out = append(out, Contribution{Time: nobody})
	}
	rest := total - nobody
	largest := -1
	for _, s := range seconds {
		d := min(time.Duration(s.Units*float64(time.Second)), rest)
		rest -= d
		out = append(out, Contribution{Volume: s.Volume, Time: d})
		if largest < 0 || d > out[largest].Time {
			largest = len(out) - 1
		}
	}
	if rest > 0 && largest >= 0 {
		out[largest].Time += rest
	} else if rest > 0 {
		out = append(out, Contribution{Time: rest})
	}
	slices.SortFunc(out, func(a, b Contribution) int { return cmp.Compare(a.Volume, b.Volume) })
	return out
}

// addUnits adds units to a volume in a list sorted by volume and returns the list.
func addUnits(to []InFlightUnits, volume string, units float64) []InFlightUnits {
	i, found := slices.BinarySearchFunc(to, volume, compareVolume)
	if !found {
		to = slices.Insert(to, i, InFlightUnits{Volume: volume})
	}
	to[i].Units += units
	return to
}

func compareVolume(u InFlightUnits, volume string) int { return strings.Compare(u.Volume, volume) }
