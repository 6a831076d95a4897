package modelcheck

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"context"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Two nodes and two requests, every ordering; and the other worlds up to a bound.
func TestEveryOrdering(t *testing.T) {
	for _, x := range []struct {
		name   string
		states int
	}{{"window", 0}, {"body", 0}, {"tries", 0}, {"thrift", 0}, {"upload", 0}, {"lossy", 20_000}, {"two", 60_000}, {"drain", 20_000}, {"leave", 20_000}, {"turn", 20_000}, {"stream", 20_000}, {"crash", 20_000}, {"doubt", 20_000}, {"renew", 20_000}, {"silent", 0}, {"loops", 20_000}, {"limits", 20_000}} {
		s, err := ScenarioByName(x.name)
		if err != nil {
			t.Fatal(err)
		}
		r := Search(context.Background(), s, Options{MaxStates: max(x.states, (slower-1)*2000) / slower, Reduce: true})
		t.Log(r)
		if r.Violation != nil {
			Explain(s, r.Path, t.Logf)
			t.Fatal(r.Violation)
		}
		if x.states == 0 && slower == 1 && !r.Complete {
			t.Errorf("%s is not whole", x.name)
		}
	}
}

// The reduction hides nothing: with and without it the same breaches are found, and
// the same ends reached. And the result does not depend on the workers.
func TestReductionAndWorkers(t *testing.T) {
	s, _ := ScenarioByName("window")
	reduced := Search(context.Background(), s, Options{Reduce: true, Workers: 1})
	again := Search(context.Background(), s, Options{Reduce: true, Workers: 3})
	full := Search(context.Background(), s, Options{})
	if reduced.States != again.States || reduced.EndStates != again.EndStates || reduced.Moves != again.Moves {
		t.Errorf("one worker: %v\nthree: %v", reduced, again)
	}
	if full.States < reduced.States || full.Violation != nil || reduced.Violation != nil || full.EndStates != reduced.EndStates {
		t.Errorf("reduced: %v\nfull: %v", reduced, full)
	}
}

// Without a guard its breach is found: each rule's check can fail. The worlds' own
// settings are bent, not the code; the command that bends the code is the larger test.
func TestChecksCanFail(t *testing.T) {
	for _, x := range []struct {
		name, rule string
		bend       func(*World)
	}{
		{"window", "effects", func(w *World) { w.cfg.Dispatch.Classes[keyedClass].DedupWindow = 20 * ms }},
		{"turn", "order", func(w *World) { w.cfg.Dispatch.Quiescence = 200 * ms }},
		{"drain", "answer", func(w *World) { w.wakeAt = math.MaxInt64 }},    // the timer is lost
		{"drain", "drain", func(w *World) { w.unusableSince["a"] = w.now }}, // of which the gateway did not hear
		{"doubt", "connection", func(w *World) {
			for _, k := range w.conns {
				k.unusable = true
			}
		}},
		{"limits", "budget", func(w *World) { w.cfg.Dispatch.RetryBudget.MinRetries = 0 }},
	} {
		s, _ := ScenarioByName(x.name)
		// The gateway has the scenario's settings, the rules are held to others.
		found := false
		for seed := range uint64(3000) {
			w := newWorld(&s)
			w.cfg.Dispatch.Classes = slices.Clone(w.cfg.Dispatch.Classes) // the gateway keeps its own
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 200 {
				x.bend(w)
				m, ok := w.pick(rng.IntN)
				if !ok {
					break
				}
				w.apply(m)
			}
			if b := w.checker.violation; b != nil && b.Rule == x.rule {
				found = true
				break
			}
		}
		if !found {
			t.Errorf("%s: no walk breaks %s", x.name, x.rule)
		}
	}
}

