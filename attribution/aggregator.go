package attribution

import (
	"cmp"
	"slices"
	"time"
)

// Aggregator holds the latency attribution of one gateway over sliding windows. Its memory does not
// grow with the number of volumes. Add adds each request to a slot of the finest resolution. When a
// slot is closed, the aggregator merges it into the next coarser slot. An Aggregator is not safe for
// concurrent use.
//
// A level is an index into the resolutions. Level 0 is the finest.
type Aggregator struct {
	cfg    Config
	levels [][]*slot
	// onClose, if not nil, is called for each slot of the distribution level when the slot closes.
	onClose func(level int, s *slot)
}

// NewAggregator returns an empty aggregator. It returns an error if the configuration is invalid.
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

// Add adds a request to the finest slot that contains the request's end. If that slot is closed or
// no longer held, Add continues with coarser slots, up to the first one that is open.
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

// Advance closes the slots that ended at least the settling time before now.
func (a *Aggregator) Advance(now time.Duration) {
	for level, r := range a.cfg.Resolutions[:len(a.cfg.Resolutions)-1] {
		var due []*slot
		for _, s := range a.levels[level] {
			if s != nil && !s.closed && time.Duration(s.index+1)*r.Slot+a.cfg.CloseDelay <= now {
				due = append(due, s)
			}
		}
		slices.SortFunc(due, func(x, y *slot) int { return cmp.Compare(x.index, y.index) })
		for _, s := range due {
			a.closeSlot(level, s)
		}
	}
}

// Correct applies a correction to the slots that contain the request's end. It returns the number
// of these slots, and whether any of them was already closed. It marks closed slots as corrected.
func (a *Aggregator) Correct(c Correction) (held int, late bool) {
	for level := range a.levels {
		s := a.lookup(level, c.Ended)
		if s == nil {
			continue
		}
		held++
		s.applyCorrection(&c)
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
			h.applyCorrection(&c)
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

// Window returns the sum of the slots in the last span before now. It uses the finest resolution
// whose ring covers the span. It returns false if no resolution covers the span.
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
	if coarse := a.distributionLevel(); level < coarse { // finer levels have no distributions
		for i := a.slotIndex(coarse, from); i <= a.slotIndex(coarse, now); i++ {
			if s := a.lookup(coarse, time.Duration(i)*a.cfg.Resolutions[coarse].Slot); s != nil {
				sum.mergeDistributions(s, a.cfg.Distributions)
			}
		}
	}
	r := a.cfg.Resolutions[level]
	return sum.window(from/r.Slot*r.Slot, now, r.Slot), true
}

// Slots returns one window for each slot in the last span before now that has requests. It uses the
// finest resolution whose ring covers the span. It returns false if no resolution covers the span.
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

// MaxSpan returns the longest span that Window and Slots accept.
func (a *Aggregator) MaxSpan() time.Duration {
	r := a.cfg.Resolutions[len(a.cfg.Resolutions)-1]
	return r.Slot * time.Duration(r.Slots-1)
}

// distributionLevel returns the finest level whose slots have distributions.
func (a *Aggregator) distributionLevel() int { return min(1, len(a.levels)-1) }

func (a *Aggregator) newSlot(index int64) *slot {
	return newSlot(index, a.cfg.Volumes, a.cfg.Pairs)
}

func (a *Aggregator) slotIndex(level int, at time.Duration) int64 {
	return int64(max(at, 0) / a.cfg.Resolutions[level].Slot)
}

// lookup returns the slot of a level that contains a time. It returns nil if the ring does not hold
// that slot.
func (a *Aggregator) lookup(level int, at time.Duration) *slot {
	i := a.slotIndex(level, at)
	s := a.levels[level][i%int64(len(a.levels[level]))]
	if s == nil || s.index != i {
		return nil
	}
	return s
}

// slotAt returns the slot of a level that contains a time, and creates the slot if necessary. A new
// slot replaces the older slot at its position in the ring, which slotAt closes first. If that
// position holds a newer slot, slotAt returns nil.
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

// closeSlot closes a slot and merges it into the next coarser one. If the coarser slot is closed
// already, closeSlot continues with the next level, up to the first slot that is open.
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
	for coarserLevel := level + 1; coarserLevel < len(a.levels); coarserLevel++ {
		coarser := a.slotAt(coarserLevel, at)
		if coarser == nil {
			continue
		}
		coarser.merge(s, a.cfg.Distributions)
		if !coarser.closed {
			return
		}
	}
}

// finestLevel returns the finest level whose ring covers a span. It returns false if no level does.
func (a *Aggregator) finestLevel(span time.Duration) (int, bool) {
	for level, r := range a.cfg.Resolutions {
		if span > 0 && span <= r.Slot*time.Duration(r.Slots-1) {
			return level, true
		}
	}
	return 0, false
}

// mergeInto merges a slot into sum. It also merges the finer slots of the same time that are still
// open, because they have not been merged into coarser slots yet.
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

// attachDistributions copies the distributions of a coarser slot to a window that is too fine to
// have its own. The caller passes the last window within the coarser slot, so that a sum over all
// windows contains the distributions only once.
func (a *Aggregator) attachDistributions(w *Window) {
	if s := a.lookup(a.distributionLevel(), w.From); s != nil {
		w.Distributions = s.distributionList()
	}
}
