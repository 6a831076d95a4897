package attribution

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Pair is a volume that waited and one that it waited behind.
type Pair struct {
	Victim  string `json:"victim"`
	Culprit string `json:"culprit"`
}

// Resolution is a ring of slots of one length.
type Resolution struct {
	Slot  time.Duration
	Slots int
}

// Config bounds the books.
type Config struct {
	Resolutions   []Resolution  // from the finest to the coarsest, each slot a multiple of the one before
	Volumes       int           // kept by name in each slot; the others are summed
	Pairs         int           // kept in each slot
	Distributions int           // volumes with distributions in each slot but the finest; 0: none
	Settle        time.Duration // a slot is closed this long after its end
}

// DefaultConfig keeps seconds for two minutes, tens of seconds for half an hour and
// five minutes for a day.
func DefaultConfig() Config {
	return Config{
		Resolutions: []Resolution{{time.Second, 120}, {10 * time.Second, 180}, {5 * time.Minute, 288}},
		Volumes:     64, Pairs: 128, Distributions: 16, Settle: time.Second,
	}
}

func (c Config) check() error {
	if len(c.Resolutions) == 0 || c.Volumes < 1 || c.Pairs < 1 || c.Distributions < 0 || c.Settle < 0 {
		return fmt.Errorf("attribution: want resolutions, and room for volumes and pairs")
	}
	for i, r := range c.Resolutions {
		if r.Slot <= 0 || r.Slots < 2 {
			return fmt.Errorf("attribution: a resolution of %d slots of %v: want 2 or more above 0", r.Slots, r.Slot)
		}
		if i > 0 && (r.Slot%c.Resolutions[i-1].Slot != 0 || r.Slot <= c.Resolutions[i-1].Slot) {
			return fmt.Errorf("attribution: slots of %v after %v: want a multiple", r.Slot, c.Resolutions[i-1].Slot)
		}
	}
	return nil
}

// Aggregator are the accounts of one gateway: who waited how long, for what, behind
// whom, over sliding windows, in memory that does not grow with the volumes. A
// request is entered in the finest slot; a slot that is closed is entered as a
// whole in the next coarser one. They are not safe for concurrent use.
type Aggregator struct {
	cfg   Config
	levels [][]*page
	// onClose is told of each slot of the second resolution (the first, where there
	// is but one) when it closes.
	onClose func(ring int, p *page)
}

// NewAggregator returns empty books.
func NewAggregator(cfg Config) (*Aggregator, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	b := &Aggregator{cfg: cfg}
	for _, r := range cfg.Resolutions {
		b.levels = append(b.levels, make([]*page, r.Slots))
	}
	return b, nil
}

// distributionLevel is the finest resolution that has distributions.
func (b *Aggregator) distributionLevel() int { return min(1, len(b.levels)-1) }

func (b *Aggregator) newSlot(index int64) *page {
	return newSlot(index, b.cfg.Volumes, b.cfg.Pairs)
}

// lookup returns the page of a time in one ring, nil where there is none.
func (b *Aggregator) lookup(ring int, at time.Duration) *page {
	i := b.slotIndex(ring, at)
	p := b.levels[ring][i%int64(len(b.levels[ring]))]
	if p == nil || p.index != i {
		return nil
	}
	return p
}

func (b *Aggregator) slotIndex(ring int, at time.Duration) int64 {
	return int64(max(at, 0) / b.cfg.Resolutions[ring].Slot)
}

// slotAt returns the page of a time in one ring, made where there is none; nil when
// that time has left the ring.
func (b *Aggregator) slotAt(ring int, at time.Duration) *page {
	i := b.slotIndex(ring, at)
	place := &b.levels[ring][i%int64(len(b.levels[ring]))]
	switch p := *place; {
	case p != nil && p.index == i:
		return p
	case p != nil && p.index > i:
		return nil
	case p != nil:
		b.closeSlot(ring, p)
	}
	p := b.newSlot(i)
	*place = p
	if ring == b.distributionLevel() {
		if last := b.lookup(ring, at-b.cfg.Resolutions[ring].Slot); last != nil && last != p {
			for _, it := range last.heaviest.Top(b.cfg.Distributions) {
				p.reserved = append(p.reserved, it.Key)
			}
		}
	}
	return p
}

// closeSlot closes a page: from here on it is part of a coarser one too.
func (b *Aggregator) closeSlot(ring int, p *page) {
	if p.closed {
		return
	}
	p.closed = true
	if ring == b.distributionLevel() && b.onClose != nil {
		b.onClose(ring, p)
	}
	for _, d := range p.distributions {
		d.pack()
	}
	at := time.Duration(p.index) * b.cfg.Resolutions[ring].Slot
	for up := ring + 1; up < len(b.levels); up++ {
		q := b.slotAt(up, at)
		if q == nil {
			continue
		}
		q.merge(p, b.cfg.Distributions)
		if !q.closed {
			return
		}
	}
}

