package attribution

import (
	"slices"
	"strings"
	"time"
)

// slot holds the latency attribution of one time slot.
type slot struct {
	index         int64 // start time of the slot divided by the slot length
	total         Breakdown
	requests      int64
	outcomes      [Outcomes]int64
	heaviest      *Sketch[string] // volumes, weighted by the total time of their requests
	byVolume      map[string]*totals
	others        totals // sum of the volumes that are no longer among the heaviest
	pairs         *Sketch[Pair]
	behindOthers  time.Duration // total time of all pairs, including those that the sketch has evicted
	corrected     bool          // a correction was applied after the slot was closed
	closed        bool          // the slot has been merged into a coarser one
	distributions map[string]*histogramSet
	reserved      []string // volumes for which distributions are reserved
}

// totals holds the attribution of the requests of one volume, or the sum over several volumes.
type totals struct {
	Breakdown
	requests int64
	outcomes [Outcomes]int64
}

func (t *totals) merge(o *totals) {
	t.Add(&o.Breakdown)
	t.requests += o.requests
	addOutcomes(&t.outcomes, &o.outcomes)
}

func addOutcomes(sum, o *[Outcomes]int64) {
	for i, n := range o {
		sum[i] += n
	}
}

func newSlot(index int64, volumes, pairs int) *slot {
	return &slot{
		index:    index,
		heaviest: NewSketch[string](volumes),
		byVolume: map[string]*totals{},
		pairs:    NewSketch[Pair](pairs),
	}
}

// restoreSlot returns a slot with the contents of a window.
func restoreSlot(w *Window) *slot {
	// Each sketch has room for one more key than the window holds. A sketch that is not full uses the
	// error bound that restore sets.
	s := newSlot(0, len(w.Volumes)+1, len(w.Pairs)+1)
	s.total = w.All.Parts
	s.requests = w.All.Requests
	s.outcomes = w.All.Outcomes
	s.behindOthers = w.Behind
	s.corrected = w.Corrected
	s.others = totals{Breakdown: w.Others.Parts, requests: w.Others.Requests, outcomes: w.Others.Outcomes}
	var volumes []Item[string]
	for _, v := range w.Volumes {
		count := max(int64(v.Parts.Total()+v.Missing), 1)
		volumes = append(volumes, Item[string]{Key: v.Volume, Count: count, Error: int64(v.Missing)})
		s.byVolume[v.Volume] = &totals{Breakdown: v.Parts, requests: v.Requests, outcomes: v.Outcomes}
	}
	s.heaviest.restore(volumes, int64(w.Others.Parts.Total()), int64(w.All.Parts.Total()))
	s.pairs.restore(w.Pairs, int64(w.PairError), int64(w.Behind))
	for i := range w.Distributions {
		if s.distributions == nil {
			s.distributions = map[string]*histogramSet{}
		}
		s.distributions[w.Distributions[i].Volume] = restoreHistogramSet(&w.Distributions[i])
	}
	return s
}

// add adds the attribution of one request to the slot.
func (s *slot) add(e *Entry) {
	s.total.Add(&e.Parts)
	s.requests++
	s.outcomes[e.Outcome]++
	v := s.volumeTotals(e.Volume, e.Parts.Total())
	v.Add(&e.Parts)
	v.requests++
	v.outcomes[e.Outcome]++
	s.addContributions(e.Volume, e.Behind)
}

// addContributions adds the times that a volume waited behind other volumes. It ignores time that
// the volume waited behind itself or behind no known volume.
func (s *slot) addContributions(victim string, behind []Contribution) {
	for _, c := range behind {
		if c.Volume != victim && c.Volume != "" && c.Time > 0 {
			s.pairs.Add(Pair{Victim: victim, Culprit: c.Volume}, int64(c.Time))
			s.behindOthers += c.Time
		}
	}
}

// volumeTotals adds weight to a volume in the sketch and returns the volume's totals. If the sketch
// evicts another volume, volumeTotals moves the totals of that volume to the others, so that the sum
// stays complete.
func (s *slot) volumeTotals(volume string, weight time.Duration) *totals {
	if evicted, ok := s.heaviest.Add(volume, max(int64(weight), 1)); ok {
		if v := s.byVolume[evicted]; v != nil {
			s.others.merge(v)
			delete(s.byVolume, evicted)
		}
	}
	v := s.byVolume[volume]
	if v == nil {
		v = &totals{}
		s.byVolume[volume] = v
	}
	return v
}

