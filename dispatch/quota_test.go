package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestCostCorrectionChargesQuota checks that a cost correction is charged to the rate limit and
// the reserve of the volume. An implausible correction changes nothing.
func TestCostCorrectionChargesQuota(t *testing.T) {
	r := newFixture(t, testConfig())
	r.request(Request{Shard: 0, Plan: limitedPlan})
	v := r.d.volumes["v"]
	r.d.refillTokens(v)
	tokens, reserve := v.tokens, v.reserve
	for _, u := range []float64{math.NaN(), math.Inf(1), -1e9, 1e9} {
		r.handle(CostCorrection{Volume: "v", Node: "n0", Units: u})
	}
	r.handle(CostCorrection{Volume: "v", Node: "none", Units: 1})
	r.handle(CostCorrection{Volume: "none", Node: "n0", Units: 1})
	if v.tokens != tokens || v.reserve != reserve {
		t.Errorf("after implausible corrections: got tokens %g, want %g; got reserve %g, want %g", v.tokens, tokens, v.reserve, reserve)
	}
	r.handle(CostCorrection{Volume: "v", Node: "n0", Units: 3})
	if math.Abs(v.tokens-(tokens-3)) > 1e-9 || math.Abs(v.reserve-(reserve-3)) > 1e-9 {
		t.Errorf("after a correction of 3 units: got tokens %g from %g, reserve %g from %g, want 3 less of each", v.tokens, tokens, v.reserve, reserve)
	}
	r.handle(CostCorrection{Volume: "v", Node: "n0", Units: -8})
	if v.tokens > v.tokenCapacity() {
		t.Errorf("got more tokens than the bucket can hold after a refund, want at most its capacity")
	}
}

func TestRateLimit(t *testing.T) {
	r := newFixture(t, testConfig())
	units := 0.0
	for range 100 {
		id, acts := r.request(Request{Shard: 0, Plan: limitedPlan, Units: 4, Dispatchers: 2})
		if outcomeOf(acts, id) == sent {
			units += 4
			r.complete(id, 0, OK)
		}
	}
	if share := (40.0 + 8) / 2; units > share || units < share-4 {
		t.Errorf("units sent at once: got %g, want nearly this dispatcher's share %g", units, share)
	}
	id, acts := r.request(Request{Shard: 0, Plan: limitedPlan, Units: 30, Dispatchers: 2})
	expectOutcome(t, "request that costs more than the bucket can hold", acts, id, rejected)
	t.Run("a restarted dispatcher starts without tokens", func(t *testing.T) {
		d, _ := New(testConfig(), 1)
		d.Handle(time.Hour, EndpointUpdate{Kind: Cached, Nodes: []Node{{ID: "n0"}}})
		acts := d.Handle(time.Hour, Request{ID: 1, Volume: "v", Units: 1, Dispatchers: 1, Timeout: time.Second})
		expectOutcome(t, "request at the start, with an empty bucket", acts, 1, pending)
		acts = d.Handle(time.Hour+40*ms, TimerFired{"wake"})
		expectOutcome(t, "request after the rate limit has added a unit", acts, 1, sent)
	})
	t.Run("fewer dispatchers do not enlarge the share", func(t *testing.T) {
		r := newFixture(t, testConfig())
		r.request(Request{Volume: "w", Dispatchers: 4, Shard: 0})
		r.request(Request{Volume: "w", Dispatchers: 1, Shard: 0})
		if got := r.d.volumes["w"].dispatchers; got != 4 {
			t.Errorf("number of dispatchers of the volume: got %d, want 4", got)
		}
	})
}

// TestRateLimitWithMoreDispatchersThanConfigured checks that the rate limit is divided by the
// number of dispatchers that requests report for a volume, even if fewer dispatchers are
// configured.
func TestRateLimitWithMoreDispatchersThanConfigured(t *testing.T) {
	r := newFixture(t, testConfig()) // rate limit 30; burst plus slack is 48, divided into 12 shares
	units := 0.0
	for range 40 {
		id, _ := r.request(Request{Shard: 0, Dispatchers: 12})
		if q := r.d.requests[id]; q != nil && q.outstanding {
			units++
			r.complete(id, 0, OK)
		}
	}
	if units > 48.0/12 {
		t.Errorf("units sent at once: got %g, want at most a twelfth of the bucket", units)
	}
}

// TestHeldRequestsStayWithinTheRateLimit guards against a volume that exceeds its rate limit where requests arrive
// long after they were sent, as when a partition ends: what is out and may arrive together must fit the bucket.
func TestHeldRequestsStayWithinTheRateLimit(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotentClass].LatencyObjective = time.Hour
	cfg.Classes[idempotentClass].Deadline = time.Hour
	r := newFixture(t, cfg)
	const nodes = 40 // each has the first request of its shard in flight
	list := make([]Node, nodes)
	for i := range list {
		list[i] = Node{ID: NodeID(fmt.Sprint("n", i)), Shard: Shard(i)}
	}
	r.updateEndpoints(Snapshot, list...)
	capacity := cfg.Plans[limitedPlan].Burst + cfg.Plans[limitedPlan].Slack
	for shard := range nodes {
		r.request(Request{Shard: Shard(shard), Plan: limitedPlan, Units: 4})
		r.advance(100 * ms)
		if out := r.outstandingUnits(); out > capacity {
			t.Fatalf("got %g units out that may arrive together, want at most the bucket of %g", out, capacity)
		}
	}
}

// outstandingUnits returns the cost of all requests with an attempt in flight.
func (r *fixture) outstandingUnits() (sum float64) {
	for _, q := range r.d.requests {
		if q.outstanding {
			sum += q.Units
		}
	}
	return sum
}
