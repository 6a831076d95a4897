package accounts

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Pair is a volume that waited and one that it waited behind.
type Pair struct{ Victim, Culprit string }

// Resolution is a ring of slots of one length.
type Resolution struct {
	Slot  time.Duration
	Slots int
}

// Config bounds the books.
type Config struct {
	Resolutions []Resolution // from the finest to the coarsest
	Volumes     int          // kept by name in each slot; the others are summed
	Pairs       int          // kept in each slot
}

// DefaultConfig keeps seconds for two minutes, tens of seconds for half an hour and
// five minutes for a day.
func DefaultConfig() Config {
	return Config{Resolutions: []Resolution{{time.Second, 120}, {10 * time.Second, 180}, {5 * time.Minute, 288}}, Volumes: 64, Pairs: 128}
}

// Books are the accounts of one gateway: who waited how long, for what, behind
// whom, over sliding windows, in memory that does not grow with the volumes.
type Books struct {
	cfg   Config
	rings [][]*page
}

// page is what one slot holds.
type page struct {
	index  int64 // of the slot since the clock's zero; -1: unused
	all    Split
	count  int64
	heavy  *Sketch[string] // volumes by the time of their requests
	parts  map[string]*volumePart
	rest   volumePart // of volumes that gave way
	pairs  *Sketch[Pair]
	behind time.Duration // all time behind others, of pairs kept or not
	fixed  bool          // corrected after it was closed
}

type volumePart struct {
	Split
	count int64
}

// NewBooks returns empty books.
func NewBooks(cfg Config) (*Books, error) {
	if len(cfg.Resolutions) == 0 || cfg.Volumes < 1 || cfg.Pairs < 1 {
		return nil, fmt.Errorf("accounts: want resolutions, and room for volumes and pairs")
	}
	b := &Books{cfg: cfg}
	for _, r := range cfg.Resolutions {
		if r.Slot <= 0 || r.Slots < 2 {
			return nil, fmt.Errorf("accounts: a resolution of %d slots of %v: want 2 or more above 0", r.Slots, r.Slot)
		}
		ring := make([]*page, r.Slots)
		b.rings = append(b.rings, ring)
	}
	return b, nil
}

// Entry is a request that has its answer.
type Entry struct {
	Volume string
	Ended  time.Duration
	Parts  Split
	Behind []Blame // of Parts[Others]; may name the volume itself for Parts[Own]
}

// page returns the page of a time in one ring, nil when it has left the ring.
func (b *Books) page(ring int, at time.Duration) *page {
	r := b.cfg.Resolutions[ring]
	i := int64(at / r.Slot)
	p := b.rings[ring][i%int64(r.Slots)]
	if p != nil && p.index > i {
		return nil
	}
	if p == nil || p.index < i {
		p = &page{index: i, heavy: NewSketch[string](b.cfg.Volumes), parts: map[string]*volumePart{}, pairs: NewSketch[Pair](b.cfg.Pairs)}
		b.rings[ring][i%int64(r.Slots)] = p
	}
	return p
}

// Add enters a request.
func (b *Books) Add(e Entry) {
	total := e.Parts.Total()
	for ring := range b.rings {
		p := b.page(ring, e.Ended)
		if p == nil {
			continue
		}
		p.all.Add(&e.Parts)
		p.count++
		v := p.of(e.Volume, total)
		v.Add(&e.Parts)
		v.count++
		for _, x := range e.Behind {
			if x.Volume != e.Volume && x.Volume != "" {
				p.pairs.Add(Pair{e.Volume, x.Volume}, int64(x.Time))
				p.behind += x.Time
			}
		}
	}
}

