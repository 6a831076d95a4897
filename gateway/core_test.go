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
	cfg := dispatch.Config{DispatcherCount: 1, Classes: []dispatch.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second}}, Plans: []dispatch.Plan{{Weight: 1}}}
	x, err := forwarder.New(forwarder.Config{
		Dispatch: cfg, Seed: 1, MaxConnsPerNode: 8,
		MaxStreamsPerNode: 4, IdleTimeout: time.Second, MaxConnAge: time.Minute, DialTimeout: time.Second, MaxRequests: 8,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("lock", func(b *testing.B) {
		c := newCore(x)
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				c.handle(nil, forwarder.ClientCanceled{ID: 1})
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
				in <- ask{forwarder.ClientCanceled{ID: 1}, done}
				<-done
			}
		})
		close(in)
	})
}
