package attribution

import "time"

// Entry holds the latency attribution of one request that has ended.
type Entry struct {
	Volume     string
	Started    time.Duration
	Ended      time.Duration
	Outcome    Outcome
	Parts      Breakdown
	Behind     []Contribution // time that the request waited behind each volume, possibly its own
	Unreported []Unreported
}

// Unreported describes an attempt whose node has not yet reported its queue and service times.
// The node may still send the report later.
type Unreported struct {
	Request uint64 // number of the request to the node
	Attempt int
	Unknown time.Duration   // the attempt's share of Entry.Parts[NodeUnknown]
	Ahead   []InFlightUnits // units that each volume had in flight at the node when the attempt was sent
}

// Move reattributes up to d from one component to another. It moves no more than the first
// component holds, and returns the time moved.
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
