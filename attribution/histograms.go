package attribution

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the histograms, which are over microseconds. Two significant digits make a
// percentile at most PercentileError off. Stored bins depend on all of them.
const (
	maxRecordedTime   = 30 * time.Minute // longer times are recorded as this
	significantDigits = 2
)

const (
	wholeIndex     = Components // index of the time over all components
	histogramCount = Components + 1
)

// histogramSet is one volume's distributions in one slot: an HDR histogram for each component
// and one of the whole time. A request without time in a component is not recorded for it; how
// many there were follows from the count of the whole.
type histogramSet struct {
	live    [histogramCount]*hdrhistogram.Histogram
	removed [histogramCount]*hdrhistogram.Histogram // values to subtract from live
	packed  [histogramCount]Bins                    // where live is nil
}

func restoreHistogramSet(d *Distribution) *histogramSet {
	h := &histogramSet{}
	h.packed[wholeIndex] = d.Whole
	for name, b := range d.Components {
		if c, ok := ParseComponent(name); ok {
			h.packed[c] = b
		}
	}
	return h
}

// distribution returns the set as the distribution of a volume.
func (h *histogramSet) distribution(volume string) Distribution {
	d := Distribution{Volume: volume, Whole: h.bins(wholeIndex), Components: map[string]Bins{}}
	for c := range Components {
		if b := h.bins(c); len(b.At) > 0 {
			d.Components[Component(c).String()] = b
		}
	}
	return d
}

// add records a request.
func (h *histogramSet) add(parts *Breakdown) {
	h.record(wholeIndex, parts.Total())
	for c, t := range parts {
		if t > 0 {
			h.record(c, t)
		}
	}
}

// correct replaces a request's time in one component as a late report divides it.
func (h *histogramSet) correct(c *Correction) {
	left := c.Had
	for _, to := range c.To {
		if to.Time > 0 {
			h.record(int(to.Component), to.Time)
			left -= to.Time
		}
	}
	if c.Had > 0 && left != c.Had {
		h.remove(int(c.From), c.Had)
		if left > 0 {
			h.record(int(c.From), left)
		}
	}
}

// merge adds another set.
func (h *histogramSet) merge(o *histogramSet) {
	for i := range histogramCount {
		b := o.bins(i)
		if len(b.At) == 0 {
			continue
		}
		if h.live[i] == nil && len(h.packed[i].At) == 0 {
			h.packed[i] = Bins{At: append([]uint16(nil), b.At...), N: append([]int64(nil), b.N...)}
			continue
		}
		h.packed[i] = h.bins(i).plus(b)
		h.live[i] = nil
		h.removed[i] = nil
	}
}

// pack replaces the live histograms by the buckets that are not empty.
func (h *histogramSet) pack() {
	for i, live := range h.live {
		if live != nil {
			h.packed[i] = h.bins(i)
			h.live[i] = nil
			h.removed[i] = nil
		}
	}
}

// liveHistogram returns a histogram that can be recorded to.
func (h *histogramSet) liveHistogram(i int) *hdrhistogram.Histogram {
	if h.live[i] == nil {
		h.live[i] = h.packed[i].Histogram()
		h.packed[i] = Bins{}
	}
	return h.live[i]
}

func (h *histogramSet) record(i int, t time.Duration) { recordTime(h.liveHistogram(i), t) }

// remove takes a recorded value out again, which an HDR histogram itself cannot.
func (h *histogramSet) remove(i int, t time.Duration) {
	h.liveHistogram(i)
	if h.removed[i] == nil {
		h.removed[i] = newHistogram()
	}
	recordTime(h.removed[i], t)
}

func (h *histogramSet) bins(i int) Bins {
	if h.live[i] == nil {
		return h.packed[i]
	}
	b := binsOf(h.live[i])
	if h.removed[i] != nil {
		b = b.plus(binsOf(h.removed[i]).negate()).withoutEmpty()
	}
	return b
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
}

// recordTime records a time, which it clamps to the histogram's range.
func recordTime(h *hdrhistogram.Histogram, t time.Duration) {
	_ = h.RecordValue(min(max(t.Microseconds(), 0), maxRecordedTime.Microseconds())) // fails only out of range
}
