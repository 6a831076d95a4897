// Package attributionreport writes reports on latency attribution for operators: text tables, JSON,
// and a single HTML file with plots.
package attributionreport

import (
	"fmt"
	"strings"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/attributionlog"
)

// Data is the input of a report.
type Data struct {
	Slots  []attributionlog.Slot // ordered by time
	Notes  []string              // messages for the reader, such as a restart of the gateway
	Counts *attribution.Counts   // nil if the slots come from a log, which does not contain counts
}

// maxKept is the maximum number of volumes, of pairs and of distributions in a sum of slots.
const maxKept = 1024

// Sum returns the sum of all slots as one window.
func (d *Data) Sum() attribution.Window {
	ws := make([]attribution.Window, len(d.Slots))
	for i, s := range d.Slots {
		ws[i] = s.Window
	}
	return attribution.Sum(ws, maxKept, maxKept, maxKept)
}

// span returns a text with the start, the end and the length of the slots.
func (d *Data) span() string {
	if len(d.Slots) == 0 {
		return "no request in that time"
	}
	first, last := d.Slots[0], d.Slots[len(d.Slots)-1]
	return fmt.Sprintf("%s to %s, slots of %v", first.From.Format("2006-01-02 15:04:05"),
		slotEnd(&last).Format("15:04:05"), last.Slot)
}

// slotEnd returns the wall-clock time of the end of a slot.
func slotEnd(s *attributionlog.Slot) time.Time { return s.From.Add(s.To - s.Window.From) }

// UnknownVolumeError is the error for a volume that has no summary of its own in the report.
type UnknownVolumeError struct {
	Volume string
	Known  []string // some volumes that have a summary
}

func (e *UnknownVolumeError) Error() string {
	if len(e.Known) == 0 {
		return fmt.Sprintf("no request of volume %q in that time, nor of any other", e.Volume)
	}
	return fmt.Sprintf("volume %q has no line of its own in that time; the heaviest that have: %s",
		e.Volume, strings.Join(e.Known, ", "))
}

// findVolume returns the summary of a volume. It returns an *UnknownVolumeError if there is none.
func findVolume(w *attribution.Window, volume string) (attribution.VolumeSummary, error) {
	if v, ok := w.Summary(volume); ok {
		return v, nil
	}
	e := &UnknownVolumeError{Volume: volume}
	for _, v := range w.Volumes[:min(5, len(w.Volumes))] {
		e.Known = append(e.Known, v.Volume)
	}
	return attribution.VolumeSummary{}, e
}
