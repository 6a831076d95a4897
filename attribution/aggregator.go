package attribution

import (
	"cmp"
	"slices"
	"time"
)

// Aggregator keeps the latency attribution of one gateway over sliding windows, in memory that
// does not grow with the number of volumes. A request is added to the finest slot; a slot that
// is closed is merged as a whole into the next coarser one. It is not safe for concurrent use.
//
// A level is an index into the resolutions, 0 being the finest.
type Aggregator struct {
	cfg    Config
	levels [][]*slot
	// onClose, if not nil, is called with each slot of the distribution level when it closes.
	onClose func(level int, s *slot)
}

// NewAggregator returns an empty aggregator, or an error if the configuration is invalid.
func NewAggregator(cfg Config) (*Aggregator, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	a := &Aggregator{cfg: cfg}
	for _, r := range cfg.Resolutions {
		a.levels = append(a.levels, make([]*slot, r.Slots))
	}
	return a, nil
}

// Add adds a request to the slots of its end: the finest, and each coarser one where the finer
// is closed already.
func (a *Aggregator) Add(e Entry) {
	for level := range a.levels {
		s := a.slotAt(level, e.Ended)
		if s == nil {
			continue
		}
		s.add(&e)
		if !s.closed {
			break
		}
	}
	if a.cfg.Distributions == 0 {
		return
	}
	for level := a.distributionLevel(); level < len(a.levels); level++ {
		s := a.slotAt(level, e.Ended)
		if s == nil {
			continue
		}
		if h := s.distributionsOf(e.Volume, a.cfg.Distributions); h != nil {
			h.add(&e.Parts)
			if s.closed {
				h.pack()
			}
		}
		if !s.closed {
			break
		}
	}
}

// Advance closes the slots that ended longer ago than the settling time.
func (a *Aggregator) Advance(now time.Duration) {
	for level, r := range a.cfg.Resolutions[:len(a.cfg.Resolutions)-1] {
		var due []*slot
		for _, s := range a.levels[level] {
			if s != nil && !s.closed && time.Duration(s.index+1)*r.Slot+a.cfg.Settle <= now {
				due = append(due, s)
			}
		}
		slices.SortFunc(due, func(x, y *slot) int { return cmp.Compare(x.index, y.index) })
		for _, s := range due {
			a.closeSlot(level, s)
		}
	}
}

// Correct applies a correction. It returns in how many resolutions the request's slot was held,
// and whether one of them had been closed; such a slot is marked as corrected.
func (a *Aggregator) Correct(c Correction) (held int, late bool) {
	for level := range a.levels {
		s := a.lookup(level, c.Ended)
		if s == nil {
			continue
		}
		held++
		s.correct(&c)
		if !s.closed {
			break
		}
		s.corrected = true
		late = true
	}
	for level := a.distributionLevel(); level < len(a.levels); level++ {
		s := a.lookup(level, c.Ended)
		if s == nil {
			continue
		}
		if h := s.distributions[c.Volume]; h != nil {
			h.correct(&c)
			if s.closed {
				h.pack()
			}
		}
		if !s.closed {
			break
		}
	}
	return held, late
}

// Window returns the sum of the slots in the last span, by the finest resolution that reaches so
// far back. It returns false when none does.
func (a *Aggregator) Window(now, span time.Duration) (Window, bool) {
	level, ok := a.finestLevel(span)
	if !ok {
		return Window{}, false
	}
	from := max(now-span, 0)
	sum := a.newSlot(0)
	for i := a.slotIndex(level, from); i <= a.slotIndex(level, now); i++ {
		a.mergeInto(level, i, sum)
	}
	if coarse := a.distributionLevel(); level < coarse { // only whole slots there have distributions
		for i := a.slotIndex(coarse, from); i <= a.slotIndex(coarse, now); i++ {
			if s := a.lookup(coarse, time.Duration(i)*a.cfg.Resolutions[coarse].Slot); s != nil {
				sum.mergeDistributions(s, a.cfg.Distributions)
			}
		}
	}
	r := a.cfg.Resolutions[level]
	return sum.window(from/r.Slot*r.Slot, now, r.Slot), true
}

