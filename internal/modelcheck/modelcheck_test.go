package modelcheck

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, err := ScenarioByName(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Every ordering of events: of small scenarios all states, of the others up to a bound.
func TestEveryOrdering(t *testing.T) {
	for _, c := range []struct {
		name      string
		maxStates int // 0: all
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
		{"limits", 20_000},
	} {
		s := scenario(t, c.name)
		maxStates := max(c.maxStates, (workDivisor-1)*2000) / workDivisor
		r := Search(t.Context(), s, Options{MaxStates: maxStates, Reduce: true})
		t.Log(r)
		if r.Violation != nil {
			Explain(s, r.Path, t.Logf)
			t.Fatal(r.Violation)
		}
		if c.maxStates == 0 && workDivisor == 1 && !r.Complete {
			t.Errorf("%s is not complete", c.name)
		}
	}
}

// With and without the reduction a search finds the same end states and no violation. Its
// result does not depend on the workers.
func TestReductionAndWorkers(t *testing.T) {
	s := scenario(t, "window")
	one := Search(t.Context(), s, Options{Reduce: true, Workers: 1})
	three := Search(t.Context(), s, Options{Reduce: true, Workers: 3})
	full := Search(t.Context(), s, Options{})
	if one.States != three.States || one.EndStates != three.EndStates || one.Moves != three.Moves {
		t.Errorf("one worker: %v\nthree: %v", one, three)
	}
	if full.States < one.States || full.Violation != nil || one.Violation != nil || full.EndStates != one.EndStates {
		t.Errorf("reduced: %v\nfull: %v", one, full)
	}
}

func TestSearchIsIncompleteWhenCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if r := Search(ctx, scenario(t, "window"), Options{}); r.Complete || r.States != 1 {
		t.Error(r)
	}
}

// Each rule's check can fail: the worlds' settings are changed while the gateway keeps its
// own. lab/mutation changes the code instead.
func TestChecksCanFail(t *testing.T) {
	for _, c := range []struct {
		scenario, rule string
		disturb        func(*World)
	}{
		{"window", ruleEffects, func(w *World) { w.cfg.Dispatch.Classes[keyedClass].DedupWindow = 20 * ms }},
		{"turn", ruleOrder, func(w *World) { w.cfg.Dispatch.Quiescence = 200 * ms }},
		{"drain", ruleAnswer, func(w *World) { w.wakeAt = math.MaxInt64 }},    // the timer is lost
		{"drain", ruleDrain, func(w *World) { w.unusableSince["a"] = w.now }}, // without the gateway's knowledge
		{"limits", ruleBudget, func(w *World) { w.cfg.Dispatch.RetryBudget.MinRetries = 0 }},
		{"doubt", ruleConnection, func(w *World) {
			for _, conn := range w.conns {
				conn.unusable = true
			}
		}},
	} {
		if !anyWalkViolates(scenario(t, c.scenario), c.rule, c.disturb) {
			t.Errorf("%s: no walk violates %s", c.scenario, c.rule)
		}
	}
}

// anyWalkViolates reports whether a random walk violates a rule when the world is disturbed
// before each move.
func anyWalkViolates(s Scenario, rule string, disturb func(*World)) bool {
	const walks, maxMoves = 3000, 200
	for seed := range uint64(walks) {
		w := newWorld(&s)
		w.cfg.Dispatch.Classes = slices.Clone(w.cfg.Dispatch.Classes) // the gateway keeps its own
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

// Long random walks through a large scenario keep every rule.
func TestRandomWalks(t *testing.T) {
	coverage := NewCoverage()
	for seed := range uint64(60 / workDivisor) {
		if path, v := Walk(LargeScenario(24, 200), seed, 6000, coverage); v != nil {
			Explain(LargeScenario(24, 200), path, t.Logf)
			t.Fatalf("seed %d: %v", seed, v)
		}
	}
	t.Logf("never taken: %v", coverage.Missing())
	rapid.Check(t, checkSmallerWalk)
}

// checkSmallerWalk walks a smaller scenario; rapid shortens a walk that violates a rule.
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
		t.Fatal(v)
	}
}
