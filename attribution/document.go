package attribution

import "time"

// Version is the format version of Document and of the records in the attribution log.
const Version = 1

// Run identifies one run of a gateway process. Times in its attribution are durations since
// Started on a monotonic clock, so that steps of the wall clock do not change them.
type Run struct {
	ID      string    `json:"id"`
	Gateway string    `json:"gateway"`
	Started time.Time `json:"started"` // wall-clock time at the start of the run
}

// At converts a time of the run to wall-clock time. It ignores steps of the wall clock since the
// start of the run.
func (r Run) At(t time.Duration) time.Time { return r.Started.Add(t) }

// Document is the attribution report that a gateway serves as JSON on its admin address.
type Document struct {
	Version int           `json:"version"`
	Run     Run           `json:"run"`
	Now     time.Duration `json:"now_ns"`
	Counts  Counts        `json:"counts"`
	Windows []Window      `json:"windows"`
}
