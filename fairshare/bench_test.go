package fairshare

import (
	stdheap "container/heap"
	"fmt"
	"testing"
	"time"
)

// A turn among so many flows that all have more, beside a heap of the standard library
// with the same tags, and a round robin that knows no weights.
func BenchmarkTurn(b *testing.B) {
	for _, n := range []int{2, 64, 4096} {
		b.Run(fmt.Sprintf("share/%d", n), func(b *testing.B) {
			s := scheduler(b, Config{Window: time.Second, Flows: n}, 0)
			for i := range n {
				f := s.Flow(0, fmt.Sprint(i), FlowConfig{Weight: float64(1 + i%7)}, NewSharedUsage(4))
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
		})
		b.Run(fmt.Sprintf("container-heap/%d", n), func(b *testing.B) {
			var h plain
			for i := range n {
				stdheap.Push(&h, &tagged{weight: float64(1 + i%7)})
			}
			b.ReportAllocs()
			for b.Loop() {
				x := stdheap.Pop(&h).(*tagged)
				x.tag += 50 / x.weight
				stdheap.Push(&h, x)
			}
		})
		b.Run(fmt.Sprintf("round-robin/%d", n), func(b *testing.B) {
			r := ring[int]{}
			for i := range n {
				r.push(i)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.push(r.pop())
			}
		})
	}
}

type tagged struct{ tag, weight float64 }

type plain []*tagged

func (h plain) Len() int           { return len(h) }
func (h plain) Less(i, j int) bool { return h[i].tag < h[j].tag }
func (h plain) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *plain) Push(x any)        { *h = append(*h, x.(*tagged)) }
func (h *plain) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}
