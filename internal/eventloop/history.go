package eventloop

import "time"

// historySize is how many runs of time slices a loop remembers. Consecutive slices of one flow
// are one run.
const historySize = 512

// history is a ring of the last runs of time slices on a loop.
type history struct {
	runs [historySize]run
	last int // index of the newest run
}

// run is consecutive time slices of one flow.
type run struct {
	flow       *Flow
	begin, end time.Duration
	work       time.Duration // of the time between, without polling for events
}

// add records a time slice.
func (h *history) add(f *Flow, begin, end time.Duration) {
	r := &h.runs[h.last]
	if r.flow == f {
		r.end = end
		r.work += end - begin
		return
	}
	h.last = (h.last + 1) % historySize
	h.runs[h.last] = run{flow: f, begin: begin, end: end, work: end - begin}
}

// workSince returns the part of a run's work after a time, as if the work were spread evenly.
func (r *run) workSince(from time.Duration) time.Duration {
	if r.begin >= from {
		return r.work
	}
	return time.Duration(float64(r.work) * float64(r.end-from) / float64(r.end-r.begin))
}

// SliceUsage is the time of a loop that a flow used.
type SliceUsage struct {
	Flow *Flow
	Time time.Duration
}

// maxFlowsReported is how many flows WaitedBehind distinguishes. The usage of further flows is
// left out.
const maxFlowsReported = 8

// WaitedBehind appends which flows used the loop while the connection waited for its present time
// slice. The sum is at most SliceWait: polling for events takes time too, and of a long wait
// behind many flows only the last runs are remembered.
func (c *Conn) WaitedBehind(to []SliceUsage) []SliceUsage {
	l := c.loop
	from := l.now - c.sliceWait
	first := len(to)
	for i := range historySize {
		r := &l.history.runs[(l.history.last-i+historySize)%historySize]
		if r.flow == nil || r.end <= from {
			break
		}
		to = addUsage(to, first, r.flow, r.workSince(from))
	}
	return to
}

// addUsage adds a flow's time to the entries from index first on.
func addUsage(to []SliceUsage, first int, f *Flow, d time.Duration) []SliceUsage {
	for i := first; i < len(to); i++ {
		if to[i].Flow == f {
			to[i].Time += d
			return to
		}
	}
	if len(to)-first < maxFlowsReported {
		to = append(to, SliceUsage{f, d})
	}
	return to
}
