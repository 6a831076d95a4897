package gateway

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"testing"
	"time"
)

// BenchmarkHandOver compares the ways of handing an event to the one owner of the
// decisions: the lock that is used, and a goroutine with a channel, its peer.
func BenchmarkHandOver(b *testing.B) {
	cfg := dispatch.Config{Peers: 1, Classes: []dispatch.Class{{Aim: time.Second, Deadline: 2 * time.Second}}, Plans: []dispatch.Plan{{Weight: 1}}}
	x, err := forwarder.New(forwarder.Config{
		Choice: cfg, Seed: 1, ConnsPerNode: 8,
		Streams: 4, IdleFor: time.Second, MaxAge: time.Minute, Connect: time.Second, MaxCalls: 8,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("lock", func(b *testing.B) {
		c := newCore(x)
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				c.tell(nil, forwarder.Gone{ID: 1})
			}
		})
	})
	b.Run("goroutine", func(b *testing.B) {
		type ask struct {
			ev   forwarder.Event
			done chan struct{}
		}
		in := make(chan ask, 256)
		go func() {
			for a := range in {
				x.Handle(0, a.ev)
				a.done <- struct{}{}
			}
		}()
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			done := make(chan struct{}, 1)
			for pb.Next() {
				in <- ask{forwarder.Gone{ID: 1}, done}
				<-done
			}
		})
		close(in)
	})
}
