package attribution

import (
	"cmp"
	"container/heap"
	"slices"
)

// Sketch keeps the heaviest of many keys in bounded memory, after Metwally, Agrawal
// and El Abbadi's Space-Saving. With room for k keys and a total weight W:
//
//   - a key's count is never less than its true weight, and at most its Error more;
//   - no Error is larger than W/k;
//   - every key whose true weight is above W/k is there.
//
// Where no more than k keys came, all counts are exact. Weights must not be negative.
type Sketch[K comparable] struct {
	capacity  int
	baseError int64 // no key that is not kept has had more, where that was told with the sketch
	total int64
	counters    map[K]*counter[K]
	heap  counterHeap[K]
	seq   uint64
}

type counter[K comparable] struct {
	key          K
	count, error int64
	seq          uint64 // ties are broken by age: the result does not depend on a map's order
	heapIndex          int
}

// NewSketch returns an empty sketch with room for k keys.
func NewSketch[K comparable](k int) *Sketch[K] {
	return &Sketch[K]{capacity: max(k, 1), counters: make(map[K]*counter[K])}
}

// Add adds weight to a key. It returns the key that gave way to it, if one did.
func (s *Sketch[K]) Add(key K, weight int64) (gone K, gave bool) {
	if weight <= 0 {
		return gone, false
	}
	s.total += weight
	if e := s.counters[key]; e != nil {
		e.count += weight
		heap.Fix(&s.heap, e.heapIndex)
		return gone, false
	}
	s.seq++
	if len(s.heap) < s.capacity {
		e := &counter[K]{key: key, count: s.baseError + weight, error: s.baseError, seq: s.seq}
		s.counters[key] = e
		heap.Push(&s.heap, e)
		return gone, false
	}
	e := s.heap[0] // the lightest gives way; what it had may have been the newcomer's
	gone = e.key
	delete(s.counters, gone)
	e.key, e.error, e.seq = key, e.count, s.seq
	e.count += weight
	s.counters[key] = e
	heap.Fix(&s.heap, 0)
	return gone, true
}

// Item is a key with its count, which is at most Error too high.
type Item[K comparable] struct {
	Key   K     `json:"key"`
	Count int64 `json:"count"`
	Error int64 `json:"error,omitempty"`
}

// Get returns a key's count. For a key that is not there it is the most that the
// key can have had, all of it error.
func (s *Sketch[K]) Get(key K) Item[K] {
	if e := s.counters[key]; e != nil {
		return Item[K]{key, e.count, e.error}
	}
	return Item[K]{key, s.maxUntracked(), s.maxUntracked()}
}

// Has tells whether a key is kept.
func (s *Sketch[K]) Has(key K) bool { return s.counters[key] != nil }

// restore fills an empty sketch with what was told of one: its keys, the most that
// any other key may have had, and the weight of all.
func (s *Sketch[K]) restore(items []Item[K], least, total int64) {
	for _, it := range items[:min(len(items), s.capacity)] {
		s.seq++
		e := &counter[K]{key: it.Key, count: it.Count, error: it.Error, seq: s.seq}
		s.counters[it.Key] = e
		heap.Push(&s.heap, e)
	}
	s.baseError, s.total = least, total
}

// Total returns the weight of all keys together, exactly.
func (s *Sketch[K]) Total() int64 { return s.total }

// Len returns how many keys are kept.
func (s *Sketch[K]) Len() int { return len(s.heap) }

// Top returns up to n keys, the heaviest first.
func (s *Sketch[K]) Top(n int) []Item[K] {
	all := slices.Clone(s.heap)
	slices.SortFunc(all, func(a, b *counter[K]) int { return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.seq, b.seq)) })
	out := make([]Item[K], 0, min(n, len(all)))
	for _, e := range all[:min(n, len(all))] {
		out = append(out, Item[K]{e.key, e.count, e.error})
	}
	return out
}

// Merge adds all that another sketch knows. The bounds hold for the sum where the
// two have the same room: a key that only one of them has may have had up to the
// lightest count of the other, which is added to its count and its error.
func (s *Sketch[K]) Merge(o *Sketch[K]) {
	mine, theirs := s.maxUntracked(), o.maxUntracked()
	total := s.total + o.total
	type sum struct{ count, error int64 }
	order := make([]K, 0, len(s.heap)+len(o.heap))
	sums := make(map[K]sum, len(s.heap)+len(o.heap))
	for _, e := range s.byAge() {
		x := sum{e.count, e.error}
		if f := o.counters[e.key]; f != nil {
			x.count, x.error = x.count+f.count, x.error+f.error
		} else {
			x.count, x.error = x.count+theirs, x.error+theirs
		}
		sums[e.key] = x
		order = append(order, e.key)
	}
	for _, e := range o.byAge() {
		if s.counters[e.key] == nil {
			sums[e.key] = sum{e.count + mine, e.error + mine}
			order = append(order, e.key)
		}
	}
	slices.SortStableFunc(order, func(a, b K) int { return cmp.Compare(sums[b].count, sums[a].count) })
	s.heap, s.counters = s.heap[:0], make(map[K]*counter[K], s.capacity)
	for _, k := range order[:min(len(order), s.capacity)] {
		s.seq++
		e := &counter[K]{key: k, count: sums[k].count, error: sums[k].error, seq: s.seq}
		s.counters[k] = e
		heap.Push(&s.heap, e)
	}
	s.baseError, s.total = 0, total
	if len(order) <= s.capacity {
		s.baseError = mine + theirs
	}
}

// maxUntracked is the most that a key which is not kept can have had.
func (s *Sketch[K]) maxUntracked() int64 {
	if len(s.heap) < s.capacity {
		return s.baseError
	}
	return max(s.heap[0].count, s.baseError)
}

func (s *Sketch[K]) byAge() []*counter[K] {
	all := slices.Clone(s.heap)
	slices.SortFunc(all, func(a, b *counter[K]) int { return cmp.Compare(a.seq, b.seq) })
	return all
}

type counterHeap[K comparable] []*counter[K]

func (h counterHeap[K]) Len() int { return len(h) }
func (h counterHeap[K]) Less(i, j int) bool {
	return h[i].count < h[j].count || h[i].count == h[j].count && h[i].seq < h[j].seq
}
func (h counterHeap[K]) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex = i; h[j].heapIndex = j }
func (h *counterHeap[K]) Push(x any)   { e := x.(*counter[K]); e.heapIndex = len(*h); *h = append(*h, e) }
func (h *counterHeap[K]) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
