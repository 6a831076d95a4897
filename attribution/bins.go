package attribution

import "github.com/HdrHistogram/hdrhistogram-go"

// Bins holds the buckets of an HDR histogram that are not empty.
type Bins struct {
	Indexes []uint16 `json:"at"` // bucket indexes, ascending
	Counts  []int64  `json:"n"`  // count of the bucket with the index at the same position in At
}

func binsOf(h *hdrhistogram.Histogram) Bins {
	var b Bins
	for i, n := range h.Export().Counts {
		if n != 0 {
			b.append(uint16(i), n)
		}
	}
	return b
}

// Histogram returns a histogram of times in microseconds that has the counts of the buckets. It
// ignores buckets whose index is out of the histogram's range.
func (b Bins) Histogram() *hdrhistogram.Histogram {
	h := newHistogram()
	s := h.Export()
	for i := range min(len(b.Indexes), len(b.Counts)) {
		if int(b.Indexes[i]) < len(s.Counts) && b.Counts[i] > 0 {
			s.Counts[b.Indexes[i]] = b.Counts[i]
		}
	}
	return hdrhistogram.Import(s)
}

// Count returns the sum of the counts of all buckets.
func (b Bins) Count() int64 {
	var n int64
	for _, x := range b.Counts {
		n += x
	}
	return n
}

func (b *Bins) append(at uint16, n int64) {
	b.Indexes = append(b.Indexes, at)
	b.Counts = append(b.Counts, n)
}

// addCounts returns the buckets of both lists and adds the counts of buckets that are in both.
func (b Bins) addCounts(o Bins) Bins {
	room := len(b.Indexes) + len(o.Indexes)
	out := Bins{Indexes: make([]uint16, 0, room), Counts: make([]int64, 0, room)}
	i, j := 0, 0
	for i < len(b.Indexes) || j < len(o.Indexes) {
		switch {
		case j == len(o.Indexes) || i < len(b.Indexes) && b.Indexes[i] < o.Indexes[j]:
			out.append(b.Indexes[i], b.Counts[i])
			i++
		case i == len(b.Indexes) || o.Indexes[j] < b.Indexes[i]:
			out.append(o.Indexes[j], o.Counts[j])
			j++
		default:
			out.append(b.Indexes[i], b.Counts[i]+o.Counts[j])
			i++
			j++
		}
	}
	return out
}

// negate changes the sign of every count in place and returns b.
func (b Bins) negate() Bins {
	for i := range b.Counts {
		b.Counts[i] = -b.Counts[i]
	}
	return b
}

// withoutEmpty returns a copy that holds only the buckets whose counts are above 0.
func (b Bins) withoutEmpty() Bins {
	var out Bins
	for i, n := range b.Counts {
		if n > 0 {
			out.append(b.Indexes[i], n)
		}
	}
	return out
}
