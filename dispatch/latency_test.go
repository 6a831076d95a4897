package dispatch

import (
	"math"
	"testing"
	"time"
)

// The requests in flight that a node reports bound the delay that one response shows. An
// implausible report counts as none.
func TestLoadReportBoundsDelay(t *testing.T) {
	delayAfter := func(report LoadReport, latency time.Duration) time.Duration {
		r := newRig(t, testConfig())
		for range 2 {
			id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
			r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 10 * ms})
		}
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: latency, LoadReport: report})
		return r.d.expectedDelay(r.d.nodes["n0"])
	}
	alone := delayAfter(nil, 150*ms)
	if few := delayAfter(LoadReport{"inflight": 1}, 150*ms); few >= alone/2 {
		t.Errorf("delay %v with one in flight, %v without a report", few, alone)
	}
	if idle := delayAfter(LoadReport{"inflight": 0}, 150*ms); idle > ms {
		t.Errorf("delay %v at an idle node", idle)
	}
	if many := delayAfter(LoadReport{"inflight": 50}, 10*ms); many < 20*ms {
		t.Errorf("delay %v with 50 in flight", many)
	}
	for _, bad := range []LoadReport{{"inflight": -3}, {"inflight": math.NaN()}, {"inflight": math.Inf(1)}, {"other": 7}, {}} {
		if got := delayAfter(bad, 150*ms); got != alone {
			t.Errorf("%v: delay %v, want %v as without a report", bad, got, alone)
		}
	}
}

func TestSilenceCountsAsDelay(t *testing.T) {
	r := newRig(t, testConfig())
	for range 4 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.complete(id, 0, OK)
	}
	r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(400 * ms) // no response for twice the objective
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	expectOutcome(t, "a probe", acts, id, sent)
	id, acts = r.request(Request{Shard: 0, Plan: unlimitedPlan})
	expectOutcome(t, "a silent node", acts, id, rejected)
	r.advance(400 * ms)
	id, acts = r.request(Request{Shard: 0, Plan: unlimitedPlan})
	expectOutcome(t, "a node that does not respond to the probe", acts, id, rejected)
	id, acts = r.request(Request{Shard: 1, Plan: unlimitedPlan})
	expectOutcome(t, "another node", acts, id, sent)
}