// of returns where a volume's time goes. A volume that gives way to it leaves its
// time with the rest, so that nothing is lost from the sum.
func (p *page) of(volume string, weight time.Duration) *volumePart {
	if gone, gave := p.heavy.Add(volume, max(int64(weight), 1)); gave {
		if v := p.parts[gone]; v != nil {
			p.rest.Add(&v.Split)
			p.rest.count += v.count
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

// Correct moves time of a request that was entered before from one cause to
// another, as a report that came late tells. It returns in how many resolutions the
// slot was still held; now tells which of them had been closed, and are marked.
func (b *Books) Correct(now time.Duration, volume string, ended time.Duration, from, to Cause, d time.Duration) int {
	held := 0
	for ring, r := range b.cfg.Resolutions {
		i := int64(ended / r.Slot)
		p := b.rings[ring][i%int64(r.Slots)]
		if p == nil || p.index != i {
			continue
		}
		held++
		d := min(max(d, 0), p.all[from])
		v := p.parts[volume]
		if v == nil {
			v = &p.rest
		}
		d = min(d, v.Split[from])
		p.all[from], p.all[to] = p.all[from]-d, p.all[to]+d
		v.Split[from], v.Split[to] = v.Split[from]-d, v.Split[to]+d
		p.fixed = p.fixed || now/r.Slot > ended/r.Slot
	}
	return held
}

// Line is one volume's account over a window.
type Line struct {
	Volume   string
	Requests int64
	Parts    Split
	// Missing is the most of its time that may be among the rest, from slots in
	// which it was not kept.
	Missing time.Duration
}

// Window is what the books tell of a time.
type Window struct {
	From, To  time.Duration
	Slot      time.Duration
	All       Line
	Volumes   []Line // the heaviest first
	Rest      Line   // of volumes that no line names
	Pairs     []Item[Pair]
	PairError time.Duration // no pair that is not named has more
	Behind    time.Duration // all time behind others
	Corrected bool          // late reports have changed closed slots
}

// Over sums the slots that lie in the last span, by the finest resolution that
// reaches so far. It returns false when none does.
func (b *Books) Over(now, span time.Duration) (Window, bool) {
	for ring, r := range b.cfg.Resolutions {
		if span <= 0 || span > r.Slot*time.Duration(r.Slots-1) {
			continue
		}
		return b.sum(ring, max(now-span, 0), now), true
	}
	return Window{}, false
}

func (b *Books) sum(ring int, from, to time.Duration) Window {
	r := b.cfg.Resolutions[ring]
	w := Window{From: from / r.Slot * r.Slot, To: to, Slot: r.Slot}
	heavy := NewSketch[string](b.cfg.Volumes)
	pairs := NewSketch[Pair](b.cfg.Pairs)
	parts := map[string]*Line{}
	for i := int64(from / r.Slot); i <= int64(to/r.Slot); i++ {
		p := b.rings[ring][i%int64(r.Slots)]
		if p == nil || p.index != i {
			continue
		}
		heavy.Merge(p.heavy)
		pairs.Merge(p.pairs)
		w.All.Parts.Add(&p.all)
		w.All.Requests += p.count
		w.Behind += p.behind
		w.Corrected = w.Corrected || p.fixed
		for v, part := range p.parts {
			l := parts[v]
			if l == nil {
				l = &Line{Volume: v}
				parts[v] = l
			}
			l.Parts.Add(&part.Split)
			l.Requests += part.count
		}
	}
	w.Rest = w.All
	for _, it := range heavy.Top(b.cfg.Volumes) {
		l := parts[it.Key]
		if l == nil {
			continue
		}
		l.Missing = max(0, time.Duration(it.Count)-l.Parts.Total())
		w.Volumes = append(w.Volumes, *l)
		for c := range l.Parts {
			w.Rest.Parts[c] -= l.Parts[c]
		}
		w.Rest.Requests -= l.Requests
	}
	slices.SortStableFunc(w.Volumes, func(a, b Line) int {
		if x, y := a.Parts.Total(), b.Parts.Total(); x != y {
			return int(min(max(y-x, -1), 1))
		}
		return strings.Compare(a.Volume, b.Volume)
	})
	w.Pairs = pairs.Top(b.cfg.Pairs)
	w.PairError = time.Duration(pairs.floor())
	return w
}
