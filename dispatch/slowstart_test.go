package dispatch

import (
	"testing"
	"time"
)

// These constants are the throughputs that the tests use.
const (
	usualThroughput = 40.0                             // units per second that the shard served before its node started
	evenShare       = 20.0 / 2 * slowStartSafetyFactor // units per window from this dispatcher's share of InitialUnits
)

// newSlowStartFixture returns a fixture whose node n0 has just started. Before that, the shard of n0
// had the given throughput.
func newSlowStartFixture(t *testing.T, throughput float64) *fixture {
	t.Helper()
	r := newFixture(t, testConfig())
	r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, Started: r.now})
	history := 1 - decayFactor(r.now-r.d.startedAt, shardThroughputWindow)
	served := r.d.throughputOf(0)
	served.sum = throughput * shardThroughputWindow.Seconds() * history
	served.updatedAt = r.now
	return r
}

// unitsSent passes requests for n0 to the dispatcher for a while. It returns the units of those
// that are sent to n0.
func unitsSent(r *fixture, duration time.Duration) (units float64) {
	for end := r.now + duration; r.now < end; {
		_, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan, Units: 3})
		acts = append(acts, r.advance(10*ms)...)
		for waiting := sentRequests(acts); len(waiting) > 0; waiting = waiting[1:] {
			units += 3
			acts := r.complete(waiting[0], r.d.requests[waiting[0]].attempts-1, ServerError)
			waiting = append(waiting, sentRequests(acts)...)
		}
	}
	return units
}

func TestSlowStartBoundsUnits(t *testing.T) {
	units := unitsSent(newSlowStartFixture(t, 0), 3*time.Second)
	if units > 3*1.5*evenShare+6 || units == 0 {
		t.Errorf("units sent without history: got %g, want above 0 and at most the even share", units)
	}
	limit := evenShare + usualThroughput*2.5*0.2*slowStartSafetyFactor
	units = unitsSent(newSlowStartFixture(t, usualThroughput), time.Second)
	if units > limit+6 || units < limit/2 {
		t.Errorf("units sent in the first second: got %g, want about %g by the shard's usual throughput", units, limit)
	}
}

func TestSlowStartEndsAfterWarmUp(t *testing.T) {
	r := newFixture(t, testConfig())
	r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, Started: r.now - 12*time.Second})
	id, acts := r.request(Request{Shard: 0, Units: 8, Plan: unlimitedPlan})
	expectOutcome(t, "request to a warm node", acts, id, sent)
}

func TestUsualThroughputOutlivesNodeAndDecays(t *testing.T) {
	r := newSlowStartFixture(t, usualThroughput)
	r.updateEndpoints(Delta,
		Node{ID: "n0", Shard: 0, State: Removed}, Node{ID: "n9", Shard: 0, Started: r.now})
	got := r.d.usualThroughput(r.d.nodes["n9"])
	if got < usualThroughput*0.99 || got > usualThroughput*1.01 {
		t.Errorf("usual throughput at the new node: got %g, want %g", got, usualThroughput)
	}
	r.now += shardThroughputWindow
	r.handle(TimerFired{"wake"})
	if got := r.d.usualThroughput(r.d.nodes["n9"]); got > usualThroughput/2 {
		t.Errorf("usual throughput one window later: got %g, want at most half of the earlier one", got)
	}
}

func TestRestartedDispatcherStartsInDebt(t *testing.T) {
	const seeds = 40
	meanDebt := 0.0
	for seed := range uint64(seeds) {
		d, err := New(testConfig(), seed)
		if err != nil {
			t.Fatal(err)
		}
		starting := Node{ID: "n0", Started: time.Hour - time.Second}
		d.Handle(time.Hour, EndpointUpdate{Kind: Cached, Nodes: []Node{starting}})
		d.slowStartReadyAt(d.nodes["n0"], 0)
		meanDebt += d.nodes["n0"].slowStartDebt / seeds
	}
	if meanDebt < 0.7 || meanDebt > 1.3 {
		t.Errorf("mean debt of restarted dispatchers: got %g units, want half a mean request", meanDebt)
	}
}

func TestSlowStartPrefersReservedWork(t *testing.T) {
	for _, c := range []struct {
		name    string
		reserve float64
		want    outcome
	}{
		{"within the reserve", 0, sent},
		{"beyond the reserve", -20, rejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newSlowStartFixture(t, usualThroughput)
			n := r.d.nodes["n0"]
			r.d.slowStartReadyAt(n, 0)
			n.slowStartDebt = -0.5 // 0.5 units, less than a mean request, are paid in advance
			id, _ := r.request(Request{Shard: 1, Plan: unlimitedPlan})
			r.complete(id, 0, OK)
			if c.reserve < 0 {
				r.d.volumes["v"].reserve = c.reserve
			}
			id, acts := r.request(Request{Shard: 0, Plan: unlimitedPlan})
			expectOutcome(t, c.name, acts, id, c.want)
		})
	}
}

func TestSlowStartAmongManyDispatchers(t *testing.T) {
	cfg := testConfig()
	cfg.DispatcherCount = 200 // more than SlowStart.InitialUnits
	r := newFixture(t, cfg)
	r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, Started: r.now})
	if units := unitsSent(r, time.Second); units > 3 {
		t.Errorf("units sent without history: got %g, want at most one request", units)
	}
}
