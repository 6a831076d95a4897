package dispatch_test

import (
	"fmt"
	"time"

	"chalkstand/dispatch"
)

// A dispatcher takes events and returns actions. The caller supplies the time, which may start
// at any value and never goes back.
func Example() {
	d, err := dispatch.New(dispatch.Config{
		DispatcherIndex: 0,
		DispatcherCount: 1,
		MaxRetryAfter:   time.Second,
		MeanUnits:       2,
		MaxUnits:        8,
		Classes: []dispatch.Class{{
			Name:             "read",
			LatencyObjective: 200 * time.Millisecond,
			Deadline:         time.Second,
		}},
		Plans: []dispatch.Plan{{Name: "standard", Reserve: 20, Weight: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	show := func(actions []dispatch.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case dispatch.SendAttempt:
				fmt.Printf("send %d to %s\n", a.ID, a.Node)
			case dispatch.Reject:
				fmt.Printf("reject %d, retry after %v\n", a.ID, a.RetryAfter)
			case dispatch.Fail:
				fmt.Printf("fail %d\n", a.ID)
			case dispatch.SetTimer:
				// The caller calls Handle(a.At, dispatch.TimerFired{Token: a.Token}) when the timer is due.
			}
		}
	}
	show(d.Handle(now, dispatch.EndpointUpdate{Kind: dispatch.Snapshot, Nodes: []dispatch.Node{{ID: "disk-a", Shard: 0}}}))
	now += time.Millisecond
	show(d.Handle(now, dispatch.Request{ID: 1, Volume: "photos", Shard: 0, Units: 2, Dispatchers: 1, Timeout: time.Second}))
	show(d.Handle(now, dispatch.Request{ID: 2, Volume: "photos", Shard: 5, Units: 2, Dispatchers: 1, Timeout: time.Second}))
	now += 20 * time.Millisecond
	show(d.Handle(now, dispatch.AttemptCompleted{
		ID: 1, Node: "disk-a", Result: dispatch.OK, Responded: true,
		Latency: 20 * time.Millisecond,
	}))
	// Output:
	// send 1 to disk-a
	// reject 2, retry after 200ms
}
