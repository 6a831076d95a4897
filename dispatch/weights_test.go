package dispatch

import (
	"math"
	"testing"
)

func TestWeightController(t *testing.T) {
	for _, c := range []struct {
		name  string
		usage []float64 // one usage figure before each interval
		want  float64
	}{
		{"no figure keeps the weight", []float64{0, 0}, 3},
		{"a figure is 1 + percent", []float64{101}, 3},
		{"double usage halves the weight", []float64{201}, 1.5},
		{"one figure acts once", []float64{201, 0, 0}, 1.5},
		{"lower bound", []float64{1001, 1001}, 3 * minWeightFactor},
		{"upper bound", []float64{2, 2}, 3 * maxWeightFactor},
		{"recovers when usage falls", []float64{201, 51}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, testConfig())
			v := r.d.volumeFor(Request{Volume: "v", Plan: unlimitedPlan, Dispatchers: 1})
			for _, u := range c.usage {
				if u > 0 {
					v.quotaUsage = u
				}
				r.advance(controllerInterval)
			}
			if math.Abs(v.weight-c.want) > 1e-9 {
				t.Errorf("weight after the figures: got %g, want %g", v.weight, c.want)
			}
		})
	}
}

func TestRepeatedQuotaUsageActsOncePerInterval(t *testing.T) {
	r := newFixture(t, testConfig())
	for range 6 {
		id, _ := r.request(Request{Shard: 0, Plan: unlimitedPlan})
		r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 5 * ms, QuotaUsage: 301})
	}
	r.advance(controllerInterval)
	weight := r.d.volumes["v"].weight
	if r.advance(controllerInterval); r.d.volumes["v"].weight != weight || weight >= 3 {
		t.Errorf("weight after two intervals: got %g, then %g, want one step down from 3", weight, r.d.volumes["v"].weight)
	}
}
