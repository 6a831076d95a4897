package attributionlog

import (
	"chalkstand/attribution"
	"fmt"
	"slices"
	"time"
)

// Timeline is a log put in order: the slots of each run, with their corrections
// applied.
type Timeline struct {
	Slots []Slot
	Notes []string // restarts, steps of the wall clock, what could not be placed
}

// Slot is one slot at its time by the wall clock of its run's start.
type Slot struct {
	Run  attribution.Run
	From time.Time
	attribution.Window
}

// minReportedStep is how far the wall clock must have been set to be told of.
const minReportedStep = time.Second

// NewTimeline orders records.
func NewTimeline(recs []Record) Timeline {
	var t Timeline
	at := map[string]map[time.Duration]int{} // slots by run and start
	steps := map[string]time.Duration{}
	lost := 0
	for i := range recs {
		r := &recs[i]
		if at[r.Run.ID] == nil {
			at[r.Run.ID] = map[time.Duration]int{}
			if len(at) > 1 {
				t.Notes = append(t.Notes, fmt.Sprintf("gateway %s was started anew at %s; what the life before had open is not in the log",
					r.Run.Gateway, r.Run.Started.Format(time.RFC3339)))
			}
		}
		if d := r.ClockStep() - steps[r.Run.ID]; d >= minReportedStep || d <= -minReportedStep {
			t.Notes = append(t.Notes, fmt.Sprintf("the wall clock was set by %v before %s; slots are shown by the clock at the gateway's start",
				d.Round(time.Millisecond), r.Saved.Format(time.RFC3339)))
			steps[r.Run.ID] = r.ClockStep()
		}
		switch {
		case r.Slot != nil:
			at[r.Run.ID][r.Slot.From] = len(t.Slots)
			t.Slots = append(t.Slots, Slot{r.Run, r.Run.At(r.Slot.From), *r.Slot})
		case r.Correction != nil:
			if !t.applyCorrection(at[r.Run.ID], r.Correction) {
				lost++
			}
		}
	}
	if lost > 0 {
		t.Notes = append(t.Notes, fmt.Sprintf("%d late reports are of slots that are not in the log", lost))
	}
	slices.SortStableFunc(t.Slots, func(a, b Slot) int { return a.From.Compare(b.From) })
	return t
}

// applyCorrection applies a correction to its slot.
func (t *Timeline) applyCorrection(slots map[time.Duration]int, c *attribution.Correction) bool {
	for from, i := range slots {
		if w := &t.Slots[i].Window; from <= c.Ended && c.Ended < w.To {
			*w = w.Apply(*c)
			return true
		}
	}
	return false
}

// Since returns the slots of the last span before the newest one's end.
func (t *Timeline) Since(span time.Duration) []Slot {
	if len(t.Slots) == 0 {
		return nil
	}
	last := t.Slots[len(t.Slots)-1]
	from := last.From.Add(last.To - last.Window.From).Add(-span)
	i, _ := slices.BinarySearchFunc(t.Slots, from, func(s Slot, at time.Time) int { return s.From.Compare(at) })
	return t.Slots[i:]
}
