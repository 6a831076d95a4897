package dispatch

import (
	"math"
	"testing"
	"time"
)

// It counts against limit and reserve, and what makes no sense changes nothing.
func TestCostCorrectionChargesQuota(t *testing.T) {
	r := newRig(t, testConfig())
	r.request(Request{Shard: 0, Plan: 0})
	v := r.d.volumes["v"]
	r.d.refillTokens(v)
	tokens, reserve := v.tokens, v.reserve
	for _, u := range []float64{math.NaN(), math.Inf(1), -1e9, 1e9} {
		r.handle(CostCorrection{Volume: "v", Node: "n0", Units: u})
	}
	r.handle(CostCorrection{Volume: "v", Node: "none", Units: 1})
	r.handle(CostCorrection{Volume: "none", Node: "n0", Units: 1})
	if v.tokens != tokens || v.reserve != reserve {
		t.Errorf("tokens %g from %g, reserve %g from %g", v.tokens, tokens, v.reserve, reserve)
	}
	r.handle(CostCorrection{Volume: "v", Node: "n0", Units: 3})
	if math.Abs(v.tokens-(tokens-3)) > 1e-9 || math.Abs(v.reserve-(reserve-3)) > 1e-9 {
		t.Errorf("tokens %g from %g, reserve %g from %g, want 3 less", v.tokens, tokens, v.reserve, reserve)
	}
	r.handle(CostCorrection{Volume: "v", Node: "n0", Units: -8})
	if v.tokens > v.tokenCapacity() {
		t.Errorf("more tokens than the store holds")
	}
}

func TestRateLimit(t *testing.T) {
	r := newRig(t, testConfig())
	sent := 0.0
	for range 100 {
		id, acts := r.request(Request{Shard: 0, Plan: 0, Units: 4, Dispatchers: 2})
		if outcomeOf(acts, id) == "sent" {
			sent += 4
			r.complete(id, 0, OK)
		}
	}
	if part := (40.0 + 8) / 2; sent > part || sent < part-4 {
		t.Errorf("%g units at once, want nearly this host's part %g", sent, part)
	}
	id, acts := r.request(Request{Shard: 0, Plan: 0, Units: 30, Dispatchers: 2})
	expectOutcome(t, "more than the limit can ever hold", acts, id, "refused")
	t.Run("a restarted dispatcher starts with nothing", func(t *testing.T) {
		d, _ := New(testConfig(), 1)
		d.Handle(time.Hour, EndpointUpdate{Kind: Cached, Nodes: []Node{{ID: "n0"}}})
		acts := d.Handle(time.Hour, Request{ID: 1, Volume: "v", Units: 1, Dispatchers: 1, Timeout: time.Second})
		expectOutcome(t, "at once", acts, 1, "held")
		acts = d.Handle(time.Hour+40*ms, TimerFired{"wake"})
		expectOutcome(t, "once the rate has brought a unit", acts, 1, "sent")
	})
	t.Run("fewer hosts do not enlarge the part", func(t *testing.T) {
		r := newRig(t, testConfig())
		r.request(Request{Volume: "w", Dispatchers: 4, Shard: 0})
		r.request(Request{Volume: "w", Dispatchers: 1, Shard: 0})
		if h := r.d.volumes["w"].dispatchers; h != 4 {
			t.Errorf("hosts = %d, want 4", h)
		}
	})
}
