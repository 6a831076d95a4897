package dispatch

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig is a made-up site with every rule on.
func testConfig() Config {
	return Config{
		DispatcherIndex: 0, DispatcherCount: 2, CancelAttempts: true, MaxRetryAfter: time.Second, MaxAttempts: 3,
		RoundTrip: 2 * ms,
		MeanUnits: 2, MaxUnits: 8,
		Classes: []Class{
			{Name: "look", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 2, Idempotency: Idempotent},
			{
				Name: "put", LatencyObjective: 300 * ms, Deadline: 1500 * ms, PriorityWeight: 2, Idempotency: Deduplicated, DedupScope: DedupPerShard,
				DedupWindow: 800 * ms, Ordered: true,
			},
			{Name: "pay", LatencyObjective: 300 * ms, Deadline: 1500 * ms, PriorityWeight: 2, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{Name: "small", Reserve: 5, Weight: 1, Price: 1, RateLimit: 30, Burst: 40, Slack: 8},
			{Name: "large", Reserve: 30, Weight: 3, Price: 1},
		},
		SlowStart:   SlowStart{InitialCapacity: 0.2, WarmUp: 10 * time.Second, OverloadFactor: 2.5, Window: time.Second, InitialUnits: 20},
		RetryBudget: RetryBudget{MinRetries: 2, Ratio: 0.1, Window: 5 * time.Second},
		Quiescence:  150 * ms,
	}
}

type rig struct {
	t   *testing.T
	d   *Dispatcher
	now time.Duration
	id  RequestID
}

func newRig(t *testing.T, cfg Config) *rig {
	t.Helper()
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, d: d, now: time.Hour}
	r.updateEndpoints(Cached, Node{ID: "n0", Shard: 0}, Node{ID: "n1", Shard: 1})
	r.now += 20 * time.Second // parts of limits have filled
	r.handle(TimerFired{"wake"})
	return r
}

func (r *rig) handle(e Event) []Action { return r.d.Handle(r.now, e) }

func (r *rig) updateEndpoints(k EndpointUpdateKind, ns ...Node) []Action {
	return r.handle(EndpointUpdate{Kind: k, Nodes: ns})
}

// request sends a request, filling what the test leaves out.
func (r *rig) request(q Request) (RequestID, []Action) {
	r.id++
	q.ID = r.id
	if q.Units == 0 {
		q.Units = 1
	}
	if q.Volume == "" {
		q.Volume = "v"
	}
	if q.Dispatchers == 0 {
		q.Dispatchers = 1
	}
	if q.Timeout == 0 {
		q.Timeout = r.d.cfg.Classes[q.Class].Deadline
	}
	return q.ID, r.handle(q)
}

// advance moves the clock and fires the timer.
func (r *rig) advance(dt time.Duration) []Action {
	r.now += dt
	return r.handle(TimerFired{"wake"})
}

func (r *rig) complete(id RequestID, attempt int, s AttemptResult) []Action {
	return r.handle(AttemptCompleted{ID: id, Attempt: attempt, Result: s, Responded: s == OK, Latency: 5 * ms})
}

func sentRequests(acts []Action) (ids []RequestID) {
	for _, a := range acts {
		if a, ok := a.(SendAttempt); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// outcomeOf is the last answer or attempt for id among acts.
func outcomeOf(acts []Action, id RequestID) string {
	kind := "held"
	for _, a := range acts {
		switch a := a.(type) {
		case SendAttempt:
			if a.ID == id {
				kind = "sent"
			}
		case Reject:
			if a.ID == id {
				kind = "refused"
			}
		case Fail:
			if a.ID == id {
				kind = "failed"
			}
		}
	}
	return kind
}

func expectOutcome(t *testing.T, what string, acts []Action, id RequestID, kind string) {
	t.Helper()
	if got := outcomeOf(acts, id); got != kind {
		t.Errorf("%s: %s, want %s (%v)", what, got, kind, acts)
	}
}
