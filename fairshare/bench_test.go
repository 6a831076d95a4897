package fairshare

import (
	"container/heap"
	"fmt"
	"strconv"
	"testing"
	"time"
)

// BenchmarkTurn measures how long it takes to serve one item if 2, 64 or 4096 flows are
// backlogged. For comparison, it measures container/heap with the same tags, and a round
// robin without weights.
func BenchmarkTurn(b *testing.B) {
	for _, n := range []int{2, 64, 4096} {
		b.Run(fmt.Sprintf("share/%d", n), func(b *testing.B) { benchmarkScheduler(b, n) })
		b.Run(fmt.Sprintf("container-heap/%d", n), func(b *testing.B) { benchmarkContainerHeap(b, n) })
		b.Run(fmt.Sprintf("round-robin/%d", n), func(b *testing.B) { benchmarkRoundRobin(b, n) })
	}
}

func benchmarkScheduler(b *testing.B, flows int) {
	b.Helper()
	s := newScheduler(b, Config{Window: time.Second, Flows: flows}, 0)
	for i := range flows {
		f := s.Flow(0, strconv.Itoa(i), FlowConfig{Weight: float64(1 + i%7)}, NewSharedUsage(4))
		for range 4 {
			s.Push(0, f, i)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		i, f, _ := s.Next(0)
		s.Push(0, f, i)
		s.Done(0, f, Cost{Work: 50})
	}
}

func benchmarkContainerHeap(b *testing.B, flows int) {
	b.Helper()
	var h taggedHeap
	for i := range flows {
		heap.Push(&h, &tagged{weight: float64(1 + i%7)})
	}
	b.ReportAllocs()
	for b.Loop() {
		x := heap.Pop(&h).(*tagged)
		x.tag += 50 / x.weight
		heap.Push(&h, x)
	}
}

func benchmarkRoundRobin(b *testing.B, flows int) {
	b.Helper()
	r := ring[int]{}
	for i := range flows {
		r.push(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.push(r.pop())
	}
}

// tagged is a flow that consists of a tag and a weight only.
type tagged struct{ tag, weight float64 }

// taggedHeap implements heap.Interface.
type taggedHeap []*tagged

func (h taggedHeap) Len() int           { return len(h) }
func (h taggedHeap) Less(i, j int) bool { return h[i].tag < h[j].tag }
func (h taggedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *taggedHeap) Push(x any)        { *h = append(*h, x.(*tagged)) }
func (h *taggedHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
