package dispatch

import (
	"fmt"
	"testing"
	"time"
)

func TestSlowStart(t *testing.T) {
	sentOver := func(r *rig, length time.Duration) (sent float64) {
		for end := r.now + length; r.now < end; {
			_, acts := r.request(Request{Shard: 0, Plan: 1, Units: 3})
			acts = append(acts, r.advance(10*ms)...)
			for _, id := range sentRequests(acts) {
				sent += 3
				r.complete(id, 0, ServerError)
			}
		}
		return sent
	}
	start := func(usual float64) *rig {
		r := newRig(t, testConfig())
		r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, Started: r.now})
		u := r.d.throughputOf(0)
		u.sum, u.updatedAt = usual*shardThroughputWindow.Seconds()*(1-decayFactor(r.now-r.d.startedAt, shardThroughputWindow)), r.now
		return r
	}
	even := 20.0 / 2 * slowStartSafetyFactor // a span's even part of what is always borne
	if sent := sentOver(start(0), 3*time.Second); sent > 3*1.5*even+6 || sent == 0 {
		t.Errorf("%g units without history, want above 0 and at most the even part", sent)
	}
	usual := 40.0
	most := even + usual*2.5*0.2*slowStartSafetyFactor
	if sent := sentOver(start(usual), time.Second); sent > most+6 || sent < most/2 {
		t.Errorf("%g units in the first second, want about %g by what the shard usually served", sent, most)
	}
	t.Run("usual service is known of a successor, and fades", func(t *testing.T) {
		r := start(usual)
		r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, State: Removed}, Node{ID: "n9", Shard: 0, Started: r.now})
		if got := r.d.usualThroughput(r.d.nodes["n9"]); got < usual*0.99 || got > usual*1.01 {
			t.Errorf("%g, want %g", got, usual)
		}
		r.now += shardThroughputWindow
		r.handle(TimerFired{"wake"})
		if got := r.d.usualThroughput(r.d.nodes["n9"]); got > usual/2 {
			t.Errorf("%g a span later", got)
		}
	})
	warm := newRig(t, testConfig())
	warm.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, Started: warm.now - 12*time.Second})
	id, acts := warm.request(Request{Shard: 0, Units: 8, Plan: 1})
	expectOutcome(t, "a warm node", acts, id, "sent")
	t.Run("a restarted dispatcher starts in debt", func(t *testing.T) {
		debts := 0.0
		for seed := range uint64(40) {
			d, _ := New(testConfig(), seed)
			d.Handle(time.Hour, EndpointUpdate{Kind: Cached, Nodes: []Node{{ID: "n0", Started: time.Hour - time.Second}}})
			d.slowStartReadyAt(d.nodes["n0"], 0)
			debts += d.nodes["n0"].slowStartDebt / 40
		}
		if debts < 0.7 || debts > 1.3 {
			t.Errorf("a mean debt of %g units, want half a usual request", debts)
		}
	})
	t.Run("reserved work gets the little there is first", func(t *testing.T) {
		for _, beyond := range []bool{false, true} {
			r := start(usual)
			n := r.d.nodes["n0"]
			r.d.slowStartReadyAt(n, 0)
			n.slowStartDebt = -0.5 // less than a usual request
			id, _ := r.request(Request{Shard: 1, Plan: 1})
			r.complete(id, 0, OK)
			if beyond {
				r.d.volumes["v"].reserve = -20
			}
			id, acts := r.request(Request{Shard: 0, Plan: 1})
			expectOutcome(t, fmt.Sprint("beyond the reserve: ", beyond), acts, id, map[bool]string{false: "sent", true: "refused"}[beyond])
		}
	})
	t.Run("one unit for each of many peers", func(t *testing.T) {
		cfg := testConfig()
		cfg.DispatcherCount = 200 // above YoungLimit
		r := newRig(t, cfg)
		r.updateEndpoints(Delta, Node{ID: "n0", Shard: 0, Started: r.now})
		if sent := sentOver(r, time.Second); sent > 3 {
			t.Errorf("%g units without history, want one request at most", sent)
		}
	})
}
