package attribution

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Window holds the latency attribution of a time span. From and To are times since the start of
// the gateway.
type Window struct {
	From          time.Duration   `json:"from_ns"`
	To            time.Duration   `json:"to_ns"`
	Slot          time.Duration   `json:"slot_ns"` // length of the slots that the window sums
	All           VolumeSummary   `json:"all"`
	Volumes       []VolumeSummary `json:"volumes"` // ordered by total time, the largest first
	Others        VolumeSummary   `json:"rest"`    // sum of the volumes that are not in Volumes
	Pairs         []Item[Pair]    `json:"pairs"`
	PairError     time.Duration   `json:"pair_error_ns"` // upper bound for the time of a pair that is not in Pairs
	Behind        time.Duration   `json:"behind_ns"`     // total time that volumes waited behind other volumes
	Corrected     bool            `json:"corrected,omitempty"`
	Distributions []Distribution  `json:"distributions,omitempty"`
}

// VolumeSummary holds the requests and times of one volume in a window.
type VolumeSummary struct {
	Volume   string          `json:"volume,omitempty"`
	Requests int64           `json:"requests"`
	Outcomes [Outcomes]int64 `json:"outcomes"` // number of requests, indexed by Outcome
	Parts    Breakdown       `json:"parts_ns"`
	// Missing is an upper bound for the time of this volume that is counted in Window.Others. Such
	// time comes from slots that did not keep the volume.
	Missing time.Duration `json:"missing_ns,omitempty"`
}

// Pair names a volume that waited and another volume that it waited behind.
type Pair struct {
	Victim  string `json:"victim"`
	Culprit string `json:"culprit"`
}

// Sum returns the sum of several windows. The sum holds at most the given numbers of volumes,
// pairs and distributions. The error bounds of the windows also hold for the sum.
func Sum(ws []Window, volumes, pairs, distributions int) Window {
	sum := newSlot(0, max(volumes, 1), max(pairs, 1))
	out := Window{}
	for i, w := range ws {
		sum.merge(restoreSlot(&w), distributions)
		if i == 0 || w.From < out.From {
			out.From = w.From
		}
		out.To = max(out.To, w.To)
		out.Slot = max(out.Slot, w.Slot)
	}
	return sum.window(out.From, out.To, out.Slot)
}

// Summary returns the summary of a volume. It returns false if the window counts the volume among
// the others or has no requests of it.
func (w *Window) Summary(volume string) (VolumeSummary, bool) {
	i := slices.IndexFunc(w.Volumes, func(v VolumeSummary) bool { return v.Volume == volume })
	if i < 0 {
		return VolumeSummary{}, false
	}
	return w.Volumes[i], true
}

// Distribution returns the distributions of a volume. It returns false if the window has none for
// the volume.
func (w *Window) Distribution(volume string) (Distribution, bool) {
	i := slices.IndexFunc(w.Distributions, func(d Distribution) bool { return d.Volume == volume })
	if i < 0 {
		return Distribution{}, false
	}
	return w.Distributions[i], true
}

// Apply returns a copy of the window to which the correction has been applied.
func (w *Window) Apply(c Correction) Window {
	s := restoreSlot(w)
	s.applyCorrection(&c)
	if h := s.distributions[c.Volume]; h != nil {
		h.applyCorrection(&c)
	}
	s.corrected = true
	return s.window(w.From, w.To, w.Slot)
}

// compareByTotal orders summaries by total time, the largest first, then by volume name.
func compareByTotal(a, b VolumeSummary) int {
	return cmp.Or(cmp.Compare(b.Parts.Total(), a.Parts.Total()), strings.Compare(a.Volume, b.Volume))
}