// Advance closes the slots that ended longer ago than the settling time.
func (b *Aggregator) Advance(now time.Duration) {
	for ring, r := range b.cfg.Resolutions[:len(b.cfg.Resolutions)-1] {
		var due []*page
		for _, p := range b.levels[ring] {
			if p != nil && !p.closed && time.Duration(p.index+1)*r.Slot+b.cfg.Settle <= now {
				due = append(due, p)
			}
		}
		slices.SortFunc(due, func(a, b *page) int { return int(min(max(a.index-b.index, -1), 1)) })
		for _, p := range due {
			b.closeSlot(ring, p)
		}
	}
}

// Add enters a request.
func (b *Aggregator) Add(e Entry) {
	for ring := range b.levels {
		p := b.slotAt(ring, e.Ended)
		if p == nil {
			continue
		}
		p.add(&e)
		if !p.closed {
			break
		}
	}
	if b.cfg.Distributions == 0 {
		return
	}
	for ring := b.distributionLevel(); ring < len(b.levels); ring++ {
		p := b.slotAt(ring, e.Ended)
		if p == nil {
			continue
		}
		if d := p.distributionsOf(e.Volume, b.cfg.Distributions); d != nil {
			d.add(&e.Parts)
			if p.closed {
				d.pack()
			}
		}
		if !p.closed {
			break
		}
	}
}

// Correction moves time of a request that was entered before from one cause to
// others, as a report that came late tells.
type Correction struct {
	Volume string          `json:"volume"`
	Ended  time.Duration   `json:"ended_ns"`
	From   Component       `json:"from"`
	Had    time.Duration   `json:"had_ns"` // that the request had under From before
	To     []ComponentTime `json:"to"`
	Behind []Contribution  `json:"behind,omitempty"` // of what was moved to waiting
}

// ComponentTime is time that is put down to a cause instead.
type ComponentTime struct {
	Component Component     `json:"cause"`
	Time      time.Duration `json:"ns"`
}

// Correct applies a correction. It returns in how many resolutions the request's
// slot was held, and whether one of them had been closed; such a slot is marked.
func (b *Aggregator) Correct(c Correction) (held int, late bool) {
	for ring := range b.levels {
		p := b.lookup(ring, c.Ended)
		if p == nil {
			continue
		}
		held++
		p.correct(&c)
		if !p.closed {
			break
		}
		p.corrected, late = true, true
	}
	for ring := b.distributionLevel(); ring < len(b.levels); ring++ {
		p := b.lookup(ring, c.Ended)
		if p == nil {
			continue
		}
		if d := p.distributions[c.Volume]; d != nil {
			d.correct(&c)
			if p.closed {
				d.pack()
			}
		}
		if !p.closed {
			break
		}
	}
	return held, late
}

// Over sums the slots that lie in the last span, by the finest resolution that
// reaches so far. It returns false when none does.
func (b *Aggregator) Over(now, span time.Duration) (Window, bool) {
	ring, ok := b.finestLevel(span)
	if !ok {
		return Window{}, false
	}
	from := max(now-span, 0)
	sum := b.newSlot(0)
	for i := b.slotIndex(ring, from); i <= b.slotIndex(ring, now); i++ {
		b.mergeInto(ring, i, sum)
	}
	if coarse := b.distributionLevel(); ring < coarse { // distributions are of whole slots there
		for i := b.slotIndex(coarse, from); i <= b.slotIndex(coarse, now); i++ {
			if p := b.lookup(coarse, time.Duration(i)*b.cfg.Resolutions[coarse].Slot); p != nil {
				sum.mergeDistributions(p, b.cfg.Distributions)
			}
		}
	}
	r := b.cfg.Resolutions[ring]
	return sum.window(from/r.Slot*r.Slot, now, r.Slot), true
}

// Pages returns the slots of the last span one by one, those with requests only,
// by the finest resolution that reaches so far.
func (b *Aggregator) Pages(now, span time.Duration) ([]Window, bool) {
	ring, ok := b.finestLevel(span)
	if !ok {
		return nil, false
	}
	slot, coarse := b.cfg.Resolutions[ring].Slot, b.distributionLevel()
	var out []Window
	for i := b.slotIndex(ring, max(now-span, 0)); i <= b.slotIndex(ring, now); i++ {
		p := b.newSlot(i)
		b.mergeInto(ring, i, p)
		if p.requests == 0 {
			continue
		}
		at := time.Duration(i) * slot
		if n := len(out); ring < coarse && n > 0 && b.slotIndex(coarse, out[n-1].From) != b.slotIndex(coarse, at) {
			b.attachDistributions(&out[n-1])
		}
		out = append(out, p.window(at, at+slot, slot))
	}
	if n := len(out); ring < coarse && n > 0 {
		b.attachDistributions(&out[n-1])
	}
	return out, true
}

