package dispatch

import (
	"testing"
	"time"
)

func TestConcurrencyLimit(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.d.nodes["n0"]
	if d := r.d.concurrencyLimit(n); d != 4 {
		t.Errorf("unheard node: D = %d, want 4", d)
	}
	served := func(gap time.Duration, count int, s AttemptResult) {
		for range count {
			r.now += gap
			r.d.now = r.now
			r.d.recordResult(n, &request{Request: Request{Units: 1}}, AttemptCompleted{Result: s, Latency: 5 * ms})
		}
	}
	served(20*ms, 1500, OK) // 50 a second x 0.2 s = 10
	if d := r.d.concurrencyLimit(n); d < 9 || d > 11 {
		t.Errorf("50 a second, aim 200 ms: D = %d, want about 10", d)
	}
	served(ms, 20000, OK)
	if d := r.d.concurrencyLimit(n); d != 32 {
		t.Errorf("1000 a second: D = %d, want the ceiling 32", d)
	}
	r.now += time.Minute
	served(ms, 1000, ServerError) // quick errors are no completions
	if d := r.d.concurrencyLimit(n); d != 4 {
		t.Errorf("quick errors only: D = %d, want 4", d)
	}
}

// With many dispatchers D starts at one: four each would flood a node before any of them
// sees it. A calm node gets one more, until an answer is crowded.
func TestConcurrencyFloorAmongManyDispatchers(t *testing.T) {
	for peers, floor := range map[int]int{1: 4, 8: 4, 10: 3, 40: 1, 200: 1} {
		cfg := testConfig()
		cfg.DispatcherCount = peers
		r := newRig(t, cfg)
		n := r.d.nodes["n0"]
		if got := r.d.concurrencyLimit(n); got != floor {
			t.Errorf("%d dispatchers: D %d, want %d", peers, got, floor)
		}
		answer := func(took time.Duration) {
			id, _ := r.request(Request{Shard: 0, Plan: 1})
			r.now += took
			r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: took})
			r.advance(10 * time.Second)
		}
		answer(5 * ms)
		answer(5 * ms)
		if got, calm := r.d.concurrencyLimit(n), min(4, floor+1); got != calm {
			t.Errorf("%d dispatchers, calm node: D %d, want %d", peers, got, calm)
		}
		answer(150 * ms)
		if got := r.d.concurrencyLimit(n); got != floor {
			t.Errorf("%d dispatchers, after a crowded answer: D %d, want %d", peers, got, floor)
		}
	}
}
