package attribution

import "time"

// Entry is the latency attribution of a request that has ended.
type Entry struct {
	Volume     string
	Started    time.Duration
	Ended      time.Duration
	Outcome    Outcome
	Parts      Breakdown
	Behind     []Contribution // the volumes it waited behind; may contain its own
	Unreported []Unreported
}

// Unreported is an attempt whose node has not reported how its time there divides. A later
// report still can.
type Unreported struct {
	Request uint64 // number of the request to the node
	Attempt int
	Unknown time.Duration   // share of Parts[NodeUnknown]
	Ahead   []InFlightUnits // what was in flight at the node when the attempt was sent
}

// Move reattributes up to d from one component to another, no more than is there, and returns
// how much was moved.
func (e *Entry) Move(from, to Component, d time.Duration) time.Duration {
	d = e.Parts.move(from, to, d)
	if from == NodeUnknown {
		left := e.Parts[NodeUnknown]
		for i := range e.Unreported {
			e.Unreported[i].Unknown = min(e.Unreported[i].Unknown, left)
			left -= e.Unreported[i].Unknown
		}
	}
	return d
}
