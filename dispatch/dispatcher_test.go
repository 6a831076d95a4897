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

// TestVolumesAreBounded checks that ever new volumes evict the records of idle ones and that a volume with a
// queued request keeps its record. The record of a volume that is evicted and comes back has no more tokens
// than before.
func TestVolumesAreBounded(t *testing.T) {
	const maxVolumes = 100
	cfg := testConfig()
	cfg.MaxVolumes = maxVolumes
	r := newFixture(t, cfg)
	for i := range 50 * maxVolumes {
		name := VolumeID(time.Duration(i).String())
		id, acts := r.request(Request{Shard: 0, Class: idempotentClass, Plan: i % 2, Volume: name})
		if outcomeOf(acts, id) == sent {
			r.complete(id, 0, OK)
		}
		if n := len(r.d.volumes); n > maxVolumes || n != len(r.d.volumeOrder) {
			t.Fatalf("after %d volumes: got %d records in the map and %d in the list, want at most %d in both",
				i+1, n, len(r.d.volumeOrder), maxVolumes)
		}
		for _, v := range r.d.volumes {
			if v.tokens > v.tokenCapacity() && v.plan.RateLimit > 0 {
				t.Fatalf("volume %s: got %g tokens, want at most %g", v.id, v.tokens, v.tokenCapacity())
			}
		}
		r.advance(10 * ms)
	}
}

// TestVolumesWithoutRoom checks that a request of a new volume is rejected if no record can be deleted.
func TestVolumesWithoutRoom(t *testing.T) {
	cfg := testConfig()
	cfg.MaxVolumes = 1
	r := newFixture(t, cfg)
	first, acts := r.request(Request{Shard: 0, Class: idempotentClass, Plan: limitedPlan, Volume: "first"})
	if got := outcomeOf(acts, first); got != sent {
		t.Fatalf("first request: got %v, want it sent", got)
	}
	second, acts := r.request(Request{Shard: 0, Class: idempotentClass, Plan: limitedPlan, Volume: "second"})
	if got := outcomeOf(acts, second); got != rejected {
		t.Errorf("request of a second volume whose record has no room: got %v, want it rejected", got)
	}
}

// TestRetryBudgetIsBounded checks that a flood of requests does not grow the list of the retry budget without
// bound.
func TestRetryBudgetIsBounded(t *testing.T) {
	r := newFixture(t, testConfig())
	for range maxBudgetRequests + 100 {
		id, acts := r.request(Request{Shard: 0, Class: idempotentClass, Plan: unlimitedPlan, Volume: "v"})
		if outcomeOf(acts, id) == sent {
			r.complete(id, 0, OK)
		}
	}
	if got := len(r.d.budgetRequests); got != maxBudgetRequests {
		t.Errorf("requests in the retry budget: got %d, want %d", got, maxBudgetRequests)
	}
}
