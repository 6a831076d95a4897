package eventloop

import "time"

// remembered is how many turns a loop remembers; those of one flow that follow each other
// count as one.
const remembered = 512

// history is who had a loop's last turns.
type history struct {
	a    [remembered]stretch
	last int
}

// stretch is the turns of one flow, one after the other.
type stretch struct {
	flow       *Flow
	begun, end time.Duration
	work       time.Duration // of the time between, without looking for events
}

func (h *history) add(f *Flow, begun, end time.Duration) {
	s := &h.a[h.last]
	if s.flow == f {
		s.end = end
		s.work += end - begun
		return
	}
	h.last = (h.last + 1) % remembered
	h.a[h.last] = stretch{f, begun, end, end - begun}
}

// SliceUsage is time of a loop that a flow had.
type SliceUsage struct {
	Flow *Flow
	Time time.Duration
}

// tellApart is how many flows a wait is divided among; what others had is nobody's.
const tellApart = 8

// WaitedBehind appends who had the loop while the connection waited for its present turn. The sum is no more
// than it waited: looking for events takes time too, and of a long wait among many
// flows only the last turns are remembered.
func (c *Conn) WaitedBehind(to []SliceUsage) []SliceUsage {
	l := c.loop
	from, first := l.t-c.held, len(to)
	for i := range remembered {
		s := &l.past.a[(l.past.last-i+remembered)%remembered]
		if s.flow == nil || s.end <= from {
			break
		}
		to = addTurns(to, first, s.flow, s.within(from))
	}
	return to
}

// within returns the part of a stretch's work after a moment, as if it were spread evenly.
func (s *stretch) within(from time.Duration) time.Duration {
	if s.begun >= from {
		return s.work
	}
	return time.Duration(float64(s.work) * float64(s.end-from) / float64(s.end-s.begun))
}

func addTurns(to []SliceUsage, first int, f *Flow, d time.Duration) []SliceUsage {
	for i := first; i < len(to); i++ {
		if to[i].Flow == f {
			to[i].Time += d
			return to
		}
	}
	if len(to)-first < tellApart {
		to = append(to, SliceUsage{f, d})
	}
	return to
}
