package attribution

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Distributions of a volume's times, whole and by cause, as HDR histograms over
// microseconds with two significant digits: a percentile is at most 1 % off, and
// what is longer than longest counts as that long.

const (
	maxRecordedTime    = 30 * time.Minute
	significantDigits     = 2
	wholeIndex      = Components // the index of the time over all causes
	histogramCount = Components + 1
)

// PercentileError is how far a told percentile may be off, as a share of it.
const PercentileError = 0.01

// histogramSet is one volume's distributions in one slot. A cause that took no time of a
// request is not entered; how often that was follows from the count of the whole.
type histogramSet struct {
	live   [histogramCount]*hdrhistogram.Histogram
	removed   [histogramCount]*hdrhistogram.Histogram // what was taken out of live again
	packed [histogramCount]Bins
}

// Bins are the buckets of a histogram that are not empty, by their index.
type Bins struct {
	At []uint16 `json:"at"`
	N  []int64  `json:"n"`
}

// Distribution is what is told of a volume's distributions.
type Distribution struct {
	Volume string          `json:"volume"`
	Whole  Bins            `json:"whole"`
	Components map[string]Bins `json:"causes,omitempty"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
}

// histogram returns a histogram that can be changed.
func (d *histogramSet) histogram(i int) *hdrhistogram.Histogram {
	if d.live[i] == nil {
		d.live[i] = d.packed[i].Histogram()
		d.packed[i] = Bins{}
	}
	return d.live[i]
}

func (d *histogramSet) record(i int, t time.Duration) { record(d.histogram(i), t) }

func record(h *hdrhistogram.Histogram, t time.Duration) {
	h.RecordValue(min(max(t.Microseconds(), 0), maxRecordedTime.Microseconds()))
}

// remove takes a value that was recorded out again: a histogram itself cannot.
func (d *histogramSet) remove(i int, t time.Duration) {
	d.histogram(i)
	if d.removed[i] == nil {
		d.removed[i] = newHistogram()
	}
	record(d.removed[i], t)
}

func (d *histogramSet) add(s *Breakdown) {
	d.record(wholeIndex, s.Total())
	for c, t := range s {
		if t > 0 {
			d.record(c, t)
		}
	}
}

// correct takes a request's time under one cause out, and puts it in again as a late
// report tells it.
func (d *histogramSet) correct(c *Correction) {
	left := c.Had
	for _, m := range c.To {
		if m.Time > 0 {
			d.record(int(m.Component), m.Time)
			left -= m.Time
		}
	}
	if c.Had > 0 && left != c.Had {
		d.remove(int(c.From), c.Had)
		if left > 0 {
			d.record(int(c.From), left)
		}
	}
}

// pack keeps only the buckets that are not empty.
func (d *histogramSet) pack() {
	for i, h := range d.live {
		if h != nil {
			d.packed[i] = d.bins(i)
			d.live[i], d.removed[i] = nil, nil
		}
	}
}

func binsOf(h *hdrhistogram.Histogram) Bins {
	var b Bins
	for i, n := range h.Export().Counts {
		if n != 0 {
			b.At, b.N = append(b.At, uint16(i)), append(b.N, n)
		}
	}
	return b
}

func (d *histogramSet) bins(i int) Bins {
	if d.live[i] == nil {
		return d.packed[i]
	}
	b := binsOf(d.live[i])
	if d.removed[i] != nil {
		b = b.plus(binsOf(d.removed[i]).negative()).withoutEmpty()
	}
	return b
}

// merge adds another's.
func (d *histogramSet) merge(o *histogramSet) {
	for i := range histogramCount {
		b := o.bins(i)
		if len(b.At) == 0 {
			continue
		}
		if d.live[i] == nil && len(d.packed[i].At) == 0 {
			d.packed[i] = Bins{append([]uint16(nil), b.At...), append([]int64(nil), b.N...)}
			continue
		}
		d.packed[i] = d.bins(i).plus(b)
		d.live[i], d.removed[i] = nil, nil
	}
}

// plus merges two lists of buckets.
func (b Bins) plus(o Bins) Bins {
	out := Bins{make([]uint16, 0, len(b.At)+len(o.At)), make([]int64, 0, len(b.At)+len(o.At))}
	i, j := 0, 0
	for i < len(b.At) || j < len(o.At) {
		switch {
		case j == len(o.At) || i < len(b.At) && b.At[i] < o.At[j]:
			out.At, out.N = append(out.At, b.At[i]), append(out.N, b.N[i])
			i++
		case i == len(b.At) || o.At[j] < b.At[i]:
			out.At, out.N = append(out.At, o.At[j]), append(out.N, o.N[j])
			j++
		default:
			out.At, out.N = append(out.At, b.At[i]), append(out.N, b.N[i]+o.N[j])
			i, j = i+1, j+1
		}
	}
	return out
}

func (b Bins) negative() Bins {
	for i := range b.N {
		b.N[i] = -b.N[i]
	}
	return b
}

// withoutEmpty leaves out buckets that have become empty.
func (b Bins) withoutEmpty() Bins {
	var out Bins
	for i, n := range b.N {
		if n > 0 {
			out.At, out.N = append(out.At, b.At[i]), append(out.N, n)
		}
	}
	return out
}

// Histogram returns the buckets as a histogram of microseconds. Buckets that no
// histogram of ours has are left out.
func (b Bins) Histogram() *hdrhistogram.Histogram {
	h := newHistogram()
	s := h.Export()
	for i := range min(len(b.At), len(b.N)) {
		if int(b.At[i]) < len(s.Counts) && b.N[i] > 0 {
			s.Counts[b.At[i]] = b.N[i]
		}
	}
	return hdrhistogram.Import(s)
}

// Count returns how many values there are.
func (b Bins) Count() int64 {
	var n int64
	for _, x := range b.N {
		n += x
	}
	return n
}

// Percentile returns the time that a share of the requests, such as 0.99, did not
// pass.
func (d *Distribution) Percentile(share float64) time.Duration {
	return percentile(d.Whole, d.Whole.Count(), share)
}

// ComponentPercentile returns the same for the time under one cause, over all requests,
// those without that cause included.
func (d *Distribution) ComponentPercentile(c Component, share float64) time.Duration {
	return percentile(d.Components[c.String()], d.Whole.Count(), share)
}

// percentile is over n values, those that are not among the bins being zero.
func percentile(b Bins, n int64, share float64) time.Duration {
	with := b.Count()
	n = max(n, with)
	rank, zeros := share*float64(n), float64(n-with)
	if with == 0 || rank <= zeros {
		return 0
	}
	return time.Duration(b.Histogram().ValueAtQuantile(100*(rank-zeros)/float64(with))) * time.Microsecond
}

// distribution returns what is told of the distributions.
func (d *histogramSet) distribution(volume string) Distribution {
	t := Distribution{Volume: volume, Whole: d.bins(wholeIndex), Components: map[string]Bins{}}
	for c := range Components {
		if b := d.bins(c); len(b.At) > 0 {
			t.Components[Component(c).String()] = b
		}
	}
	return t
}

func restoreHistogramSet(t *Distribution) *histogramSet {
	d := &histogramSet{}
	d.packed[wholeIndex] = t.Whole
	for name, b := range t.Components {
		if c, ok := ParseComponent(name); ok {
			d.packed[c] = b
		}
	}
	return d
}

// distributionsOf returns a volume's distributions. Places are kept for those that were heavy
// in the slot before; the others go to whoever comes first. A volume without a
// place gets none.
func (p *page) distributionsOf(volume string, most int) *histogramSet {
	if d := p.distributions[volume]; d != nil {
		return d
	}
	kept := 0
	for _, v := range p.reserved {
		if v == volume {
			kept = -most // its own place
			break
		}
		if p.distributions[v] == nil {
			kept++
		}
	}
	if len(p.distributions)+kept >= most {
		return nil
	}
	if p.distributions == nil {
		p.distributions = map[string]*histogramSet{}
	}
	d := &histogramSet{}
	p.distributions[volume] = d
	return d
}

// mergeDistributions adds another page's, and keeps those of the heaviest volumes.
func (p *page) mergeDistributions(o *page, most int) {
	if len(o.distributions) == 0 || most == 0 {
		return
	}
	if p.distributions == nil {
		p.distributions = map[string]*histogramSet{}
	}
	for v, d := range o.distributions {
		if p.distributions[v] == nil {
			p.distributions[v] = &histogramSet{}
		}
		p.distributions[v].merge(d)
	}
	for _, it := range p.heaviest.Top(p.heaviest.capacity) {
		if most--; most < 0 {
			delete(p.distributions, it.Key)
		} else if p.distributions[it.Key] == nil {
			most++
		}
	}
	for v := range p.distributions {
		if !p.heaviest.Has(v) {
			delete(p.distributions, v)
		}
	}
}
