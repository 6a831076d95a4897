package dispatch

import (
	"testing"
	"time"
)

// A request that has its answer leaves nothing behind until its aim: with long aims
// the agenda would else hold every request of the last minutes.
func TestAnsweredRequestsLeaveNoTimers(t *testing.T) {
	d, err := New(Config{
		DispatcherCount: 1, MeanUnits: 1, MaxUnits: 1, MaxRetryAfter: time.Second,
		Classes: []Class{{LatencyObjective: time.Hour, Deadline: 2 * time.Hour, PriorityWeight: 1, Ordered: true}}, Plans: []Plan{{Weight: 1, Reserve: 1000, Price: 1}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	d.Handle(now, EndpointUpdate{Kind: Snapshot, Nodes: []Node{{ID: "a"}}})
	for i := range RequestID(1000) {
		now += time.Millisecond
		d.Handle(now, Request{ID: 2*i + 1, Volume: "v", Key: "k", Units: 1, Dispatchers: 1, Timeout: 2 * time.Hour})
		d.Handle(now, Request{ID: 2*i + 2, Volume: "v", Key: "k", Units: 1, Dispatchers: 1, Timeout: 2 * time.Hour}) // waits for its turn
		d.Handle(now, ClientCanceled{ID: 2*i + 2})
		d.Handle(now, AttemptCompleted{ID: 2*i + 1, Node: "a", Result: OK, Responded: true, Latency: time.Millisecond})
	}
	if n := d.timers.Len(); n > 10 {
		t.Fatalf("%d tasks in the agenda", n)
	}
}
