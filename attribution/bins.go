package attribution

import "github.com/HdrHistogram/hdrhistogram-go"

// Bins holds the buckets of an HDR histogram that are not empty.
type Bins struct {
	At []uint16 `json:"at"` // bucket indexes, ascending
	N  []int64  `json:"n"`  // count of the bucket with the index at the same position in At
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
	for i := range min(len(b.At), len(b.N)) {
		if int(b.At[i]) < len(s.Counts) && b.N[i] > 0 {
			s.Counts[b.At[i]] = b.N[i]
		}
	}
	return hdrhistogram.Import(s)
}

// Count returns the sum of the counts of all buckets.
func (b Bins) Count() int64 {
	var n int64
	for _, x := range b.N {
		n += x
	}
	return n
}

func (b *Bins) append(at uint16, n int64) {
	b.At = append(b.At, at)
	b.N = append(b.N, n)
}

// addCounts returns the buckets of both lists and adds the counts of buckets that are in both.
func (b Bins) addCounts(o Bins) Bins {
	room := len(b.At) + len(o.At)
	out := Bins{At: make([]uint16, 0, room), N: make([]int64, 0, room)}
	i, j := 0, 0
	for i < len(b.At) || j < len(o.At) {
		switch {
		case j == len(o.At) || i < len(b.At) && b.At[i] < o.At[j]:
			out.append(b.At[i], b.N[i])
			i++
		case i == len(b.At) || o.At[j] < b.At[i]:
			out.append(o.At[j], o.N[j])
			j++
		default:
			out.append(b.At[i], b.N[i]+o.N[j])
			i++
			j++
		}
	}
	return out
}

// negate changes the sign of every count in place and returns b.
func (b Bins) negate() Bins {
	for i := range b.N {
		b.N[i] = -b.N[i]
	}
	return b
}

// withoutEmpty returns a copy that holds only the buckets whose counts are above 0.
func (b Bins) withoutEmpty() Bins {
	var out Bins
	for i, n := range b.N {
		if n > 0 {
			out.append(b.At[i], n)
		}
	}
	return out
}
