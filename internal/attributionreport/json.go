package attributionreport

import (
	"slices"
	"time"

	"chalkstand/attribution"
)

// Summary holds the fields of a JSON report.
type Summary struct {
	Notes   []string            `json:"notes,omitempty"`
	Counts  *attribution.Counts `json:"counts,omitempty"`
	From    time.Time           `json:"from"`
	To      time.Time           `json:"to"`
	Window  attribution.Window  `json:"window"`
	Volumes []string            `json:"asked,omitempty"` // the volumes to which the report is limited
}

// JSON returns a summary of all slots. If volumes is not empty, the summary contains only the
// volumes, pairs and distributions that concern one of these volumes.
func JSON(d *Data, volumes []string) Summary {
	s := Summary{Notes: d.Notes, Counts: d.Counts, Window: d.Sum(), Volumes: volumes}
	if n := len(d.Slots); n > 0 {
		s.From = d.Slots[0].From
		s.To = slotEnd(&d.Slots[n-1])
	}
	if len(volumes) == 0 {
		return s
	}
	wanted := func(v string) bool { return slices.Contains(volumes, v) }
	w := &s.Window
	w.Volumes = slices.DeleteFunc(w.Volumes, func(v attribution.VolumeSummary) bool { return !wanted(v.Volume) })
	w.Pairs = slices.DeleteFunc(w.Pairs, func(p attribution.Item[attribution.Pair]) bool {
		return !wanted(p.Key.Victim) && !wanted(p.Key.Culprit)
	})
	w.Distributions = slices.DeleteFunc(w.Distributions, func(x attribution.Distribution) bool {
		return !wanted(x.Volume)
	})
	return s
}
