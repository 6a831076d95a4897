package fairshare

const (
	minRingSize = 4  // items
	keptRing    = 64 // items; a longer ring is released when it becomes empty
)

// ring is a FIFO queue in a buffer that grows as needed and is reused.
type ring[T any] struct {
	buf  []T
	head int
	len  int
}

func (r *ring[T]) push(x T) {
	if r.len == len(r.buf) {
		r.grow()
	}
	r.buf[(r.head+r.len)%len(r.buf)] = x
	r.len++
}

func (r *ring[T]) grow() {
	buf := make([]T, max(minRingSize, 2*r.len))
	for i := range r.len {
		buf[i] = r.buf[(r.head+i)%len(r.buf)]
	}
	r.buf = buf
	r.head = 0
}

func (r *ring[T]) pop() T {
	var zero T
	x := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.len--
	if r.len == 0 && len(r.buf) > keptRing {
		r.buf = nil
		r.head = 0
	}
	return x
}

// Classes of items within a flow.
const (
	inProgress = iota
	notStarted
	itemClasses
)

// itemQueue holds the items of one flow in two classes, each first in, first out. The classes share
// the flow's service by start-time fair queuing, one level below that of the flows.
type itemQueue[T any] struct {
	rings   [itemClasses]ring[T]
	tags    [itemClasses]float64 // of the next service of each class
	len     int
	serving int // class of the last item that was popped
}

func (q *itemQueue[T]) push(class int, x T) {
	if q.rings[class].len == 0 { // an idle class accumulates no credit
		q.tags[class] = max(q.tags[class], q.tags[q.serving])
	}
	q.rings[class].push(x)
	q.len++
}

func (q *itemQueue[T]) pop() T {
	q.serving = inProgress
	if q.rings[inProgress].len == 0 || q.rings[notStarted].len > 0 && q.tags[notStarted] < q.tags[inProgress] {
		q.serving = notStarted
	}
	q.len--
	return q.rings[q.serving].pop()
}

// charge adds a cost to the class that was served last. Tags are reset when the queue is empty, so
// that they do not grow without bound.
func (q *itemQueue[T]) charge(cost, inProgressWeight float64) {
	if q.len == 0 {
		q.tags = [itemClasses]float64{}
	}
	if q.serving == inProgress {
		cost /= inProgressWeight
	}
	q.tags[q.serving] += cost
}