// Slots returns the slots of the last span that have requests, one by one, by the finest
// resolution that reaches so far back. It returns false when none does.
func (a *Aggregator) Slots(now, span time.Duration) ([]Window, bool) {
	level, ok := a.finestLevel(span)
	if !ok {
		return nil, false
	}
	length, coarse := a.cfg.Resolutions[level].Slot, a.distributionLevel()
	var out []Window
	for i := a.slotIndex(level, max(now-span, 0)); i <= a.slotIndex(level, now); i++ {
		s := a.newSlot(i)
		a.mergeInto(level, i, s)
		if s.requests == 0 {
			continue
		}
		at := time.Duration(i) * length
		if n := len(out); level < coarse && n > 0 && a.slotIndex(coarse, out[n-1].From) != a.slotIndex(coarse, at) {
			a.attachDistributions(&out[n-1])
		}
		out = append(out, s.window(at, at+length, length))
	}
	if n := len(out); level < coarse && n > 0 {
		a.attachDistributions(&out[n-1])
	}
	return out, true
}

// MaxSpan returns the longest span that Over covers.
func (a *Aggregator) MaxSpan() time.Duration {
	r := a.cfg.Resolutions[len(a.cfg.Resolutions)-1]
	return r.Slot * time.Duration(r.Slots-1)
}

// distributionLevel is the finest level that has distributions.
func (a *Aggregator) distributionLevel() int { return min(1, len(a.levels)-1) }

func (a *Aggregator) newSlot(index int64) *slot {
	return newSlot(index, a.cfg.Volumes, a.cfg.Pairs)
}

func (a *Aggregator) slotIndex(level int, at time.Duration) int64 {
	return int64(max(at, 0) / a.cfg.Resolutions[level].Slot)
}

// lookup returns the slot of a time, nil if there is none.
func (a *Aggregator) lookup(level int, at time.Duration) *slot {
	i := a.slotIndex(level, at)
	s := a.levels[level][i%int64(len(a.levels[level]))]
	if s == nil || s.index != i {
		return nil
	}
	return s
}

// slotAt returns the slot of a time, which it creates if there is none, in the place of an
// older one. It returns nil if the time is older than what the ring holds.
func (a *Aggregator) slotAt(level int, at time.Duration) *slot {
	i := a.slotIndex(level, at)
	place := &a.levels[level][i%int64(len(a.levels[level]))]
	switch s := *place; {
	case s != nil && s.index == i:
		return s
	case s != nil && s.index > i:
		return nil
	case s != nil:
		a.closeSlot(level, s)
	}
	s := a.newSlot(i)
	*place = s
	if level == a.distributionLevel() {
		if last := a.lookup(level, at-a.cfg.Resolutions[level].Slot); last != nil && last != s {
			for _, item := range last.heaviest.Top(a.cfg.Distributions) {
				s.reserved = append(s.reserved, item.Key)
			}
		}
	}
	return s
}

// closeSlot closes a slot and merges it into the next coarser one, and into those above as long
// as they are closed already.
func (a *Aggregator) closeSlot(level int, s *slot) {
	if s.closed {
		return
	}
	s.closed = true
	if level == a.distributionLevel() && a.onClose != nil {
		a.onClose(level, s)
	}
	for _, h := range s.distributions {
		h.pack()
	}
	at := time.Duration(s.index) * a.cfg.Resolutions[level].Slot
	for up := level + 1; up < len(a.levels); up++ {
		coarser := a.slotAt(up, at)
		if coarser == nil {
			continue
		}
		coarser.merge(s, a.cfg.Distributions)
		if !coarser.closed {
			return
		}
	}
}

// finestLevel returns the finest level whose ring covers a span, false if none does.
func (a *Aggregator) finestLevel(span time.Duration) (int, bool) {
	for level, r := range a.cfg.Resolutions {
		if span > 0 && span <= r.Slot*time.Duration(r.Slots-1) {
			return level, true
		}
	}
	return 0, false
}

// mergeInto adds a slot to sum, with the finer slots of the same time that are not closed yet.
func (a *Aggregator) mergeInto(level int, index int64, sum *slot) {
	length := a.cfg.Resolutions[level].Slot
	from := time.Duration(index) * length
	if s := a.lookup(level, from); s != nil {
		sum.merge(s, a.cfg.Distributions)
	}
	for fine := range level {
		for at := from; at < from+length; at += a.cfg.Resolutions[fine].Slot {
			if s := a.lookup(fine, at); s != nil && !s.closed {
				sum.merge(s, a.cfg.Distributions)
			}
		}
	}
}

// attachDistributions gives a window that is too fine to have distributions those of the coarser
// slot whose last window it is, so that a sum over the windows contains them once.
func (a *Aggregator) attachDistributions(w *Window) {
	if s := a.lookup(a.distributionLevel(), w.From); s != nil {
		w.Distributions = s.distributionList()
	}
}
