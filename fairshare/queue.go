package fairshare

const (
	minRingSize = 4  // capacity of the first buffer, in items
	maxKeptRing = 64 // largest buffer, in items, that an empty ring keeps for reuse
)

// ring is a FIFO queue in a circular buffer. The buffer grows as needed and is reused.
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
	if r.len == 0 && len(r.buf) > maxKeptRing {
		r.buf = nil
		r.head = 0
	}
	return x
}

// These constants number the classes of items within a flow.
const (
	inProgress  = iota // items of Push
	notStarted         // items of PushNew
	itemClasses        // number of classes
)

// itemQueue holds the items of one flow in two classes. Each class is a FIFO queue. The
// classes share the flow's service by start-time fair queuing, as the flows share the loop.
type itemQueue[T any] struct {
	rings       [itemClasses]ring[T]
	tags        [itemClasses]float64 // start tag of the next service of each class
	len         int
	servedClass int // class of the last item that was popped
}

// push adds an item to a class.
func (q *itemQueue[T]) push(class int, x T) {
	if q.rings[class].len == 0 { // the class was idle and must not have accumulated credit
		q.tags[class] = max(q.tags[class], q.tags[q.servedClass])
	}
	q.rings[class].push(x)
	q.len++
}

// pop removes and returns the first item of the class with the smaller tag. The queue must
// not be empty.
func (q *itemQueue[T]) pop() T {
	q.servedClass = inProgress
	if q.rings[inProgress].len == 0 || q.rings[notStarted].len > 0 && q.tags[notStarted] < q.tags[inProgress] {
		q.servedClass = notStarted
	}
	q.len--
	return q.rings[q.servedClass].pop()
}

// charge adds the cost of a service to the tag of the class that was served last. It resets
// the tags if the queue is empty, so that they do not grow without bound.
func (q *itemQueue[T]) charge(cost, inProgressWeight float64) {
	if q.len == 0 {
		q.tags = [itemClasses]float64{}
	}
	if q.servedClass == inProgress {
		cost /= inProgressWeight
	}
	q.tags[q.servedClass] += cost
}
