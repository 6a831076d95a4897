package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures the cost of a decision. The cost should grow with the logarithm of
// the backlog, and not with the number of nodes.
func BenchmarkDecision(b *testing.B) {
	for _, nodes := range []int{10, 1000} {
		for _, backlog := range []int{0, 100, 10000} {
			b.Run(fmt.Sprintf("nodes=%d/backlog=%d", nodes, backlog), func(b *testing.B) {
				benchmarkDecision(b, nodes, backlog)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, nodes, backlog int) {
	b.Helper()
	cfg := testConfig()
	cfg.Classes[0].LatencyObjective = time.Hour
	cfg.Classes[0].Deadline = 2 * time.Hour
	d, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	endpoints := EndpointUpdate{Kind: Snapshot}
	for i := range nodes {
		endpoints.Nodes = append(endpoints.Nodes, Node{ID: NodeID(fmt.Sprint("n", i)), Shard: Shard(i)})
	}
	d.Handle(0, endpoints)
	id := RequestID(0)
	request := func() {
		id++
		d.Handle(time.Second, Request{
			ID: id, Plan: unlimitedPlan, Volume: VolumeID(fmt.Sprint("v", id%500)),
			Shard: 0, Units: 1, Dispatchers: 1, Timeout: 2 * time.Hour,
		})
	}
	for range backlog {
		request()
	}
	for b.Loop() {
		request()
		d.Handle(time.Second, ClientCanceled{id})
	}
}

// TestStateIsBounded checks that a dispatcher deletes unused keys, idle volumes and replaced
// nodes, so that its state stays bounded.
func TestStateIsBounded(t *testing.T) {
	r := newFixture(t, testConfig())
	for i := range 20000 {
		name := string(rune('a'+i%26)) + time.Duration(i).String()
		if i%100 == 0 {
			r.updateEndpoints(Snapshot, Node{ID: NodeID(name), Shard: 0}, Node{ID: "n1", Shard: 1})
		}
		id, acts := r.request(Request{Shard: 0, Class: i % 3, Plan: i % 2, Key: name, Volume: VolumeID(name)})
		if outcomeOf(acts, id) == sent {
			r.complete(id, 0, OK)
		}
		r.advance(20 * ms)
	}
	d := r.d
	if len(d.requests) > 50 || len(d.keyQueues) > 50 || len(d.volumes) > 4000 || len(d.nodes) > 5 || d.timers.Len() > 500 ||
		len(d.budgetRequests) > 300 || len(d.nodeOrder) > 5 {
		t.Errorf("got more state than expected: %d requests, %d keys, %d volumes, %d nodes, %d timers, %d budget requests; want at most 50, 50, 4000, 5, 500 and 300", len(d.requests), len(d.keyQueues),
			len(d.volumes), len(d.nodes), d.timers.Len(), len(d.budgetRequests))
	}
}