// applyCorrection reattributes time between components. It moves no more time than the volume has in the
// component that the correction takes from.
func (s *slot) applyCorrection(c *Correction) {
	v := s.byVolume[c.Volume]
	if v == nil {
		v = &s.others
	}
	for _, to := range c.To {
		d := min(max(to.Time, 0), s.total[c.From], v.Breakdown[c.From])
		s.total[c.From], s.total[to.Component] = s.total[c.From]-d, s.total[to.Component]+d
		v.Breakdown[c.From], v.Breakdown[to.Component] = v.Breakdown[c.From]-d, v.Breakdown[to.Component]+d
	}
	s.addContributions(c.Volume, c.Behind)
}

// merge adds the contents of another slot. The result has distributions for at most the given
// number of volumes.
func (s *slot) merge(o *slot, distributions int) {
	s.total.Add(&o.total)
	s.requests += o.requests
	addOutcomes(&s.outcomes, &o.outcomes)
	s.behindOthers += o.behindOthers
	s.corrected = s.corrected || o.corrected
	s.others.merge(&o.others)
	s.heaviest.Merge(o.heaviest)
	s.pairs.Merge(o.pairs)
	for volume, theirs := range o.byVolume {
		ours := s.byVolume[volume]
		if ours == nil {
			ours = &totals{}
			s.byVolume[volume] = ours
		}
		ours.merge(theirs)
	}
	for volume, t := range s.byVolume {
		if !s.heaviest.Has(volume) {
			s.others.merge(t)
			delete(s.byVolume, volume)
		}
	}
	s.mergeDistributions(o, distributions)
}

// distributionsOf returns the distributions of a volume, or nil if the volume gets none. At most
// limit volumes have distributions. Places are reserved for the volumes that were heaviest in the
// previous slot. Other volumes get the remaining places in the order of their first requests.
func (s *slot) distributionsOf(volume string, limit int) *histogramSet {
	if h := s.distributions[volume]; h != nil {
		return h
	}
	reserved := 0
	for _, v := range s.reserved {
		if v == volume {
			reserved = -limit // a volume with a reservation always gets distributions
			break
		}
		if s.distributions[v] == nil {
			reserved++
		}
	}
	if len(s.distributions)+reserved >= limit {
		return nil
	}
	if s.distributions == nil {
		s.distributions = map[string]*histogramSet{}
	}
	h := &histogramSet{}
	s.distributions[volume] = h
	return h
}

// mergeDistributions adds the distributions of another slot, then keeps only those of the limit
// heaviest volumes that have distributions.
func (s *slot) mergeDistributions(o *slot, limit int) {
	if len(o.distributions) == 0 || limit == 0 {
		return
	}
	if s.distributions == nil {
		s.distributions = map[string]*histogramSet{}
	}
	for volume, h := range o.distributions {
		if s.distributions[volume] == nil {
			s.distributions[volume] = &histogramSet{}
		}
		s.distributions[volume].merge(h)
	}
	for _, item := range s.heaviest.Top(s.heaviest.capacity) {
		if limit--; limit < 0 {
			delete(s.distributions, item.Key)
		} else if s.distributions[item.Key] == nil {
			limit++
		}
	}
	for volume := range s.distributions {
		if !s.heaviest.Has(volume) {
			delete(s.distributions, volume)
		}
	}
}

// window returns the contents of the slot as a window with the given start, end and slot length.
func (s *slot) window(from, to, slotLength time.Duration) Window {
	w := Window{
		From:      from,
		To:        to,
		Slot:      slotLength,
		Behind:    s.behindOthers,
		Corrected: s.corrected,
		PairError: time.Duration(s.pairs.maxUntracked()),
	}
	w.All = VolumeSummary{Requests: s.requests, Outcomes: s.outcomes, Parts: s.total}
	w.Others = VolumeSummary{Requests: s.others.requests, Outcomes: s.others.outcomes, Parts: s.others.Breakdown}
	for _, item := range s.heaviest.Top(s.heaviest.capacity) {
		v := s.byVolume[item.Key]
		if v == nil {
			continue
		}
		summary := VolumeSummary{Volume: item.Key, Requests: v.requests, Outcomes: v.outcomes, Parts: v.Breakdown}
		if item.Error > 0 {
			summary.Missing = max(0, time.Duration(item.Count)-summary.Parts.Total())
		}
		w.Volumes = append(w.Volumes, summary)
	}
	slices.SortStableFunc(w.Volumes, compareByTotal)
	w.Pairs = s.pairs.Top(s.pairs.capacity)
	w.Distributions = s.distributionList()
	return w
}

// distributionList returns the distributions of all volumes, sorted by volume.
func (s *slot) distributionList() []Distribution {
	var out []Distribution
	for volume, h := range s.distributions {
		out = append(out, h.distribution(volume))
	}
	slices.SortFunc(out, func(a, b Distribution) int { return strings.Compare(a.Volume, b.Volume) })
	return out
}