// attachDistributions gives a slot that is too fine to have distributions those of the coarser
// slot that it is the last one of, so that a sum over the slots has them once.
func (b *Aggregator) attachDistributions(w *Window) {
	if p := b.lookup(b.distributionLevel(), w.From); p != nil {
		w.Distributions = p.distributionList()
	}
}

// Reach returns the longest span that Over can tell of.
func (b *Aggregator) Reach() time.Duration {
	r := b.cfg.Resolutions[len(b.cfg.Resolutions)-1]
	return r.Slot * time.Duration(r.Slots-1)
}

func (b *Aggregator) finestLevel(span time.Duration) (int, bool) {
	for ring, r := range b.cfg.Resolutions {
		if span > 0 && span <= r.Slot*time.Duration(r.Slots-1) {
			return ring, true
		}
	}
	return 0, false
}

// mergeInto adds to sum what a slot holds, with what finer slots hold that are not
// closed yet.
func (b *Aggregator) mergeInto(ring int, index int64, sum *page) {
	slot := b.cfg.Resolutions[ring].Slot
	from := time.Duration(index) * slot
	if p := b.lookup(ring, from); p != nil {
		sum.merge(p, b.cfg.Distributions)
	}
	for fine := range ring {
		for at := from; at < from+slot; at += b.cfg.Resolutions[fine].Slot {
			if p := b.lookup(fine, at); p != nil && !p.closed {
				sum.merge(p, b.cfg.Distributions)
			}
		}
	}
}

// Witness is what the accounts offer to whoever decides: how long a volume has
// waited behind others lately, and how long others have waited behind it. The
// second is at most Within too high. Nothing decides by it today.
type Witness interface {
	Behind(now, span time.Duration, volume string) (waited, caused, within time.Duration)
}

// Behind implements Witness.
func (b *Aggregator) Behind(now, span time.Duration, volume string) (waited, caused, within time.Duration) {
	w, ok := b.Over(now, span)
	if !ok {
		return 0, 0, 0
	}
	for _, p := range w.Pairs {
		if p.Key.Victim == volume {
			waited += time.Duration(p.Count)
		}
		if p.Key.Culprit == volume {
			caused += time.Duration(p.Count)
			within += time.Duration(p.Error)
		}
	}
	return waited, caused, within
}

// VolumeSummary is one volume's account over a window.
type VolumeSummary struct {
	Volume   string          `json:"volume,omitempty"`
	Requests int64           `json:"requests"`
	Outcomes [Outcomes]int64 `json:"outcomes"` // answered, refused, failed, cut, gone
	Parts    Breakdown       `json:"parts_ns"`
	// Missing is the most of its time that may be among the rest, from slots in
	// which it was not kept.
	Missing time.Duration `json:"missing_ns,omitempty"`
}

// Window is what the books tell of a time.
type Window struct {
	From      time.Duration   `json:"from_ns"` // since the gateway's start
	To        time.Duration   `json:"to_ns"`
	Slot      time.Duration   `json:"slot_ns"`
	All       VolumeSummary   `json:"all"`
	Volumes   []VolumeSummary `json:"volumes"` // the heaviest first
	Others      VolumeSummary   `json:"rest"`    // of volumes that no line names
	Pairs     []Item[Pair]    `json:"pairs"`
	PairError time.Duration   `json:"pair_error_ns"` // no pair that is not named has more
	Behind    time.Duration   `json:"behind_ns"`     // all time behind others
	Corrected bool            `json:"corrected,omitempty"`
	Distributions     []Distribution  `json:"distributions,omitempty"`
}

// Sum makes one window of several, with room for so many volumes, pairs and
// distributions. The bounds of the sketches hold for the sum.
func Sum(ws []Window, volumes, pairs, dists int) Window {
	sum := newSlot(0, max(volumes, 1), max(pairs, 1))
	out := Window{}
	for i, w := range ws {
		sum.merge(restoreSlot(&w), dists)
		if i == 0 || w.From < out.From {
			out.From = w.From
		}
		out.To, out.Slot = max(out.To, w.To), max(out.Slot, w.Slot)
	}
	return sum.window(out.From, out.To, out.Slot)
}

// Summary returns a volume's line, and false where it has none of its own.
func (w *Window) Summary(volume string) (VolumeSummary, bool) {
	i := slices.IndexFunc(w.Volumes, func(l VolumeSummary) bool { return l.Volume == volume })
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

func compareByTotal(a, b VolumeSummary) int {
	if x, y := a.Parts.Total(), b.Parts.Total(); x != y {
		return int(min(max(y-x, -1), 1))
	}
	return strings.Compare(a.Volume, b.Volume)
}

// Apply returns the window with a correction of a request in it.
func (w *Window) Apply(c Correction) Window {
	p := restoreSlot(w)
	p.correct(&c)
	if d := p.distributions[c.Volume]; d != nil {
		d.correct(&c)
	}
	p.corrected = true
	return p.window(w.From, w.To, w.Slot)
}
