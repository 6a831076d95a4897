package fairshare

// flowHeap is a binary heap of flows. Each flow stores its index in the heap. Unlike
// container/heap, flowHeap makes no interface calls.
type flowHeap[T any] struct {
	flows []*Flow[T]
	less  func(a, b *Flow[T]) bool
}

func (h *flowHeap[T]) push(f *Flow[T]) {
	f.heapIndex = len(h.flows)
	h.flows = append(h.flows, f)
	h.up(f.heapIndex)
}

func (h *flowHeap[T]) remove(f *Flow[T]) {
	i, last := f.heapIndex, len(h.flows)-1
	h.flows[i] = h.flows[last]
	h.flows[i].heapIndex = i
	h.flows[last] = nil
	h.flows = h.flows[:last]
	if i < last {
		h.fix(h.flows[i])
	}
}

// fix restores the heap order after the key of f has changed.
func (h *flowHeap[T]) fix(f *Flow[T]) {
	i := f.heapIndex
	h.up(i)
	if f.heapIndex == i {
		h.down(i)
	}
}

func (h *flowHeap[T]) up(i int) {
	f := h.flows[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(f, h.flows[parent]) {
			break
		}
		h.set(i, h.flows[parent])
		i = parent
	}
	h.set(i, f)
}

func (h *flowHeap[T]) down(i int) {
	f := h.flows[i]
	for {
		child := 2*i + 1
		if child >= len(h.flows) {
			break
		}
		if child+1 < len(h.flows) && h.less(h.flows[child+1], h.flows[child]) {
			child++
		}
		if !h.less(h.flows[child], f) {
			break
		}
		h.set(i, h.flows[child])
		i = child
	}
	h.set(i, f)
}

func (h *flowHeap[T]) set(i int, f *Flow[T]) {
	h.flows[i] = f
	f.heapIndex = i
}
