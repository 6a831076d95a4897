package modelcheck

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// scenario returns the scenario with the given name, and fails the test if there is none.
func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, err := ScenarioByName(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestEveryOrdering checks that no ordering of events violates a rule. It visits all states of
// the small scenarios, and a limited number of states of the others.
func TestEveryOrdering(t *testing.T) {
	for _, c := range []struct {
		name      string
		maxStates int // number of states to visit; 0 visits all
	}{
		{"window", 0},
		{"body", 0},
		{"tries", 0},
		{"thrift", 0},
		{"upload", 0},
		{"lossy", 20_000},
		{"two", 60_000},
		{"drain", 20_000},
		{"leave", 20_000},
		{"turn", 20_000},
		{"stream", 20_000},
		{"crash", 20_000},
		{"doubt", 20_000},
		{"renew", 20_000},
		{"silent", 0},
		{"loops", 20_000},
		{"shutdown", 0},
		{"limits", 20_000},
	} {
		s := scenario(t, c.name)
		maxStates := max(c.maxStates, (workDivisor-1)*2000) / workDivisor
		r := Search(t.Context(), s, Options{MaxStates: maxStates, Reduce: true})
		t.Log(r)
		if r.Violation != nil {
			Explain(s, r.Path, t.Logf)
			t.Fatalf("search of a scenario: got violation %v, want none", r.Violation)
		}
		if c.maxStates == 0 && workDivisor == 1 && !r.Complete {
			t.Errorf("scenario %s: got an incomplete search, want a complete one", c.name)
		}
	}
}

// TestReductionAndWorkers checks that a search finds the same end states and no violation with
// and without the reduction, and that its result does not depend on the number of workers.
func TestReductionAndWorkers(t *testing.T) {
	s := scenario(t, "window")
	one := Search(t.Context(), s, Options{Reduce: true, Workers: 1})
	three := Search(t.Context(), s, Options{Reduce: true, Workers: 3})
	full := Search(t.Context(), s, Options{})
	if one.States != three.States || one.EndStates != three.EndStates || one.Moves != three.Moves {
		t.Errorf("searches with one and three workers differ, want equal results\none worker:    %v\nthree workers: %v", one, three)
	}
	if full.States < one.States || full.Violation != nil || one.Violation != nil || full.EndStates != one.EndStates {
		t.Errorf("reduced and full search: want equal numbers of end states, no violation, and at least as many states in the full one\nreduced: %v\nfull:    %v", one, full)
	}
}

func TestSearchIsIncompleteWhenCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if r := Search(ctx, scenario(t, "window"), Options{}); r.Complete || r.States != 1 {
		t.Errorf("canceled search: got %v, want an incomplete search with 1 state", r)
	}
}

// TestChecksCanFail shows that the checks of the rules detect violations. It changes the
// settings of the world, while the gateway keeps the original ones. Package lab/mutation tests
// the checks by changing the code of the gateway instead.
func TestChecksCanFail(t *testing.T) {
	for _, c := range []struct {
		scenario, rule string
		disturb        func(*World)
	}{
		{"window", ruleEffects, func(w *World) { w.cfg.Dispatch.Classes[keyedClass].DedupWindow = 20 * ms }},
		{"turn", ruleOrder, func(w *World) { w.cfg.Dispatch.Quiescence = 200 * ms }},
		{"drain", ruleAnswer, func(w *World) { w.wakeAt = math.MaxInt64 }},    // the forwarder's timer never fires
		{"drain", ruleDrain, func(w *World) { w.unusableSince["a"] = w.now }}, // the gateway does not know of the drain
		{"shutdown", ruleAnswer, func(w *World) { w.shuttingDown = true }},    // the gateway does not know of the shutdown
		{"limits", ruleBudget, func(w *World) { w.cfg.Dispatch.RetryBudget.MinRetries = 0 }},
		{"doubt", ruleConnection, func(w *World) {
			for _, conn := range w.conns {
				conn.unusable = true
			}
		}},
	} {
		if !anyWalkViolates(scenario(t, c.scenario), c.rule, c.disturb) {
			t.Errorf("scenario %s: no random walk violates rule %q, want at least one", c.scenario, c.rule)
		}
	}
}

// anyWalkViolates reports whether at least one of many random walks violates a rule. It calls
// disturb on the world before each move.
func anyWalkViolates(s Scenario, rule string, disturb func(*World)) bool {
	const walks, maxMoves = 3000, 200
	for seed := range uint64(walks) {
		w := newWorld(&s)
		w.cfg.Dispatch.Classes = slices.Clone(w.cfg.Dispatch.Classes) // the gateway keeps the original classes
		rng := rand.New(rand.NewPCG(seed, 1))
		for range maxMoves {
			disturb(w)
			m, ok := w.pickMove(rng.IntN)
			if !ok {
				break
			}
			w.apply(m)
		}
		if v := w.checker.violation; v != nil && v.Rule == rule {
			return true
		}
	}
	return false
}

// TestRandomWalks checks that long random walks through a large scenario violate no rule.
func TestRandomWalks(t *testing.T) {
	coverage := NewCoverage()
	for seed := range uint64(60 / workDivisor) {
		if path, v := Walk(LargeScenario(24, 200), seed, 6000, coverage); v != nil {
			Explain(LargeScenario(24, 200), path, t.Logf)
			t.Fatalf("random walk with seed %d violates rule %v", seed, v)
		}
	}
	t.Logf("event and stage pairs that no walk has reached: %v", coverage.Missing())
	rapid.Check(t, checkSmallerWalk)
}

// checkSmallerWalk checks that a random walk through a smaller scenario violates no rule. The
// rapid package shortens a walk that does.
func checkSmallerWalk(t *rapid.T) {
	s := LargeScenario(rapid.IntRange(2, 8).Draw(t, "nodes"), rapid.IntRange(1, 12).Draw(t, "requests"))
	w := newWorld(&s)
	for range rapid.IntRange(0, 200).Draw(t, "moves") {
		m, ok := w.pickMove(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") })
		if !ok {
			w.checkEnd()
			break
		}
		w.apply(m)
	}
	if v := w.checker.violation; v != nil {
		t.Fatalf("random walk violates rule %v", v)
	}
}
