package eventloop

import "time"

// historySize is the number of runs that a loop remembers. A run consists of consecutive time slices
// of one flow.
const historySize = 512

// history is a ring buffer of the last runs on a loop.
type history struct {
	runs [historySize]run
	last int // index of the newest run
}

// run is a series of consecutive time slices of one flow.
type run struct {
	flow       *Flow
	begin, end time.Duration
	work       time.Duration // total duration of the run's time slices, without polling for events
}

// add records a time slice of a flow in the history.
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

// workSince returns the part of a run's work that was done after a time. It assumes that the work is
// spread evenly over the run.
func (r *run) workSince(from time.Duration) time.Duration {
	if r.begin >= from {
		return r.work
	}
	return time.Duration(float64(r.work) * float64(r.end-from) / float64(r.end-r.begin))
}

// SliceUsage is the time on a loop that a flow used.
type SliceUsage struct {
	Flow *Flow
	Time time.Duration
}

// maxFlowsReported is the maximum number of flows that WaitedBehind reports. WaitedBehind omits the
// usage of further flows.
const maxFlowsReported = 8

// WaitedBehind appends to a slice how long each flow used the loop while the connection waited for its
// current time slice. The sum of these times is at most SliceWait. It may be less, because polling for
// events takes time and the loop remembers only the last runs.
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

// addUsage adds a flow's time to its entry in to, or appends an entry for the flow. It considers only
// the entries from index first.
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
