package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// The cost of a decision by backlog and by number of nodes: at most a logarithm of the one,
// nothing of the other.
func BenchmarkDecision(b *testing.B) {
	for _, nodes := range []int{10, 1000} {
		for _, backlog := range []int{0, 100, 10000} {
			b.Run(fmt.Sprintf("nodes=%d/backlog=%d", nodes, backlog), func(b *testing.B) {
				cfg := testConfig()
				cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = time.Hour, 2*time.Hour
				d, _ := New(cfg, 1)
				l := EndpointUpdate{Kind: Snapshot}
				for i := range nodes {
					l.Nodes = append(l.Nodes, Node{ID: NodeID(fmt.Sprint("n", i)), Shard: Shard(i)})
				}
				d.Handle(0, l)
				id := RequestID(0)
				ask := func() {
					id++
					d.Handle(time.Second, Request{
						ID: id, Plan: 1, Volume: VolumeID(fmt.Sprint("v", id%500)),
						Shard: 0, Units: 1, Dispatchers: 1, Timeout: 2 * time.Hour,
					})
				}
				for range backlog {
					ask()
				}
				for b.Loop() {
					ask()
					d.Handle(time.Second, ClientCanceled{id})
				}
			})
		}
	}
}

// State is bounded: fresh keys, volumes and replaced nodes are forgotten.
func TestStateIsBounded(t *testing.T) {
	r := newRig(t, testConfig())
	for i := range 20000 {
		name := string(rune('a'+i%26)) + time.Duration(i).String()
		if i%100 == 0 {
			r.updateEndpoints(Snapshot, Node{ID: NodeID(name), Shard: 0}, Node{ID: "n1", Shard: 1})
		}
		id, acts := r.request(Request{Shard: 0, Class: i % 3, Plan: i % 2, Key: name, Volume: VolumeID(name)})
		if outcomeOf(acts, id) == "sent" {
			r.complete(id, 0, OK)
		}
		r.advance(20 * ms)
	}
	d := r.d
	if len(d.requests) > 50 || len(d.keyQueues) > 50 || len(d.volumes) > 4000 || len(d.nodes) > 5 || d.timers.Len() > 500 ||
		len(d.budgetRequests) > 300 || len(d.nodeOrder) > 5 {
		t.Errorf("kept: %d requests, %d keys, %d volumes, %d nodes, %d tasks, %d taken", len(d.requests), len(d.keyQueues),
			len(d.volumes), len(d.nodes), d.timers.Len(), len(d.budgetRequests))
	}
}
