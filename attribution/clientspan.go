package attribution

import (
	"slices"
	"time"
)

// ClientSpan attributes the time of a client's request, which may need several requests to nodes,
// one after the other or concurrently. While a request to a node is in progress, the client span
// takes over the attribution of that request. At other times it uses its own current component.
// Where several requests to nodes overlap, it uses the attribution of the request that ended first.
type ClientSpan struct {
	span       Span
	behind     []Contribution
	unreported []Unreported
}

// StartClientSpan returns a client span that starts now, in component c.
func StartClientSpan(now time.Duration, c Component) ClientSpan {
	return ClientSpan{span: StartSpan(now, c)}
}

// WaitedBehind replaces the list of volumes that the span has waited behind so far.
func (s *ClientSpan) WaitedBehind(behind []Contribution) { s.behind = behind }

// Enter attributes the time since the last change to the current component, then makes c the
// current component.
func (s *ClientSpan) Enter(now time.Duration, c Component) { s.span.Enter(now, c) }

// Include adds the attribution of a request to a node that has ended. The time before that
// request stays with the current component. The time after it is attributed to Gateway.
func (s *ClientSpan) Include(e *Entry) {
	s.span.Enter(e.Started, s.span.component)
	part, whole := e.Ended-s.span.lastChange, e.Ended-e.Started
	if part <= 0 {
		return
	}
	parts, behind := e.Parts, e.Behind
	if part < whole {
		parts, behind = scaleEntry(e, part, whole)
	}
	s.span.Parts.Add(&parts)
	s.span.lastChange = e.Ended
	s.span.component = Gateway
	if s.behind == nil {
		s.behind = behind
	} else {
		s.behind = append(slices.Clip(s.behind), behind...)
	}
	s.includeUnreported(e.Unreported, parts[NodeUnknown])
}

// includeUnreported adds attempts whose nodes have not reported yet. It shortens their times so
// that the sum is at most unknown.
func (s *ClientSpan) includeUnreported(attempts []Unreported, unknown time.Duration) {
	if s.unreported == nil && len(attempts) == 1 && attempts[0].Unknown <= unknown { // common case, needs no copy
		s.unreported = attempts[:1:1]
		return
	}
	for _, u := range attempts {
		if u.Unknown = min(u.Unknown, unknown); u.Unknown > 0 {
			unknown -= u.Unknown
			s.unreported = append(s.unreported, u)
		}
	}
}

// End ends the span and returns its entry. The parts of the entry sum to the span's duration.
func (s *ClientSpan) End(now time.Duration, volume string, o Outcome) Entry {
	s.span.Enter(now, Gateway)
	e := s.span.Finish(volume, o)
	e.Behind = s.behind
	e.Unreported = s.unreported
	return e
}

// scaleEntry returns the breakdown and contributions of an entry, multiplied by part/whole. The
// breakdown sums to part exactly, because the largest component absorbs the rounding error.
func scaleEntry(e *Entry, part, whole time.Duration) (Breakdown, []Contribution) {
	f := float64(part) / float64(whole)
	var scaled Breakdown
	left, largest := part, 0
	for c, d := range e.Parts {
		scaled[c] = min(time.Duration(f*float64(d)), left)
		left -= scaled[c]
		if scaled[c] > scaled[largest] {
			largest = c
		}
	}
	scaled[largest] += left
	behind := make([]Contribution, len(e.Behind))
	for i, b := range e.Behind {
		behind[i] = Contribution{Volume: b.Volume, Time: time.Duration(f * float64(b.Time))}
	}
	return scaled, behind
}
