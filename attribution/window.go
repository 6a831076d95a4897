package attribution

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Window is the latency attribution of a time span. Times count from the gateway's start.
type Window struct {
	From          time.Duration   `json:"from_ns"`
	To            time.Duration   `json:"to_ns"`
	Slot          time.Duration   `json:"slot_ns"` // length of the slots that it was made of
	All           VolumeSummary   `json:"all"`
	Volumes       []VolumeSummary `json:"volumes"` // by total time, the largest first
	Others        VolumeSummary   `json:"rest"`    // of volumes that are not in Volumes
	Pairs         []Item[Pair]    `json:"pairs"`
	PairError     time.Duration   `json:"pair_error_ns"` // upper bound for a pair that is not in Pairs
	Behind        time.Duration   `json:"behind_ns"`     // all time behind others
	Corrected     bool            `json:"corrected,omitempty"`
	Distributions []Distribution  `json:"distributions,omitempty"`
}

// VolumeSummary is one volume's part of a window.
type VolumeSummary struct {
	Volume   string          `json:"volume,omitempty"`
	Requests int64           `json:"requests"`
	Outcomes [Outcomes]int64 `json:"outcomes"` // by Outcome
	Parts    Breakdown       `json:"parts_ns"`
	// Missing is the most of the volume's time that may be among the others, from slots in
	// which it was not kept.
	Missing time.Duration `json:"missing_ns,omitempty"`
}

// Pair is a volume that waited and one that it waited behind.
type Pair struct {
	Victim  string `json:"victim"`
	Culprit string `json:"culprit"`
}

// Sum returns the sum of several windows, with at most the given number of volumes, pairs and
// distributions. The bounds of the sketches hold for the sum.
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

// Summary returns a volume's summary, and false where it has none of its own.
func (w *Window) Summary(volume string) (VolumeSummary, bool) {
	i := slices.IndexFunc(w.Volumes, func(v VolumeSummary) bool { return v.Volume == volume })
	if i < 0 {
		return VolumeSummary{}, false
	}
	return w.Volumes[i], true
}

// Distribution returns a volume's distributions, and false where none were kept.
func (w *Window) Distribution(volume string) (Distribution, bool) {
	i := slices.IndexFunc(w.Distributions, func(d Distribution) bool { return d.Volume == volume })
	if i < 0 {
		return Distribution{}, false
	}
	return w.Distributions[i], true
}

// Apply returns the window with a correction applied.
func (w *Window) Apply(c Correction) Window {
	s := restoreSlot(w)
	s.correct(&c)
	if h := s.distributions[c.Volume]; h != nil {
		h.correct(&c)
	}
	s.corrected = true
	return s.window(w.From, w.To, w.Slot)
}

// compareByTotal orders by total time, the largest first, then by name.
func compareByTotal(a, b VolumeSummary) int {
	return cmp.Or(cmp.Compare(b.Parts.Total(), a.Parts.Total()), strings.Compare(a.Volume, b.Volume))
}
