package fairshare

// ring is a queue that keeps its room.
type ring[T any] struct {
	a    []T
	head int
	n    int
}

func (r *ring[T]) push(x T) {
	if r.n == len(r.a) {
		a := make([]T, max(4, 2*r.n))
		for i := range r.n {
			a[i] = r.a[(r.head+i)%len(r.a)]
		}
		r.a, r.head = a, 0
	}
	r.a[(r.head+r.n)%len(r.a)] = x
	r.n++
}

func (r *ring[T]) pop() T {
	var none T
	x := r.a[r.head]
	r.a[r.head] = none
	r.head = (r.head + 1) % len(r.a)
	if r.n--; r.n == 0 && len(r.a) > 64 { // a crowd has gone
		r.a, r.head = nil, 0
	}
	return x
}

// lot holds what waits in one flow: what is under way apart from what is new, each in
// the order of its coming. Between the two the same start-time fair queuing holds, one
// floor lower.
type lot[T any] struct {
	rings  [2]ring[T]
	tags   [2]float64 // of the next turn of each
	n      int
	turned int // whose turn is, or was the last
}

const (
	underWay = iota
	fresh
)

func (l *lot[T]) push(which int, x T) {
	if l.rings[which].n == 0 { // who had nothing to do has saved up nothing
		l.tags[which] = max(l.tags[which], l.tags[l.turned])
	}
	l.rings[which].push(x)
	l.n++
}

func (l *lot[T]) pop() T {
	l.turned = underWay
	if l.rings[underWay].n == 0 || l.rings[fresh].n > 0 && l.tags[fresh] < l.tags[underWay] {
		l.turned = fresh
	}
	l.n--
	return l.rings[l.turned].pop()
}

// charge has the last turn's part pay for it. Tags start anew where nothing waits, so that
// they do not grow without end.
func (l *lot[T]) charge(cost, finishing float64) {
	if l.n == 0 {
		l.tags = [2]float64{}
	}
	if l.turned == underWay {
		cost /= finishing
	}
	l.tags[l.turned] += cost
}

// heap is a binary heap of flows that knows where each is.
type heap[T any] struct {
	a    []*Flow[T]
	less func(a, b *Flow[T]) bool
}

func (h *heap[T]) push(f *Flow[T]) {
	f.pos = len(h.a)
	h.a = append(h.a, f)
	h.up(f.pos)
}

func (h *heap[T]) remove(f *Flow[T]) {
	i, last := f.pos, len(h.a)-1
	h.a[i] = h.a[last]
	h.a[i].pos = i
	h.a[last] = nil
	h.a = h.a[:last]
	if i < last {
		h.fix(h.a[i])
	}
}

// fix puts a flow whose tag has changed in its place.
func (h *heap[T]) fix(f *Flow[T]) {
	i := f.pos
	h.up(i)
	if f.pos == i {
		h.down(i)
	}
}

func (h *heap[T]) up(i int) {
	f := h.a[i]
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(f, h.a[p]) {
			break
		}
		h.a[i] = h.a[p]
		h.a[i].pos = i
		i = p
	}
	h.a[i], f.pos = f, i
}

func (h *heap[T]) down(i int) {
	f := h.a[i]
	for {
		c := 2*i + 1
		if c >= len(h.a) {
			break
		}
		if c+1 < len(h.a) && h.less(h.a[c+1], h.a[c]) {
			c++
		}
		if !h.less(h.a[c], f) {
			break
		}
		h.a[i] = h.a[c]
		h.a[i].pos = i
		i = c
	}
	h.a[i], f.pos = f, i
}
