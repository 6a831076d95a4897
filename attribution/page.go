package attribution

import (
	"slices"
	"strings"
	"time"
)

// page is what one slot holds.
type page struct {
	index  int64 // of the slot since the clock's zero
	all    Breakdown
	count  int64
	ends   [Outcomes]int64
	heavy  *Sketch[string] // volumes by the time of their requests
	parts  map[string]*volumePart
	rest   volumePart // of volumes that gave way
	pairs  *Sketch[Pair]
	behind time.Duration // all time behind others, of pairs kept or not
	fixed  bool          // corrected after it was closed
	rolled bool          // closed: part of a coarser page too
	dists  map[string]*dist
	kept   []string // volumes for which places among dists are kept
}

type volumePart struct {
	Breakdown
	count int64
	ends  [Outcomes]int64
}

func (v *volumePart) include(o *volumePart) {
	v.Breakdown.Add(&o.Breakdown)
	v.count += o.count
	addEnds(&v.ends, &o.ends)
}

func addEnds(a, b *[Outcomes]int64) {
	for i, n := range b {
		a[i] += n
	}
}

func newPage(index int64, volumes, pairs int) *page {
	return &page{index: index, heavy: NewSketch[string](volumes), parts: map[string]*volumePart{}, pairs: NewSketch[Pair](pairs)}
}

// add enters a request.
func (p *page) add(e *Entry) {
	p.all.Add(&e.Parts)
	p.count++
	p.ends[e.Outcome]++
	v := p.of(e.Volume, e.Parts.Total())
	v.Add(&e.Parts)
	v.count++
	v.ends[e.Outcome]++
	p.blame(e.Volume, e.Behind)
}

// blame enters whom a volume waited behind. Time behind itself or behind nobody
// that is known makes no pair.
func (p *page) blame(victim string, bs []Contribution) {
	for _, x := range bs {
		if x.Volume != victim && x.Volume != "" && x.Time > 0 {
			p.pairs.Add(Pair{victim, x.Volume}, int64(x.Time))
			p.behind += x.Time
		}
	}
}

// of returns where a volume's time goes. A volume that gives way to it leaves its
// time with the rest, so that nothing is lost from the sum.
func (p *page) of(volume string, weight time.Duration) *volumePart {
	if gone, gave := p.heavy.Add(volume, max(int64(weight), 1)); gave {
		if v := p.parts[gone]; v != nil {
			p.rest.include(v)
			delete(p.parts, gone)
		}
	}
	v := p.parts[volume]
	if v == nil {
		v = &volumePart{}
		p.parts[volume] = v
	}
	return v
}

// correct moves time between causes; no more than is there.
func (p *page) correct(c *Correction) {
	v := p.parts[c.Volume]
	if v == nil {
		v = &p.rest
	}
	for _, m := range c.To {
		d := min(max(m.Time, 0), p.all[c.From], v.Breakdown[c.From])
		p.all[c.From], p.all[m.Component] = p.all[c.From]-d, p.all[m.Component]+d
		v.Breakdown[c.From], v.Breakdown[m.Component] = v.Breakdown[c.From]-d, v.Breakdown[m.Component]+d
	}
	p.blame(c.Volume, c.Behind)
}

// absorb adds all that another page holds.
func (p *page) absorb(o *page, dists int) {
	p.all.Add(&o.all)
	p.count += o.count
	addEnds(&p.ends, &o.ends)
	p.behind += o.behind
	p.fixed = p.fixed || o.fixed
	p.rest.include(&o.rest)
	p.heavy.Merge(o.heavy)
	p.pairs.Merge(o.pairs)
	for v, part := range o.parts {
		mine := p.parts[v]
		if mine == nil {
			mine = &volumePart{}
			p.parts[v] = mine
		}
		mine.include(part)
	}
	for v, part := range p.parts {
		if !p.heavy.Has(v) {
			p.rest.include(part)
			delete(p.parts, v)
		}
	}
	p.absorbDists(o, dists)
}

// window tells what the page holds.
func (p *page) window(from, to, slot time.Duration) Window {
	w := Window{From: from, To: to, Slot: slot, Behind: p.behind, Corrected: p.fixed, PairError: time.Duration(p.pairs.floor())}
	w.All = VolumeSummary{Requests: p.count, Outcomes: p.ends, Parts: p.all}
	w.Rest = VolumeSummary{Requests: p.rest.count, Outcomes: p.rest.ends, Parts: p.rest.Breakdown}
	for _, it := range p.heavy.Top(p.heavy.room) {
		v := p.parts[it.Key]
		if v == nil {
			continue
		}
		l := VolumeSummary{Volume: it.Key, Requests: v.count, Outcomes: v.ends, Parts: v.Breakdown}
		if it.Error > 0 {
			l.Missing = max(0, time.Duration(it.Count)-l.Parts.Total())
		}
		w.Volumes = append(w.Volumes, l)
	}
	slices.SortStableFunc(w.Volumes, byTotal)
	w.Pairs = p.pairs.Top(p.pairs.room)
	w.Dists = p.tellDists()
	return w
}

// tellDists tells of all distributions, by volume.
func (p *page) tellDists() []Distribution {
	var out []Distribution
	for v, d := range p.dists {
		out = append(out, d.tell(v))
	}
	slices.SortFunc(out, func(a, b Distribution) int { return strings.Compare(a.Volume, b.Volume) })
	return out
}

// loadPage makes a page of what was told of one.
func loadPage(w *Window) *page {
	p := newPage(0, len(w.Volumes)+1, len(w.Pairs)+1) // not full: the floor is what was told
	p.all, p.count, p.ends, p.behind, p.fixed = w.All.Parts, w.All.Requests, w.All.Outcomes, w.Behind, w.Corrected
	p.rest = volumePart{w.Rest.Parts, w.Rest.Requests, w.Rest.Outcomes}
	var vols []Item[string]
	for _, l := range w.Volumes {
		vols = append(vols, Item[string]{l.Volume, max(int64(l.Parts.Total()+l.Missing), 1), int64(l.Missing)})
		p.parts[l.Volume] = &volumePart{l.Parts, l.Requests, l.Outcomes}
	}
	p.heavy.load(vols, int64(w.Rest.Parts.Total()), int64(w.All.Parts.Total()))
	p.pairs.load(w.Pairs, int64(w.PairError), int64(w.Behind))
	for i := range w.Dists {
		if p.dists == nil {
			p.dists = map[string]*dist{}
		}
		p.dists[w.Dists[i].Volume] = loadDist(&w.Dists[i])
	}
	return p
}
