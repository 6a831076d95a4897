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
	room  int
	least int64 // no key that is not kept has had more, where that was told with the sketch
	total int64
	at    map[K]*slot[K]
	heap  slotHeap[K]
	seq   uint64
}

type slot[K comparable] struct {
	key          K
	count, error int64
	seq          uint64 // ties are broken by age: the result does not depend on a map's order
	pos          int
}

// NewSketch returns an empty sketch with room for k keys.
func NewSketch[K comparable](k int) *Sketch[K] {
	return &Sketch[K]{room: max(k, 1), at: make(map[K]*slot[K])}
}

// Add adds weight to a key. It returns the key that gave way to it, if one did.
func (s *Sketch[K]) Add(key K, weight int64) (gone K, gave bool) {
	if weight <= 0 {
		return gone, false
	}
	s.total += weight
	if e := s.at[key]; e != nil {
		e.count += weight
		heap.Fix(&s.heap, e.pos)
		return gone, false
	}
	s.seq++
	if len(s.heap) < s.room {
		e := &slot[K]{key: key, count: s.least + weight, error: s.least, seq: s.seq}
		s.at[key] = e
		heap.Push(&s.heap, e)
		return gone, false
	}
	e := s.heap[0] // the lightest gives way; what it had may have been the newcomer's
	gone = e.key
	delete(s.at, gone)
	e.key, e.error, e.seq = key, e.count, s.seq
	e.count += weight
	s.at[key] = e
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
	if e := s.at[key]; e != nil {
		return Item[K]{key, e.count, e.error}
	}
	return Item[K]{key, s.floor(), s.floor()}
}

// Has tells whether a key is kept.
func (s *Sketch[K]) Has(key K) bool { return s.at[key] != nil }

// load fills an empty sketch with what was told of one: its keys, the most that
// any other key may have had, and the weight of all.
func (s *Sketch[K]) load(items []Item[K], least, total int64) {
	for _, it := range items[:min(len(items), s.room)] {
		s.seq++
		e := &slot[K]{key: it.Key, count: it.Count, error: it.Error, seq: s.seq}
		s.at[it.Key] = e
		heap.Push(&s.heap, e)
	}
	s.least, s.total = least, total
}

// Total returns the weight of all keys together, exactly.
func (s *Sketch[K]) Total() int64 { return s.total }

// Len returns how many keys are kept.
func (s *Sketch[K]) Len() int { return len(s.heap) }

// Top returns up to n keys, the heaviest first.
func (s *Sketch[K]) Top(n int) []Item[K] {
	all := slices.Clone(s.heap)
	slices.SortFunc(all, func(a, b *slot[K]) int { return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.seq, b.seq)) })
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
	mine, theirs := s.floor(), o.floor()
	total := s.total + o.total
	type sum struct{ count, error int64 }
	order := make([]K, 0, len(s.heap)+len(o.heap))
	sums := make(map[K]sum, len(s.heap)+len(o.heap))
	for _, e := range s.byAge() {
		x := sum{e.count, e.error}
		if f := o.at[e.key]; f != nil {
			x.count, x.error = x.count+f.count, x.error+f.error
		} else {
			x.count, x.error = x.count+theirs, x.error+theirs
		}
		sums[e.key] = x
		order = append(order, e.key)
	}
	for _, e := range o.byAge() {
		if s.at[e.key] == nil {
			sums[e.key] = sum{e.count + mine, e.error + mine}
			order = append(order, e.key)
		}
	}
	slices.SortStableFunc(order, func(a, b K) int { return cmp.Compare(sums[b].count, sums[a].count) })
	s.heap, s.at = s.heap[:0], make(map[K]*slot[K], s.room)
	for _, k := range order[:min(len(order), s.room)] {
		s.seq++
		e := &slot[K]{key: k, count: sums[k].count, error: sums[k].error, seq: s.seq}
		s.at[k] = e
		heap.Push(&s.heap, e)
	}
	s.least, s.total = 0, total
	if len(order) <= s.room {
		s.least = mine + theirs
	}
}

// floor is the most that a key which is not kept can have had.
func (s *Sketch[K]) floor() int64 {
	if len(s.heap) < s.room {
		return s.least
	}
	return max(s.heap[0].count, s.least)
}

func (s *Sketch[K]) byAge() []*slot[K] {
	all := slices.Clone(s.heap)
	slices.SortFunc(all, func(a, b *slot[K]) int { return cmp.Compare(a.seq, b.seq) })
	return all
}

type slotHeap[K comparable] []*slot[K]

func (h slotHeap[K]) Len() int { return len(h) }
func (h slotHeap[K]) Less(i, j int) bool {
	return h[i].count < h[j].count || h[i].count == h[j].count && h[i].seq < h[j].seq
}
func (h slotHeap[K]) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].pos = i; h[j].pos = j }
func (h *slotHeap[K]) Push(x any)   { e := x.(*slot[K]); e.pos = len(*h); *h = append(*h, e) }
func (h *slotHeap[K]) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
