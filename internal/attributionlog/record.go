// Package attributionlog saves latency attribution in files and reads it back. A file starts with a
// line that names its format and version. The records follow. Each record is compressed with zstd
// and preceded by its length and checksum. A reader stops at the first record of a file that is
// corrupt or was truncated by a crash. A writer truncates the file before that record, then appends
// new ones. The package bounds the size of a file and the number of files.
package attributionlog

import (
	"fmt"
	"time"

	"chalkstand/attribution"
)

// magic is the text at the start of each file. The version and a newline follow it.
const magic = "chalkstand accounts log "

// maxRecord is the maximum size of a record in bytes, both compressed and uncompressed.
const maxRecord = 64 << 20

// A frame precedes each record. It holds the length of the compressed record and the xxHash64 of its
// compressed bytes, both in little-endian byte order.
const (
	lengthSize = 4 // size of the length in bytes
	frameSize  = lengthSize + 8
)

// header returns the first line of a file, which names the format and the version.
func header() []byte { return fmt.Appendf(nil, "%s%d\n", magic, attribution.Version) }

// Record is one entry of the log. It holds either a closed slot or a correction of a closed slot.
type Record struct {
	Run        attribution.Run         `json:"run"`
	Saved      time.Time               `json:"saved"` // wall-clock time; the clock may have been set during the run
	At         time.Duration           `json:"at_ns"` // the moment of Saved as a time of the run
	Slot       *attribution.Window     `json:"slot,omitempty"`
	Correction *attribution.Correction `json:"fix,omitempty"`
}

// NewRecord returns a record with the slot or the correction that a collector's action holds.
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

// ClockStep returns how far the wall clock has been set forward since the start of the run. The
// result is negative if the clock has been set back.
func (r *Record) ClockStep() time.Duration { return r.Saved.Sub(r.Run.At(r.At)) }
