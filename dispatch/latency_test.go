package dispatch

import (
	"math"
	"testing"
	"time"
)

// TestLoadReportBoundsDelay checks that the reported number of requests in flight at a node
// bounds the delay that one response shows. An implausible report is ignored.
func TestLoadReportBoundsDelay(t *testing.T) {
	delayAfter := func(report LoadReport, latency time.Duration) time.Duration {
		r := newFixture(t, testConfig())
		for range 2 {
			id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
			r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 10 * ms})
		}
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: latency, LoadReport: report})
		return r.d.expectedDelay(r.d.nodes["n0"])
	}
	withoutReport := delayAfter(nil, 150*ms)
	if oneInFlight := delayAfter(LoadReport{"inflight": 1}, 150*ms); oneInFlight >= withoutReport/2 {
		t.Errorf("delay with one request in flight: got %v, want less than half of %v, the delay without a report", oneInFlight, withoutReport)
	}
	if noneInFlight := delayAfter(LoadReport{"inflight": 0}, 150*ms); noneInFlight > ms {
		t.Errorf("delay with no request in flight: got %v, want at most 1 ms", noneInFlight)
	}
	if fiftyInFlight := delayAfter(LoadReport{"inflight": 50}, 10*ms); fiftyInFlight < 20*ms {
		t.Errorf("delay with 50 requests in flight: got %v, want at least 20 ms", fiftyInFlight)
	}
	for _, implausible := range []LoadReport{{"inflight": -3}, {"inflight": math.NaN()}, {"inflight": math.Inf(1)}, {"other": 7}, {}} {
		if got := delayAfter(implausible, 150*ms); got != withoutReport {
			t.Errorf("delay with the implausible report %v: got %v, want %v as without a report", implausible, got, withoutReport)
		}
	}
}

func TestSilenceCountsAsDelay(t *testing.T) {
	r := newFixture(t, testConfig())
	for range 4 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.complete(id, 0, OK)
	}
	r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.advance(400 * ms)
	id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	expectOutcome(t, "probe of a silent node", acts, id, sent)
	id, acts = r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: 300 * ms})
	expectOutcome(t, "request with less time than the silence beside the probe", acts, id, rejected)
	id, acts = r.request(Request{Shard: 0, Plan: unlimitedPlan})
	expectOutcome(t, "request with more time than the silence beside the probe", acts, id, pending)
	r.advance(400 * ms)
	id, acts = r.request(Request{Shard: 0, Plan: unlimitedPlan})
	expectOutcome(t, "request to a node that does not respond to the probe", acts, id, rejected)
	id, acts = r.request(Request{Shard: 1, Plan: unlimitedPlan})
	expectOutcome(t, "request to another node", acts, id, sent)
}

// TestOldDelayStaysForgotten checks that an attempt without a response does not bring back a delay that
// was observed long before.
func TestOldDelayStaysForgotten(t *testing.T) {
	r := newFixture(t, testConfig())
	id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
	r.complete(id, 0, OK)
	n := r.d.nodes["n0"]
	n.delay = 10
	n.delayUpdatedAt = r.now
	r.advance(time.Minute)
	id, _ = r.request(Request{Shard: 0, Plan: unlimitedPlan, Timeout: 400 * ms})
	r.now += 400 * ms
	r.complete(id, 0, TimedOut)
	if got := r.d.expectedDelay(n); got == 0 || got > 400*ms {
		t.Errorf("delay after a wait of 400 ms: got %v, want above 0 and at most 400 ms", got)
	}
}
