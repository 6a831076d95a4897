package attribution

import (
	"slices"
	"strings"
	"time"
)

// Entry is the account of a request that has its end.
type Entry struct {
	Volume     string
	Started    time.Duration
	Ended      time.Duration
	Outcome    Outcome
	Parts      Breakdown
	Behind     []Contribution // whom it waited behind; may name the volume itself
	Unreported []Unreported
}

// Unreported is an attempt of which its node has not told how its time there divides.
// A report that comes later can still tell.
type Unreported struct {
	Call    uint64 // the request to the node
	Attempt int
	Unknown time.Duration   // of Parts[NodeTime]
	Ahead   []InFlightUnits // whose requests were out at the node when this was sent
}

// Move puts time of one cause down to another, no more than is there, and returns
// what was moved.
func (e *Entry) Move(from, to Component, d time.Duration) time.Duration {
	d = min(max(d, 0), e.Parts[from])
	e.Parts[from] -= d
	e.Parts[to] += d
	if from == NodeUnknown {
		left := e.Parts[NodeUnknown]
		for i := range e.Unreported {
			e.Unreported[i].Unknown = min(e.Unreported[i].Unknown, left)
			left -= e.Unreported[i].Unknown
		}
	}
	return d
}

// ClientSpan is the account of a client's request, which may need several requests to
// nodes, one after the other or at a time. Its time is that of its own causes where
// no request to a node accounts for it. Where several do, each moment counts once:
// for the one that ended first.
type ClientSpan struct {
	span   Span
	behind []Contribution
	unreported []Unreported
}

// StartClientSpan starts a journey.
func StartClientSpan(now time.Duration, c Component) ClientSpan {
	return ClientSpan{span: StartSpan(now, c)}
}

// WaitedBehind tells that the journey so far was a wait behind others, for such times each.
func (j *ClientSpan) WaitedBehind(behind []Contribution) { j.behind = behind }

// Enter goes on with another cause.
func (j *ClientSpan) Enter(now time.Duration, c Component) { j.span.Enter(now, c) }

// Include puts a request to a node in. What goes before it is the journey's own
// time; what comes after it, in the gateway.
func (j *ClientSpan) Include(e *Entry) {
	j.span.Enter(e.Started, j.span.component)
	part, whole := e.Ended-j.span.lastChange, e.Ended-e.Started
	if part <= 0 {
		return
	}
	parts, behind := e.Parts, e.Behind
	if part < whole {
		parts, behind = scaleEntry(e, part, whole)
	}
	j.span.Parts.Add(&parts)
	j.span.lastChange = e.Ended
	j.span.component = Gateway
	if j.behind == nil {
		j.behind = behind
	} else {
		j.behind = append(slices.Clip(j.behind), behind...)
	}
	unknown := parts[NodeUnknown]
	if j.unreported == nil && len(e.Unreported) == 1 && e.Unreported[0].Unknown <= unknown { // as nearly always
		j.unreported = e.Unreported[:1:1]
		return
	}
	for _, u := range e.Unreported {
		if u.Unknown = min(u.Unknown, unknown); u.Unknown > 0 {
			unknown -= u.Unknown
			j.unreported = append(j.unreported, u)
		}
	}
}

// scaleEntry takes the part of an account that no other accounts for: of each cause
// its share. The parts sum exactly; what rounding leaves goes to the largest.
func scaleEntry(e *Entry, part, whole time.Duration) (Breakdown, []Contribution) {
	f := float64(part) / float64(whole)
	var s Breakdown
	left, big := part, 0
	for c, d := range e.Parts {
		s[c] = min(time.Duration(f*float64(d)), left)
		left -= s[c]
		if s[c] > s[big] {
			big = c
		}
	}
	s[big] += left
	behind := make([]Contribution, len(e.Behind))
	for i, b := range e.Behind {
		behind[i] = Contribution{b.Volume, time.Duration(f * float64(b.Time))}
	}
	return s, behind
}

// End ends the journey and returns its account, whose parts sum to its time.
func (j *ClientSpan) End(now time.Duration, volume string, o Outcome) Entry {
	j.span.Enter(now, Gateway)
	e := j.span.Finish(volume, o)
	e.Behind, e.Unreported = j.behind, j.unreported
	return e
}

// InFlightUnits is what a volume has out at a node, in units.
type InFlightUnits struct {
	Volume string
	Units  float64
	count  int
}

// Divide divides a wait among those who were ahead, by their units. The parts sum
// to the whole; it is nobody's where nobody was.
func Divide(ahead []InFlightUnits, d time.Duration) []Contribution {
	if d <= 0 {
		return nil
	}
	units := 0.0
	for _, s := range ahead {
		units += s.Units
	}
	if units <= 0 {
		return []Contribution{{"", d}}
	}
	sum := make([]InFlightUnits, len(ahead))
	for i, s := range ahead {
		sum[i] = InFlightUnits{Volume: s.Volume, Units: d.Seconds() * s.Units / units}
	}
	return apportion(sum, 0, d)
}

func compareVolume(s InFlightUnits, v string) int { return strings.Compare(s.Volume, v) }
