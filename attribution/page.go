package attribution

import (
	"slices"
	"strings"
	"time"
)

// page is what one slot holds.
type page struct {
	index  int64 // of the slot since the clock's zero
	total    Breakdown
	requests  int64
	outcomes   [Outcomes]int64
	heaviest  *Sketch[string] // volumes by the time of their requests
	byVolume  map[string]*totals
	others   totals // of volumes that gave way
	pairs  *Sketch[Pair]
	behindOthers time.Duration // all time behind others, of pairs kept or not
	corrected  bool          // corrected after it was closed
	closed bool          // closed: part of a coarser page too
	distributions  map[string]*histogramSet
	reserved   []string // volumes for which places among dists are kept
}

type totals struct {
	Breakdown
	requests int64
	outcomes  [Outcomes]int64
}

func (v *totals) merge(o *totals) {
	v.Breakdown.Add(&o.Breakdown)
	v.requests += o.requests
	addOutcomes(&v.outcomes, &o.outcomes)
}

func addOutcomes(a, b *[Outcomes]int64) {
	for i, n := range b {
		a[i] += n
	}
}

func newSlot(index int64, volumes, pairs int) *page {
	return &page{index: index, heaviest: NewSketch[string](volumes), byVolume: map[string]*totals{}, pairs: NewSketch[Pair](pairs)}
}

// add enters a request.
func (p *page) add(e *Entry) {
	p.total.Add(&e.Parts)
	p.requests++
	p.outcomes[e.Outcome]++
	v := p.volumeTotals(e.Volume, e.Parts.Total())
	v.Add(&e.Parts)
	v.requests++
	v.outcomes[e.Outcome]++
	p.addContributions(e.Volume, e.Behind)
}

// addContributions enters whom a volume waited behind. Time behind itself or behind nobody
// that is known makes no pair.
func (p *page) addContributions(victim string, bs []Contribution) {
	for _, x := range bs {
		if x.Volume != victim && x.Volume != "" && x.Time > 0 {
			p.pairs.Add(Pair{victim, x.Volume}, int64(x.Time))
			p.behindOthers += x.Time
		}
	}
}

// volumeTotals returns where a volume's time goes. A volume that gives way to it leaves its
// time with the rest, so that nothing is lost from the sum.
func (p *page) volumeTotals(volume string, weight time.Duration) *totals {
	if gone, gave := p.heaviest.Add(volume, max(int64(weight), 1)); gave {
		if v := p.byVolume[gone]; v != nil {
			p.others.merge(v)
			delete(p.byVolume, gone)
		}
	}
	v := p.byVolume[volume]
	if v == nil {
		v = &totals{}
		p.byVolume[volume] = v
	}
	return v
}

// correct moves time between causes; no more than is there.
func (p *page) correct(c *Correction) {
	v := p.byVolume[c.Volume]
	if v == nil {
		v = &p.others
	}
	for _, m := range c.To {
		d := min(max(m.Time, 0), p.total[c.From], v.Breakdown[c.From])
		p.total[c.From], p.total[m.Component] = p.total[c.From]-d, p.total[m.Component]+d
		v.Breakdown[c.From], v.Breakdown[m.Component] = v.Breakdown[c.From]-d, v.Breakdown[m.Component]+d
	}
	p.addContributions(c.Volume, c.Behind)
}

// merge adds all that another page holds.
func (p *page) merge(o *page, dists int) {
	p.total.Add(&o.total)
	p.requests += o.requests
	addOutcomes(&p.outcomes, &o.outcomes)
	p.behindOthers += o.behindOthers
	p.corrected = p.corrected || o.corrected
	p.others.merge(&o.others)
	p.heaviest.Merge(o.heaviest)
	p.pairs.Merge(o.pairs)
	for v, part := range o.byVolume {
		mine := p.byVolume[v]
		if mine == nil {
			mine = &totals{}
			p.byVolume[v] = mine
		}
		mine.merge(part)
	}
	for v, part := range p.byVolume {
		if !p.heaviest.Has(v) {
			p.others.merge(part)
			delete(p.byVolume, v)
		}
	}
	p.mergeDistributions(o, dists)
}

// window tells what the page holds.
func (p *page) window(from, to, slot time.Duration) Window {
	w := Window{From: from, To: to, Slot: slot, Behind: p.behindOthers, Corrected: p.corrected, PairError: time.Duration(p.pairs.maxUntracked())}
	w.All = VolumeSummary{Requests: p.requests, Outcomes: p.outcomes, Parts: p.total}
	w.Others = VolumeSummary{Requests: p.others.requests, Outcomes: p.others.outcomes, Parts: p.others.Breakdown}
	for _, it := range p.heaviest.Top(p.heaviest.capacity) {
		v := p.byVolume[it.Key]
		if v == nil {
			continue
		}
		l := VolumeSummary{Volume: it.Key, Requests: v.requests, Outcomes: v.outcomes, Parts: v.Breakdown}
		if it.Error > 0 {
			l.Missing = max(0, time.Duration(it.Count)-l.Parts.Total())
		}
		w.Volumes = append(w.Volumes, l)
	}
	slices.SortStableFunc(w.Volumes, compareByTotal)
	w.Pairs = p.pairs.Top(p.pairs.capacity)
	w.Distributions = p.distributionList()
	return w
}

// distributionList tells of all distributions, by volume.
func (p *page) distributionList() []Distribution {
	var out []Distribution
	for v, d := range p.distributions {
		out = append(out, d.distribution(v))
	}
	slices.SortFunc(out, func(a, b Distribution) int { return strings.Compare(a.Volume, b.Volume) })
	return out
}

// restoreSlot makes a page of what was told of one.
func restoreSlot(w *Window) *page {
	p := newSlot(0, len(w.Volumes)+1, len(w.Pairs)+1) // not full: the floor is what was told
	p.total, p.requests, p.outcomes, p.behindOthers, p.corrected = w.All.Parts, w.All.Requests, w.All.Outcomes, w.Behind, w.Corrected
	p.others = totals{w.Others.Parts, w.Others.Requests, w.Others.Outcomes}
	var vols []Item[string]
	for _, l := range w.Volumes {
		vols = append(vols, Item[string]{l.Volume, max(int64(l.Parts.Total()+l.Missing), 1), int64(l.Missing)})
		p.byVolume[l.Volume] = &totals{l.Parts, l.Requests, l.Outcomes}
	}
	p.heaviest.restore(vols, int64(w.Others.Parts.Total()), int64(w.All.Parts.Total()))
	p.pairs.restore(w.Pairs, int64(w.PairError), int64(w.Behind))
	for i := range w.Distributions {
		if p.distributions == nil {
			p.distributions = map[string]*histogramSet{}
		}
		p.distributions[w.Distributions[i].Volume] = restoreHistogramSet(&w.Distributions[i])
	}
	return p
}
