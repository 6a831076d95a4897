package attribution

import "time"

// Span is the timeline of one request. Its parts always sum to the time from its start to the
// last change of component, as each change attributes the time since the previous one.
type Span struct {
	Parts      Breakdown
	start      time.Duration
	lastChange time.Duration
	component  Component
}

// StartSpan starts a span in a component.
func StartSpan(now time.Duration, c Component) Span {
	return Span{start: now, lastChange: now, component: c}
}

// Component returns the current component.
func (s *Span) Component() Component { return s.component }

// Enter attributes the time since the last change to the current component and switches to c.
// A clock that goes back attributes nothing.
func (s *Span) Enter(now time.Duration, c Component) {
	if now > s.lastChange {
		s.Parts[s.component] += now - s.lastChange
		s.lastChange = now
	}
	s.component = c
}

// Elapsed returns the time attributed so far.
func (s *Span) Elapsed() time.Duration { return s.lastChange - s.start }

// Finish returns the entry of the span up to the last change of component.
func (s *Span) Finish(volume string, o Outcome) Entry {
	return Entry{Volume: volume, Started: s.start, Ended: s.lastChange, Outcome: o, Parts: s.Parts}
}

// Move reattributes up to d from one component to another, no more than is there, and returns
// how much was moved.
func (s *Span) Move(from, to Component, d time.Duration) time.Duration {
	return s.Parts.move(from, to, d)
}
