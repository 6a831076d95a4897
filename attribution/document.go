package attribution

import "time"

// Version is the version of Document and of the records in the attribution log.
const Version = 1

// Run is one run of a gateway process. Times in its attribution count from Started by a
// monotonic clock; steps of the wall clock do not move them.
type Run struct {
	ID      string    `json:"id"`
	Gateway string    `json:"gateway"`
	Started time.Time `json:"started"` // wall clock at the start
}

// At returns the wall-clock time of a moment of the run, by the wall clock at its start.
func (r Run) At(t time.Duration) time.Time { return r.Started.Add(t) }

// Document is what a gateway's admin address returns.
type Document struct {
	Version int           `json:"version"`
	Run     Run           `json:"run"`
	Now     time.Duration `json:"now_ns"`
	Counts  Counts        `json:"counts"`
	Windows []Window      `json:"windows"`
}
