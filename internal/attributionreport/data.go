// Package attributionreport presents latency attribution to people: as tables, as JSON, and as one
// HTML file with plots.
package attributionreport

import (
	"fmt"
	"strings"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/attributionlog"
)

// Data is the input of a report: slots in order of time, and what readers have to know of them.
type Data struct {
	Slots  []attributionlog.Slot
	Notes  []string
	Counts *attribution.Counts // nil for a log, which has none
}

// maxKept is how many volumes, pairs and distributions a sum of slots keeps.
const maxKept = 1024

// Sum returns the sum over all slots.
func (d *Data) Sum() attribution.Window {
	ws := make([]attribution.Window, len(d.Slots))
	for i, s := range d.Slots {
		ws[i] = s.Window
	}
	return attribution.Sum(ws, maxKept, maxKept, maxKept)
}

// span returns the time that the slots cover, as text.
func (d *Data) span() string {
	if len(d.Slots) == 0 {
		return "no request in that time"
	}
	first, last := d.Slots[0], d.Slots[len(d.Slots)-1]
	return fmt.Sprintf("%s to %s, slots of %v", first.From.Format("2006-01-02 15:04:05"),
		slotEnd(&last).Format("15:04:05"), last.Slot)
}

func slotEnd(s *attributionlog.Slot) time.Time { return s.From.Add(s.To - s.Window.From) }

// UnknownVolumeError is returned for a volume without a summary of its own.
type UnknownVolumeError struct {
	Volume string
	Known  []string // some that have one
}

func (e *UnknownVolumeError) Error() string {
	if len(e.Known) == 0 {
		return fmt.Sprintf("no request of volume %q in that time, nor of any other", e.Volume)
	}
	return fmt.Sprintf("volume %q has no line of its own in that time; the heaviest that have: %s",
		e.Volume, strings.Join(e.Known, ", "))
}

// findVolume returns a volume's summary, or an *UnknownVolumeError.
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
