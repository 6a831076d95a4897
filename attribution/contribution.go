package attribution

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Contribution is the part of a wait that is attributed to one volume. Volume is empty for the
// time in which no request was in flight, and for the time before the start of the history.
type Contribution struct {
	Volume string        `json:"volume"`
	Time   time.Duration `json:"ns"`
}

// InFlightUnits holds the cost units of the requests that one volume has in flight at a node.
type InFlightUnits struct {
	Volume string
	Units  float64
	count  int // number of requests in flight
}

// DivideWait divides a wait of length d among the volumes that were ahead in the node's FIFO queue,
// in proportion to their units. The parts sum to d. If no units were ahead, the whole wait is
// attributed to no volume.
func DivideWait(ahead []InFlightUnits, d time.Duration) []Contribution {
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

// apportion converts the seconds of each volume to durations and adds the unattributed part. The
// result sums to total exactly, because the largest duration absorbs the rounding error.
func apportion(seconds []InFlightUnits, unattributed, total time.Duration) []Contribution {
	out := make([]Contribution, 0, len(seconds)+1)
	if unattributed > 0 {
		out = append(out, Contribution{Time: unattributed})
	}
	rest := total - unattributed
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

// addUnits adds units to one volume of a list that is sorted by volume. It inserts the volume if
// it is missing, and returns the list.
func addUnits(to []InFlightUnits, volume string, units float64) []InFlightUnits {
	i, found := slices.BinarySearchFunc(to, volume, compareVolume)
	if !found {
		to = slices.Insert(to, i, InFlightUnits{Volume: volume})
	}
	to[i].Units += units
	return to
}

func compareVolume(u InFlightUnits, volume string) int { return strings.Compare(u.Volume, volume) }
