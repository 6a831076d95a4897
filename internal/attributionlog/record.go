// Package attributionlog saves latency attribution in files and reads it back. A file begins with
// a line that names its format and version; records follow, each with its length and a checksum,
// compressed with zstd. A record that was cut short by a crash, or is corrupt, ends what is read
// of its file, and is cut off before the file is appended to. Files are bounded in size and number.
package attributionlog

import (
	"fmt"
	"time"

	"chalkstand/attribution"
)

// magic begins each file, followed by the version and a newline.
const magic = "chalkstand accounts log "

// maxRecord is the largest size of a record in bytes, compressed or not.
const maxRecord = 64 << 20

// Before each record stand its length and the xxHash64 of its compressed bytes, little endian.
const (
	lengthSize = 4 // bytes
	frameSize  = lengthSize + 8
)

func header() []byte { return fmt.Appendf(nil, "%s%d\n", magic, attribution.Version) }

// Record is one entry of the log: a closed slot, or a correction of one.
type Record struct {
	Run        attribution.Run         `json:"run"`
	Saved      time.Time               `json:"saved"` // wall clock, which may have been set since the run's start
	At         time.Duration           `json:"at_ns"` // the same moment in the run's own time
	Slot       *attribution.Window     `json:"slot,omitempty"`
	Correction *attribution.Correction `json:"fix,omitempty"`
}

// NewRecord returns the record of a collector's action.
func NewRecord(run attribution.Run, saved time.Time, at time.Duration, a attribution.Action) Record {
	r := Record{Run: run, Saved: saved, At: at}
	switch a := a.(type) {
	case attribution.SlotClosed:
		r.Slot = &a.Window
	case attribution.SlotCorrected:
		r.Correction = &a.Correction
	}
	return r
}

// ClockStep returns by how much the wall clock had been set since the run's start.
func (r *Record) ClockStep() time.Duration { return r.Saved.Sub(r.Run.At(r.At)) }
