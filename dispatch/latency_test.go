package dispatch

import (
	"math"
	"testing"
	"time"
)

// The requests that a node reports in hand bound what one unlucky, or lucky, answer says of
// its delay; a report that makes no sense is as good as none.
func TestLoadReportBoundsDelay(t *testing.T) {
	after := func(rep LoadReport, took time.Duration) time.Duration {
		r := newRig(t, testConfig())
		for range 2 {
			id, _ := r.request(Request{Shard: 0, Plan: 1})
			r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 10 * ms})
		}
		id, _ := r.request(Request{Shard: 0, Plan: 1})
		r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: took, LoadReport: rep})
		return r.d.expectedDelay(r.d.nodes["n0"])
	}
	alone := after(nil, 150*ms)
	if few := after(LoadReport{"inflight": 1}, 150*ms); few >= alone/2 {
		t.Errorf("delay %v with one in hand, %v without a report", few, alone)
	}
	if idle := after(LoadReport{"inflight": 0}, 150*ms); idle > ms {
		t.Errorf("delay %v at an idle node", idle)
	}
	if many := after(LoadReport{"inflight": 50}, 10*ms); many < 20*ms {
		t.Errorf("delay %v with 50 in hand", many)
	}
	for _, bad := range []LoadReport{{"inflight": -3}, {"inflight": math.NaN()}, {"inflight": math.Inf(1)}, {"other": 7}, {}} {
		if got := after(bad, 150*ms); got != alone {
			t.Errorf("%v: delay %v, want %v as without a report", bad, got, alone)
		}
	}
}

func TestSilenceCountsAsDelay(t *testing.T) {
	r := newRig(t, testConfig())
	for range 4 {
		id, _ := r.request(Request{Shard: 0, Plan: 1})
		r.complete(id, 0, OK)
	}
	r.request(Request{Shard: 0, Plan: 1})
	r.advance(400 * ms) // the one out has had no answer for twice the aim
	id, acts := r.request(Request{Shard: 0, Plan: 1})
	expectOutcome(t, "one that finds out whether only an answer was lost", acts, id, "sent")
	id, acts = r.request(Request{Shard: 0, Plan: 1})
	expectOutcome(t, "a silent node", acts, id, "refused")
	r.advance(400 * ms)
	id, acts = r.request(Request{Shard: 0, Plan: 1})
	expectOutcome(t, "a node that was silent to both", acts, id, "refused")
	id, acts = r.request(Request{Shard: 1, Plan: 1})
	expectOutcome(t, "another node", acts, id, "sent")
}