// Long random ways through a large world keep every rule; rapid makes a way that
// does not shorter.
func TestRandomWalks(t *testing.T) {
	cover := NewCoverage()
	for seed := range uint64(60 / slower) {
		if path, b := Walk(LargeScenario(24, 200), seed, 6000, cover); b != nil {
			Explain(LargeScenario(24, 200), path, t.Logf)
			t.Fatalf("seed %d: %v", seed, b)
		}
	}
	t.Logf("never: %v", cover.Missing())
	rapid.Check(t, func(t *rapid.T) {
		s := LargeScenario(rapid.IntRange(2, 8).Draw(t, "nodes"), rapid.IntRange(1, 12).Draw(t, "requests"))
		w := newWorld(&s)
		for range rapid.IntRange(0, 200).Draw(t, "moves") {
			m, ok := w.pick(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") })
			if !ok {
				w.checkEnd()
				break
			}
			w.apply(m)
		}
		if b := w.checker.violation; b != nil {
			t.Fatal(b)
		}
	})
}

// Ways that once broke a rule keep it now.
func TestReplays(t *testing.T) {
	files, err := filepath.Glob("testdata/*.replay")
	if err != nil || len(files) == 0 {
		t.Fatal("no replays", err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if b, err := Play(strings.NewReader(string(text)), t.Logf); b != nil || err != nil {
			t.Errorf("%s: %v %v", f, b, err)
		}
	}
}

func TestReplaysThatCannotBePlayed(t *testing.T) {
	for text, want := range map[string]string{
		"":                                   "ends before its scenario",
		"explore 1":                          `line 1: "explore 1": want "chalkstand-explore 1"`,
		"chalkstand-explore 2":               `line 1: "chalkstand-explore 2": want "chalkstand-explore 1"`,
		"chalkstand-explore 1\narrive 1":     `line 2: "arrive 1": want "scenario NAME"`,
		"chalkstand-explore 1\nscenario day": `line 2: no scenario is called "day"`,
		"chalkstand-explore 1\n# so\n\nscenario drain\njump":         `line 5: "jump": want a move, one of arrive`,
		"chalkstand-explore 1\nscenario drain\narrive 9":             `line 3: arrive: there is no request "9"`,
		"chalkstand-explore 1\nscenario drain\narrive":               "line 3: arrive: want one request",
		"chalkstand-explore 1\nscenario drain\nfire 1":               `line 3: fire takes nothing, not "1"`,
		"chalkstand-explore 1\nscenario drain\ndrain z":              `line 3: drain: there is no node "z"`,
		"chalkstand-explore 1\nscenario drain\narrive 1\nserved 1 #": "line 4: served 1 cannot happen here; what can: arrive 2, dial-ok 1",
	} {
		_, err := Play(strings.NewReader(text), nil)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// A path that is written as a replay plays to the same state, and as a test too.
func TestWriteReplay(t *testing.T) {
	s, _ := ScenarioByName("turn")
	path, b := Walk(s, 5, 40, nil)
	if b != nil || len(path) < 10 {
		t.Fatal(b, len(path))
	}
	var text strings.Builder
	if err := WriteReplay(&text, s, path); err != nil {
		t.Fatal(err)
	}
	if b, err := Play(strings.NewReader(text.String()), nil); b != nil || err != nil {
		t.Fatal(b, err)
	}
	var src strings.Builder
	if err := GoTest(&src, s, path, &Violation{"order", "as an example"}); err != nil || !strings.Contains(src.String(), "func TestTurn") || !strings.Contains(src.String(), text.String()) {
		t.Fatal(err, src.String())
	}
}

// The walk over the state knows each field of a duration, and the table names only
// fields that there are.
func TestFingerprintKnowsTheFields(t *testing.T) {
	have := map[string]bool{}
	var visit func(t reflect.Type)
	visit = func(t reflect.Type) {
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			visit(t.Elem())
		case reflect.Map:
			visit(t.Elem())
		case reflect.Struct:
			for f := range t.Fields() {
				name := typeName(t) + "." + f.Name
				if have[name] {
					return
				}
				have[name] = true
				visit(f.Type)
			}
		}
	}
	for _, x := range []any{
		World{},
		forwarder.Forwarder{},
		forwarder.RequestAttributed{},
		forwarder.Dial{},
		forwarder.SendRequest{},
		forwarder.CloseConn{},
		forwarder.ForwardResponse{},
		forwarder.DiscardResponse{},
		forwarder.Reject{},
		forwarder.SetTimer{},
		dispatch.Dispatcher{},
		dispatch.Request{},
	} {
		visit(reflect.TypeOf(x))
	}
	for name := range fields {
		if !have[name] {
			t.Errorf("the table names %s, which is not there", name)
		}
	}
	w := newWorld(&Scenario{requests: []requestSpec{{}}, nodes: []nodeSpec{{id: "a", initial: true}}})
	for name := range inertFields(w) {
		if !have[name] {
			t.Errorf("%s, without influence under some settings, is not there", name)
		}
	}
	// The controller's task is the kind that is left out.
	agenda := reflect.ValueOf(w.fwd).Elem().FieldByName("dispatcher").Elem().FieldByName("timers").FieldByName("timers")
	if agenda.Len() != 1 || agenda.Index(0).Elem().FieldByName("Value").FieldByName("kind").Int() != doControl {
		t.Error("the first task of a dispatcher is not its controller's")
	}
}

// States that differ in what matters have other fingerprints; those that differ
// only by names and by when they are have the same.
func TestFingerprint(t *testing.T) {
	s, _ := ScenarioByName("two")
	p := newFingerprinter(false)
	at := func(ms ...Move) Fingerprint {
		w := newWorld(&s)
		for _, m := range ms {
			if !slices.Contains(w.enabledMoves(false), m) {
				t.Fatalf("%s cannot happen", w.moveText(m))
			}
			w.apply(m)
		}
		return p.fingerprint(w)
	}
	a, b := Move{StartRequest, 1}, Move{StartRequest, 2}
	if at(a) == at(b) || at(a) == at() || at(a, b) == at(a) {
		t.Error("states that differ look alike")
	}
	if at(a, b, Move{CompleteDial, 1}) == at(a, b, Move{CompleteDial, 2}) {
		t.Error("it is not seen whose connection is there")
	}
	if at(a, b, Move{CompleteDial, 1}, Move{CompleteDial, 2}) != at(a, b, Move{CompleteDial, 2}, Move{CompleteDial, 1}) {
		t.Error("two orders to one state look different")
	}
	if at(a, Move{CompleteDial, 1}, Move{RespondOK, 1}) == at(a, Move{CompleteDial, 1}) {
		t.Error("an answer is not seen")
	}
}
