package attributionlog

import (
	"fmt"
	"slices"
	"time"

	"chalkstand/attribution"
)

// Timeline holds the slots of all runs in a log, ordered by time. Corrections have been applied to
// the slots.
type Timeline struct {
	Slots []Slot
	Notes []string // messages about restarts, wall-clock steps, and corrections whose slot is missing
}

// Slot is a window of a run. From is the start of the window in wall-clock time, calculated from the
// wall clock at the start of the run.
type Slot struct {
	Run  attribution.Run
	From time.Time
	attribution.Window
}

// minReportedStep is the smallest step of the wall clock for which NewTimeline adds a note.
const minReportedStep = time.Second

// NewTimeline returns the timeline of the records of a log, which must be ordered from the oldest to
// the newest.
func NewTimeline(recs []Record) Timeline {
	var t Timeline
	slotAt := map[string]map[time.Duration]int{} // maps run ID and start of a slot to an index into t.Slots
	steps := map[string]time.Duration{}          // maps run ID to the clock step that the last note reported
	unplaced := 0
	for i := range recs {
		r := &recs[i]
		if slotAt[r.Run.ID] == nil {
			slotAt[r.Run.ID] = map[time.Duration]int{}
			if len(slotAt) > 1 {
				t.note("gateway %s was started anew at %s; what the life before had open is not in the log",
					r.Run.Gateway, r.Run.Started.Format(time.RFC3339))
			}
		}
		if d := r.ClockStep() - steps[r.Run.ID]; d >= minReportedStep || d <= -minReportedStep {
			t.note("the wall clock was set by %v before %s; slots are shown by the clock at the gateway's start",
				d.Round(time.Millisecond), r.Saved.Format(time.RFC3339))
			steps[r.Run.ID] = r.ClockStep()
		}
		switch {
		case r.Slot != nil:
			slotAt[r.Run.ID][r.Slot.From] = len(t.Slots)
			t.Slots = append(t.Slots, Slot{Run: r.Run, From: r.Run.At(r.Slot.From), Window: *r.Slot})
		case r.Correction != nil:
			if !t.applyCorrection(slotAt[r.Run.ID], r.Correction) {
				unplaced++
			}
		}
	}
	if unplaced > 0 {
		t.note("%d late reports are of slots that are not in the log", unplaced)
	}
	slices.SortStableFunc(t.Slots, func(a, b Slot) int { return a.From.Compare(b.From) })
	return t
}

func (t *Timeline) note(format string, args ...any) {
	t.Notes = append(t.Notes, fmt.Sprintf(format, args...))
}

// applyCorrection applies a correction to the slot of the run that contains the request's end. It
// returns false if there is no such slot. slotAt maps the start of each slot of the run to the
// slot's index.
func (t *Timeline) applyCorrection(slotAt map[time.Duration]int, c *attribution.Correction) bool {
	for from, i := range slotAt {
		if w := &t.Slots[i].Window; from <= c.Ended && c.Ended < w.To {
			*w = w.Apply(*c)
			return true
		}
	}
	return false
}

// Since returns the slots that start within the given span before the end of the newest slot.
func (t *Timeline) Since(span time.Duration) []Slot {
	if len(t.Slots) == 0 {
		return nil
	}
	last := t.Slots[len(t.Slots)-1]
	from := last.From.Add(last.To - last.Window.From).Add(-span)
	i, _ := slices.BinarySearchFunc(t.Slots, from, func(s Slot, at time.Time) int { return s.From.Compare(at) })
	return t.Slots[i:]
}
