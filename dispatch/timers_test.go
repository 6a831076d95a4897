package dispatch

import (
	"testing"
	"time"
)

// TestAnsweredRequestsLeaveNoTimers checks that no timer of a completed request stays in the queue
// until its latency objective. With long objectives, such timers would keep every request of
// the last minutes in the timer queue.
func TestAnsweredRequestsLeaveNoTimers(t *testing.T) {
	d, err := New(Config{
		DispatcherCount: 1,
		MeanUnits:       1,
		MaxUnits:        1,
		MaxRetryAfter:   time.Second,
		Classes: []Class{{
			LatencyObjective: time.Hour,
			Deadline:         2 * time.Hour,
			Ordered:          true,
		}},
		Plans: []Plan{{Weight: 1, Reserve: 1000}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	d.Handle(now, EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	for i := range RequestID(1000) {
		now += time.Millisecond
		running, waiting := 2*i+1, 2*i+2
		for _, id := range []RequestID{running, waiting} {
			d.Handle(now, Request{ID: id, Volume: "v", Key: "k", Units: 1, Dispatchers: 1, Timeout: 2 * time.Hour})
		}
		d.Handle(now, ClientCanceled{ID: waiting})
		d.Handle(now, AttemptCompleted{
			ID: running, Node: "a", Result: OK, Responded: true, Latency: time.Millisecond,
		})
	}
	if n := d.timers.Len(); n > 10 {
		t.Fatalf("got %d pending timers after all requests are complete, want at most 10", n)
	}
}
