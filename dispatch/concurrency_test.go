package dispatch

import (
	"testing"
	"time"
)

func TestConcurrencyLimit(t *testing.T) {
	r := newFixture(t, testConfig())
	n := r.d.nodes["n0"]
	if got := r.d.concurrencyLimit(n); got != 4 {
		t.Errorf("limit of a node without completions: got D = %d, want 4", got)
	}
	complete := func(gap time.Duration, count int, result AttemptResult) {
		for range count {
			r.now += gap
			r.d.now = r.now
			r.d.recordResult(n, &request{Request: Request{Units: 1}}, AttemptCompleted{Result: result, Latency: 5 * ms})
		}
	}
	complete(20*ms, 1500, OK) // 50 per second x 0.2 s = 10 in flight
	if got := r.d.concurrencyLimit(n); got < 9 || got > 11 {
		t.Errorf("50 completions per second, objective 200 ms: got D = %d, want 9 to 11", got)
	}
	complete(ms, 20000, OK)
	if got := r.d.concurrencyLimit(n); got != 32 {
		t.Errorf("1000 completions per second: got D = %d, want the maximum 32", got)
	}
	r.now += time.Minute
	complete(ms, 1000, ServerError) // quick errors do not count as completions
	if got := r.d.concurrencyLimit(n); got != 4 {
		t.Errorf("only quick errors: got D = %d, want 4", got)
	}
}

// TestConcurrencyFloorAmongManyDispatchers checks that the concurrency limit starts at one if
// there are many dispatchers. Four requests from each dispatcher would overload a node before
// any dispatcher sees the overload. At a node without congestion the limit is one higher, until
// a response shows congestion.
func TestConcurrencyFloorAmongManyDispatchers(t *testing.T) {
	for dispatchers, floor := range map[int]int{1: 4, 8: 4, 10: 3, 40: 1, 200: 1} {
		cfg := testConfig()
		cfg.DispatcherCount = dispatchers
		r := newFixture(t, cfg)
		n := r.d.nodes["n0"]
		if got := r.d.concurrencyLimit(n); got != floor {
			t.Errorf("%d dispatchers, node without responses: got D = %d, want %d", dispatchers, got, floor)
		}
		complete := func(latency time.Duration) {
			id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
			r.now += latency
			r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: latency})
			r.advance(10 * time.Second)
		}
		complete(5 * ms)
		complete(5 * ms)
		if got, want := r.d.concurrencyLimit(n), min(4, floor+1); got != want {
			t.Errorf("%d dispatchers, node without congestion: got D = %d, want %d", dispatchers, got, want)
		}
		complete(150 * ms)
		if got := r.d.concurrencyLimit(n); got != floor {
			t.Errorf("%d dispatchers, after congestion: got D = %d, want %d", dispatchers, got, floor)
		}
	}
}
