package attribution

import "time"

// Span attributes the time of one request while the request is in progress. Each change of
// component attributes the time since the previous change. The parts therefore always sum to the
// time from the start of the span to the last change.
type Span struct {
	Parts      Breakdown
	start      time.Duration
	lastChange time.Duration
	component  Component
}

// StartSpan returns a span that starts now, in component c.
func StartSpan(now time.Duration, c Component) Span {
	return Span{start: now, lastChange: now, component: c}
}

// Component returns the current component.
func (s *Span) Component() Component { return s.component }

// Enter attributes the time since the last change to the current component, then makes c the
// current component. If now is before the last change, Enter attributes no time.
func (s *Span) Enter(now time.Duration, c Component) {
	if now > s.lastChange {
		s.Parts[s.component] += now - s.lastChange
		s.lastChange = now
	}
	s.component = c
}

// Elapsed returns the time from the start of the span to the last change of component.
func (s *Span) Elapsed() time.Duration { return s.lastChange - s.start }

// Finish returns an entry that covers the span up to the last change of component.
func (s *Span) Finish(volume string, o Outcome) Entry {
	return Entry{Volume: volume, Started: s.start, Ended: s.lastChange, Outcome: o, Parts: s.Parts}
}

// Move reattributes up to d from one component to another. It moves no more than the first
// component holds, and returns the time moved.
func (s *Span) Move(from, to Component, d time.Duration) time.Duration {
	return s.Parts.move(from, to, d)
}
