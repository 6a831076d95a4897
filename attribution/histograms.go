package attribution

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the histograms, which record times in microseconds. With 2 significant digits, the
// relative error of a percentile is at most PercentileError. Stored bins depend on these parameters.
const (
	maxRecordedTime   = 30 * time.Minute // longer times are recorded as maxRecordedTime
	significantDigits = 2
)

const (
	wholeIndex     = Components // index of the histogram of total times
	histogramCount = Components + 1
)

// histogramSet holds the distributions of one volume in one slot: one HDR histogram for each
// component and one for the total time. A request that spent no time in a component is not
// recorded in the component's histogram. The number of such requests is the count of the total
// times minus the count of the component's times.
type histogramSet struct {
	live    [histogramCount]*hdrhistogram.Histogram
	removed [histogramCount]*hdrhistogram.Histogram // values to subtract from live
	packed  [histogramCount]Bins                    // used for each index where live is nil
}

// restoreHistogramSet returns a set with the contents of a distribution.
func restoreHistogramSet(d *Distribution) *histogramSet {
	h := &histogramSet{}
	h.packed[wholeIndex] = d.Total
	for name, b := range d.Components {
		if c, ok := ParseComponent(name); ok {
			h.packed[c] = b
		}
	}
	return h
}

// distribution returns the contents of the set as the distribution of a volume.
func (h *histogramSet) distribution(volume string) Distribution {
	d := Distribution{Volume: volume, Total: h.bins(wholeIndex), Components: map[string]Bins{}}
	for c := range Components {
		if b := h.bins(c); len(b.Indexes) > 0 {
			d.Components[Component(c).String()] = b
		}
	}
	return d
}

// add records the total time and the component times of one request.
func (h *histogramSet) add(parts *Breakdown) {
	h.record(wholeIndex, parts.Total())
	for c, t := range parts {
		if t > 0 {
			h.record(c, t)
		}
	}
}

// applyCorrection removes a request's time in one component and records the times in which a late
// report divides it.
func (h *histogramSet) applyCorrection(c *Correction) {
	left := c.PreviousTime
	for _, to := range c.To {
		if to.Time > 0 {
			h.record(int(to.Component), to.Time)
			left -= to.Time
		}
	}
	if c.PreviousTime > 0 && left != c.PreviousTime {
		h.remove(int(c.From), c.PreviousTime)
		if left > 0 {
			h.record(int(c.From), left)
		}
	}
}

// merge adds the values of another set.
func (h *histogramSet) merge(o *histogramSet) {
	for i := range histogramCount {
		b := o.bins(i)
		if len(b.Indexes) == 0 {
			continue
		}
		if h.live[i] == nil && len(h.packed[i].Indexes) == 0 {
			h.packed[i] = Bins{Indexes: append([]uint16(nil), b.Indexes...), Counts: append([]int64(nil), b.Counts...)}
			continue
		}
		h.packed[i] = h.bins(i).addCounts(b)
		h.live[i] = nil
		h.removed[i] = nil
	}
}

// pack replaces each live histogram with its buckets that are not empty, which need less memory.
func (h *histogramSet) pack() {
	for i, live := range h.live {
		if live != nil {
			h.packed[i] = h.bins(i)
			h.live[i] = nil
			h.removed[i] = nil
		}
	}
}

// liveHistogram returns the i-th histogram in a form that accepts new values. It unpacks the
// histogram if necessary.
func (h *histogramSet) liveHistogram(i int) *hdrhistogram.Histogram {
	if h.live[i] == nil {
		h.live[i] = h.packed[i].Histogram()
		h.packed[i] = Bins{}
	}
	return h.live[i]
}

func (h *histogramSet) record(i int, t time.Duration) { recordTime(h.liveHistogram(i), t) }

// remove removes a recorded value. An HDR histogram cannot remove values, so a second histogram
// counts the removed values.
func (h *histogramSet) remove(i int, t time.Duration) {
	h.liveHistogram(i)
	if h.removed[i] == nil {
		h.removed[i] = newHistogram()
	}
	recordTime(h.removed[i], t)
}

// bins returns the buckets of the i-th histogram that are not empty.
func (h *histogramSet) bins(i int) Bins {
	if h.live[i] == nil {
		return h.packed[i]
	}
	b := binsOf(h.live[i])
	if h.removed[i] != nil {
		b = b.addCounts(binsOf(h.removed[i]).negate()).withoutEmpty()
	}
	return b
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
}

// recordTime records a time, limited to the histogram's range.
func recordTime(h *hdrhistogram.Histogram, t time.Duration) {
	// RecordValue returns an error only if the value is out of range.
	_ = h.RecordValue(min(max(t.Microseconds(), 0), maxRecordedTime.Microseconds()))
}
