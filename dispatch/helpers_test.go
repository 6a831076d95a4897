package dispatch

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig is a made-up site with every rule on.
func testConfig() Config {
	return Config{
		Me: 0, Peers: 2, Cancel: true, MaxRetryAfter: time.Second, MaxAttempts: 3,
		Round:      2 * ms,
		UsualUnits: 2, LargestUnits: 8,
		Classes: []Class{
			{Name: "look", Aim: 200 * ms, Deadline: time.Second, Worth: 2, Effect: Safe},
			{
				Name: "put", Aim: 300 * ms, Deadline: 1500 * ms, Worth: 2, Effect: Keyed, Group: GroupShard,
				Window: 800 * ms, InTurn: true,
			},
			{Name: "pay", Aim: 300 * ms, Deadline: 1500 * ms, Worth: 2, Effect: Unsafe},
		},
		Plans: []Plan{
			{Name: "small", Reserve: 5, Weight: 1, Price: 1, Limit: 30, Burst: 40, Slack: 8},
			{Name: "large", Reserve: 30, Weight: 3, Price: 1},
		},
		Cold:   ColdRule{From: 0.2, WarmUp: 10 * time.Second, Multiple: 2.5, Span: time.Second, YoungLimit: 20},
		Budget: BudgetRule{Free: 2, Ratio: 0.1, Span: 5 * time.Second},
		Settle: 150 * ms,
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
	r.list(Persisted, Node{ID: "n0", Shard: 0}, Node{ID: "n1", Shard: 1})
	r.now += 20 * time.Second // parts of limits have filled
	r.do(Fired{"wake"})
	return r
}

func (r *rig) do(e Event) []Action { return r.d.Handle(r.now, e) }

func (r *rig) list(k ListKind, ns ...Node) []Action { return r.do(NodeList{Kind: k, Nodes: ns}) }

// ask sends a request, filling what the test leaves out.
func (r *rig) ask(q Request) (RequestID, []Action) {
	r.id++
	q.ID = r.id
	if q.Units == 0 {
		q.Units = 1
	}
	if q.Volume == "" {
		q.Volume = "v"
	}
	if q.Hosts == 0 {
		q.Hosts = 1
	}
	if q.Left == 0 {
		q.Left = r.d.cfg.Classes[q.Class].Deadline
	}
	return q.ID, r.do(q)
}

// at moves the clock and fires the timer.
func (r *rig) at(dt time.Duration) []Action {
	r.now += dt
	return r.do(Fired{"wake"})
}

func (r *rig) end(id RequestID, attempt int, s Status) []Action {
	return r.do(Outcome{ID: id, Attempt: attempt, Status: s, Concluded: s == Served, Took: 5 * ms})
}

func attempts(acts []Action) (ids []RequestID) {
	for _, a := range acts {
		if a, ok := a.(Attempt); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// kindOf is the last answer or attempt for id among acts.
func kindOf(acts []Action, id RequestID) string {
	kind := "held"
	for _, a := range acts {
		switch a := a.(type) {
		case Attempt:
			if a.ID == id {
				kind = "sent"
			}
		case Refuse:
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

func want(t *testing.T, what string, acts []Action, id RequestID, kind string) {
	t.Helper()
	if got := kindOf(acts, id); got != kind {
		t.Errorf("%s: %s, want %s (%v)", what, got, kind, acts)
	}
}
