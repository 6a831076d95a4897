package dispatch_test

import (
	"chalkstand/dispatch"
	"fmt"
	"time"
)

// A dispatcher is told of its nodes and of requests, and says what to do. The
// clock is the caller's; it may start anywhere but never goes back.
func Example() {
	d, err := dispatch.New(dispatch.Config{
		Me: 0, Peers: 1, MaxRetryAfter: time.Second, UsualUnits: 2, LargestUnits: 8,
		Classes: []dispatch.Class{{Name: "read", Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1}},
		Plans:   []dispatch.Plan{{Name: "standard", Reserve: 20, Weight: 1, Price: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	show := func(acts []dispatch.Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case dispatch.Attempt:
				fmt.Printf("send %d to %s\n", a.ID, a.Node)
			case dispatch.Refuse:
				fmt.Printf("refuse %d, come back in %v\n", a.ID, a.After)
			case dispatch.Fail:
				fmt.Printf("fail %d\n", a.ID)
			case dispatch.SetTimer:
				// Call Handle(a.At, dispatch.Fired{Token: a.Token}) when it is due.
			}
		}
	}
	show(d.Handle(now, dispatch.NodeList{Kind: dispatch.Complete, Nodes: []dispatch.Node{{ID: "disk-a", Shard: 0}}}))
	now += time.Millisecond
	show(d.Handle(now, dispatch.Request{ID: 1, Volume: "photos", Shard: 0, Units: 2, Hosts: 1, Left: time.Second}))
	show(d.Handle(now, dispatch.Request{ID: 2, Volume: "photos", Shard: 5, Units: 2, Hosts: 1, Left: time.Second}))
	now += 20 * time.Millisecond
	show(d.Handle(now, dispatch.Outcome{
		ID: 1, Node: "disk-a", Status: dispatch.Served, Concluded: true,
		Took: 20 * time.Millisecond,
	}))
	// Output:
	// send 1 to disk-a
	// refuse 2, come back in 200ms
}
