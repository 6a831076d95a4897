package dispatch

import (
	"testing"
	"time"
)

func TestConcurrencyLimit(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.d.nodes["n0"]
	if d := r.d.concurrencyLimit(n); d != 4 {
		t.Errorf("unknown node: D = %d, want 4", d)
	}
	complete := func(gap time.Duration, count int, result AttemptResult) {
		for range count {
			r.now += gap
			r.d.now = r.now
			r.d.recordResult(n, &request{Request: Request{Units: 1}}, AttemptCompleted{Result: result, Latency: 5 * ms})
		}
	}
	complete(20*ms, 1500, OK) // 50 a second x 0.2 s = 10
	if d := r.d.concurrencyLimit(n); d < 9 || d > 11 {
		t.Errorf("50 a second, objective 200 ms: D = %d, want about 10", d)
	}
	complete(ms, 20000, OK)
	if d := r.d.concurrencyLimit(n); d != 32 {
		t.Errorf("1000 a second: D = %d, want the ceiling 32", d)
	}
	r.now += time.Minute
	complete(ms, 1000, ServerError) // quick errors are no completions
	if d := r.d.concurrencyLimit(n); d != 4 {
		t.Errorf("quick errors only: D = %d, want 4", d)
	}
}

// With many dispatchers the limit starts at one: four each would overload a node before any of
// them sees it. A node without congestion gets one more, until a response shows congestion.
func TestConcurrencyFloorAmongManyDispatchers(t *testing.T) {
	for dispatchers, floor := range map[int]int{1: 4, 8: 4, 10: 3, 40: 1, 200: 1} {
		cfg := testConfig()
		cfg.DispatcherCount = dispatchers
		r := newRig(t, cfg)
		n := r.d.nodes["n0"]
		if got := r.d.concurrencyLimit(n); got != floor {
			t.Errorf("%d dispatchers: D %d, want %d", dispatchers, got, floor)
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
			t.Errorf("%d dispatchers, uncongested node: D %d, want %d", dispatchers, got, want)
		}
		complete(150 * ms)
		if got := r.d.concurrencyLimit(n); got != floor {
			t.Errorf("%d dispatchers, after congestion: D %d, want %d", dispatchers, got, floor)
		}
	}
}
