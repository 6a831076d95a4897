package dispatch

import (
	"testing"
	"time"
)

// A run of requests with a long aim waits in its own line, also where D is one: it bars no
// other volume. One with the tightest aim is refused.
func TestLongObjectiveWaitsInItsFlow(t *testing.T) {
	cfg := testConfig()
	cfg.DispatcherCount = 40
	cfg.Classes = append(cfg.Classes, Class{Name: "scan", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 2})
	for class, held := range map[int]bool{3: true, 0: false} {
		r := newRig(t, cfg)
		id, _ := r.request(Request{Shard: 0, Plan: 1, Volume: "w"})
		r.now += 40 * ms
		r.handle(AttemptCompleted{ID: id, Result: OK, Responded: true, Latency: 40 * ms})
		kinds := ""
		for range 4 {
			id, acts := r.request(Request{Shard: 0, Plan: 1, Class: class, Units: 2})
			kinds += outcomeOf(acts, id) + " "
		}
		if want := "sent held held held "; (kinds == want) != held {
			t.Errorf("class %d: %s", class, kinds)
		}
	}
}

// Clients that give up early and repeat at once are answered at once, and cost the others
// neither place, reserve nor budget.
func TestImpatientClientsTakeNothingFromOthers(t *testing.T) {
	r := newRig(t, testConfig())
	id, acts := r.request(Request{Shard: 0, Plan: 1}) // shows how long clients of the class wait
	expectOutcome(t, "patient", acts, id, "sent")
	r.complete(id, 0, OK)
	r.request(Request{Shard: 0, Plan: 1, Volume: "w"})
	v := r.d.volumes["v"]
	reserve := v.reserve
	for range 15 {
		id, acts := r.request(Request{Shard: 0, Plan: 1, Timeout: 60 * ms})
		expectOutcome(t, "impatient", acts, id, "refused")
	}
	if v.reserve != reserve || v.queuedUnits != 0 || len(r.d.budgetRetries) != 0 {
		t.Errorf("reserve %g, was %g; %g units held", v.reserve, reserve, v.queuedUnits)
	}
}
