package dispatch

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// These constants are indexes into Config.Classes of testConfig.
const (
	idempotentClass = iota
	deduplicatedClass
	nonIdempotentClass
)

// These constants are indexes into Config.Plans of testConfig.
const (
	limitedPlan = iota
	unlimitedPlan
)

// testConfig returns settings in which every rule is enabled.
func testConfig() Config {
	return Config{
		DispatcherIndex: 0,
		DispatcherCount: 2,
		CancelAttempts:  true,
		MaxRetryAfter:   time.Second,
		MaxAttempts:     3,
		RoundTrip:       2 * ms,
		MeanUnits:       2,
		MaxUnits:        8,
		Classes: []Class{
			{
				Name:             "idempotent",
				LatencyObjective: 200 * ms,
				Deadline:         time.Second,
				Idempotency:      Idempotent,
			},
			{
				Name:             "deduplicated",
				LatencyObjective: 300 * ms,
				Deadline:         1500 * ms,
				Idempotency:      Deduplicated,
				DedupScope:       DedupPerShard,
				DedupWindow:      800 * ms,
				Ordered:          true,
			},
			{
				Name:             "non-idempotent",
				LatencyObjective: 300 * ms,
				Deadline:         1500 * ms,
				Idempotency:      NonIdempotent,
			},
		},
		Plans: []Plan{
			{Name: "limited", Reserve: 5, Weight: 1, RateLimit: 30, Burst: 40, Slack: 8},
			{Name: "unlimited", Reserve: 30, Weight: 3},
		},
		SlowStart: SlowStart{
			InitialCapacity: 0.2,
			WarmUp:          10 * time.Second,
			OverloadFactor:  2.5,
			Window:          time.Second,
			InitialUnits:    20,
		},
		RetryBudget: RetryBudget{MinRetries: 2, Ratio: 0.1, Window: 5 * time.Second},
		Quiescence:  150 * ms,
	}
}

// fixture is a test fixture: a dispatcher with two nodes, n0 for shard 0 and n1 for shard 1.
type fixture struct {
	t   *testing.T
	d   *Dispatcher
	now time.Duration
	id  RequestID
}

func newFixture(t *testing.T, cfg Config) *fixture {
	t.Helper()
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{t: t, d: d, now: time.Hour}
	r.updateEndpoints(Cached, Node{ID: "n0", Shard: 0}, Node{ID: "n1", Shard: 1})
	r.now += 20 * time.Second // the shares of the token buckets are full after 20 s
	r.handle(TimerFired{"wake"})
	return r
}

func (r *fixture) handle(e Event) []Action { return r.d.Handle(r.now, e) }

func (r *fixture) updateEndpoints(k EndpointUpdateKind, ns ...Node) []Action {
	return r.handle(EndpointUpdate{Kind: k, Nodes: ns})
}

// request passes q to the dispatcher as a new request, with defaults for the fields that the
// test leaves empty. It returns the ID of the request and the resulting actions.
func (r *fixture) request(q Request) (RequestID, []Action) {
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

// advance moves the clock forward by dt and fires the dispatcher's timer.
func (r *fixture) advance(dt time.Duration) []Action {
	r.now += dt
	return r.handle(TimerFired{"wake"})
}

// complete ends an attempt with the given result. The client gets its answer if the result is OK.
func (r *fixture) complete(id RequestID, attempt int, result AttemptResult) []Action {
	return r.handle(AttemptCompleted{
		ID:        id,
		Attempt:   attempt,
		Result:    result,
		Responded: result == OK,
		Latency:   5 * ms,
	})
}

// sentRequests returns the IDs of the requests that acts send to a node.
func sentRequests(acts []Action) (ids []RequestID) {
	for _, a := range acts {
		if a, ok := a.(SendAttempt); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// outcome says what happened to a request in the actions that follow one event.
type outcome string

const (
	pending  outcome = "pending" // no action concerns the request
	sent     outcome = "sent"
	rejected outcome = "rejected"
	failed   outcome = "failed"
)

// outcomeOf returns the outcome of a request, which the last action for the request decides.
func outcomeOf(actions []Action, id RequestID) outcome {
	last := pending
	for _, a := range actions {
		switch a := a.(type) {
		case SendAttempt:
			if a.ID == id {
				last = sent
			}
		case Reject:
			if a.ID == id {
				last = rejected
			}
		case Fail:
			if a.ID == id {
				last = failed
			}
		}
	}
	return last
}

// expectOutcome checks the outcome of a request. The failure message names the step of the
// test.
func expectOutcome(t *testing.T, step string, actions []Action, id RequestID, want outcome) {
	t.Helper()
	if got := outcomeOf(actions, id); got != want {
		t.Errorf("%s: got outcome %s, want %s (actions: %v)", step, got, want, actions)
	}
}
