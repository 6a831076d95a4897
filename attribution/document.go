package attribution

import "time"

// Version is that of the documents and records that tell of accounts.
const Version = 1

// Run is one life of a gateway. Times in its accounts count from Started by a clock
// that never goes back; steps of the wall clock do not move them.
type Run struct {
	ID      string    `json:"id"`
	Gateway string    `json:"gateway"`
	Started time.Time `json:"started"` // by the wall clock at the start
}

// At returns a time of the run as the wall clock at its start counts it.
func (r Run) At(t time.Duration) time.Time { return r.Started.Add(t) }

// Document is what a gateway tells of its accounts.
type Document struct {
	Version int           `json:"version"`
	Run     Run           `json:"run"`
	Now     time.Duration `json:"now_ns"`
	Counts  Counts        `json:"counts"`
	Windows []Window      `json:"windows"`
}
