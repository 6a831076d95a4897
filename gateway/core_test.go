package gateway

import (
	"testing"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// BenchmarkHandOver compares two ways to pass an event to the forwarder: under a lock, as core does, and
// through a channel to a goroutine.
func BenchmarkHandOver(b *testing.B) {
	f := newTestForwarder(b)
	b.Run("lock", func(b *testing.B) {
		c := newCore(f)
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				c.handle(nil, forwarder.ClientCanceled{ID: 1})
			}
		})
	})
	b.Run("goroutine", func(b *testing.B) { benchmarkGoroutine(b, f) })
}

func newTestForwarder(tb testing.TB) *forwarder.Forwarder {
	tb.Helper()
	f, err := forwarder.New(forwarder.Config{
		Dispatch: dispatch.Config{
			DispatcherCount: 1,
			Classes:         []dispatch.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second}},
			Plans:           []dispatch.Plan{{Weight: 1}},
		},
		Seed:              1,
		MaxConnsPerNode:   8,
		MaxStreamsPerNode: 4,
		IdleTimeout:       time.Second,
		MaxConnAge:        time.Minute,
		DialTimeout:       time.Second,
		MaxRequests:       8,
	})
	if err != nil {
		tb.Fatal(err)
	}
	return f
}

// benchmarkGoroutine measures a goroutine that owns the forwarder and receives events through a channel.
func benchmarkGoroutine(b *testing.B, f *forwarder.Forwarder) {
	b.Helper()
	type request struct {
		ev   forwarder.Event
		done chan struct{}
	}
	requests := make(chan request, 256)
	go func() {
		for r := range requests {
			f.Handle(0, r.ev)
			r.done <- struct{}{}
		}
	}()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		done := make(chan struct{}, 1)
		for pb.Next() {
			requests <- request{ev: forwarder.ClientCanceled{ID: 1}, done: done}
			<-done
		}
	})
	close(requests)
}
