package faultinjection

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkstand/dispatch"
	"chalkstand/lab/invariants"
	"chalkstand/trace"
)

func TestScriptsReadAndWrite(t *testing.T) {
	s := GenerateScript(7, 20*time.Second)
	again, err := ParseScript([]byte("// a script\n" + s.Text()))
	if err != nil || !slices.Equal(s, again) {
		t.Fatalf("script after Text and ParseScript: error %v\nwant: %v\ngot:  %v", err, s, again)
	}
	for _, k := range FaultKinds {
		if !strings.Contains(s.Text(), `"`+k+`"`) {
			t.Errorf("generated script contains no fault of kind %q, want one of every kind", k)
		}
	}
}

func TestInvalidScriptsAreRejected(t *testing.T) {
	if _, err := ParseScript([]byte("{")); err == nil {
		t.Error("ParseScript of invalid JSON: got no error, want one")
	}
	_, err := ParseScript([]byte(`[{"kind": "rain"}]`))
	var unknown *UnknownKindError
	if !errors.As(err, &unknown) || unknown.Kind != "rain" {
		t.Errorf("ParseScript with unknown kind: got error %v, want an UnknownKindError for \"rain\"", err)
	}
	if _, err := ParseScript([]byte(`[{"kind": "surge", "times": -1}]`)); !errors.Is(err, ErrNegative) {
		t.Errorf("ParseScript with negative number: got error %v, want ErrNegative", err)
	}
}

func runScript(t *testing.T, o Options) *Report {
	t.Helper()
	r, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRunKeepsInvariants runs the gateways with every kind of fault and checks that all invariants hold. It also
// replays the recorded trace of each dispatcher and checks that the replay produces the same actions.
func TestRunKeepsInvariants(t *testing.T) {
	o := DefaultOptions(1)
	o.Duration = 12 * time.Second
	var mu sync.Mutex
	var records []*bytes.Buffer // encoded traces, one for each gateway instance
	var writers []*trace.Writer // writers of the traces, in the same order
	o.Trace = func(_ string, cfg dispatch.Config, seed uint64) func(time.Duration, dispatch.Event, []dispatch.Action) {
		b := new(bytes.Buffer)
		w, err := trace.NewWriter(b, cfg, seed, 1<<17)
		if err != nil {
			t.Error(err)
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		records, writers = append(records, b), append(writers, w)
		return w.Record
	}
	r := runScript(t, o)
	var text strings.Builder
	r.Write(&text)
	t.Log("\n" + text.String())
	if len(r.Violations) > 0 || r.Attempts < 500 || r.Classes[classRead].Served < 300 {
		t.Fail()
	}
	if len(records) != o.Gateways+1 { // one gateway restarts after a crash, which creates one more instance
		t.Errorf("gateway instances started: got %d, want one for each gateway and one for the restart", len(records))
	}
	for i, w := range writers {
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		res, err := trace.Replay(records[i])
		if err != nil || res.Divergence != nil || res.Truncated || res.Events < 100 {
			t.Errorf("replay of instance %d: got %+v, error %v; want a complete replay of 100 events or more", i, res, err)
		}
	}
}

// faultAtEveryNode returns a script that starts a fault of the kind at the node of each of the 8 shards.
func faultAtEveryNode(kind string, magnitude float64) (s Script) {
	for i := range 8 {
		s = append(s, Fault{At: 300, For: 9000, Kind: kind, Target: i, Magnitude: magnitude})
	}
	return s
}

// TestCheckerDetectsDisabledGuards disables each guard in turn, except slow start. The checker must report a
// violation of the guard's invariant.
func TestCheckerDetectsDisabledGuards(t *testing.T) {
	for guard, script := range map[string]Script{
		"budget":  faultAtEveryNode(ConnectionResets, 0.5),
		"limits":  {{At: 300, For: 9000, Kind: Flood, Target: 0, Magnitude: 12}},
		"order":   {{At: 300, For: 9000, Kind: HotKey, Target: 2, Magnitude: 0.9}},
		"effects": faultAtEveryNode(LoseResponses, 0.3),
		"drains": {
			{At: 100, For: 9000, Kind: Surge, Magnitude: 2},
			{At: 500, For: 4000, Kind: DrainWave, NodeCount: 4},
		},
		"time": faultAtEveryNode(Unresponsive, 0),
	} {
		t.Run(guard, func(t *testing.T) {
			o := guardOptions(script, 3, 1)
			o.DisabledGuard = guard
			if !violatesGuard(t, guard, o) {
				t.Errorf("guard %q disabled: got no violation of invariant %q, want one", guard, GuardInvariants[guard])
			}
		})
	}
}

// TestCheckerDetectsDisabledSlowStart disables slow start, and checks also that the same run with slow start violates
// nothing. The divisor makes the result clear in both cases.
func TestCheckerDetectsDisabledSlowStart(t *testing.T) {
	const guard = "cold"
	o := guardOptions(Script{
		{At: 100, For: 9000, Kind: Surge, Magnitude: 5},
		{At: 1000, For: 1500, Kind: DrainWave, NodeCount: 4},
		{At: 1000, For: 1500, Kind: DrainWave, Target: 4, NodeCount: 4},
	}, 6, 3)
	o.DisabledGuard = guard
	if !violatesGuard(t, guard, o) {
		t.Errorf("guard %q disabled: got no violation of invariant %q, want one", guard, GuardInvariants[guard])
	}
	o.DisabledGuard = ""
	if violatesGuard(t, guard, o) {
		t.Errorf("guard %q enabled: got a violation of invariant %q, want none", guard, GuardInvariants[guard])
	}
}

// guardOptions returns the options of a run that shows whether a guard is disabled.
func guardOptions(script Script, gateways int, capacityDivisor float64) Options {
	o := DefaultOptions(2)
	o.Duration = 4500 * time.Millisecond
	o.Script = script
	o.Gateways = gateways
	o.CapacityDivisor = capacityDivisor
	return o
}

// violatesGuard reports whether a run violates the invariant of a guard.
func violatesGuard(t *testing.T, guard string, o Options) bool {
	t.Helper()
	return slices.ContainsFunc(runScript(t, o).Violations, func(v invariants.Violation) bool {
		return v.Invariant == GuardInvariants[guard]
	})
}

// TestSeedsThatBrokeInvariants runs seeds that once failed. On some of them a gateway violated an invariant. On
// others the checker mistook a canceled write for a write in flight.
func TestSeedsThatBrokeInvariants(t *testing.T) {
	for _, seed := range []uint64{50002, 50003, 50016, 50024, 50039, 50010} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := DefaultOptions(seed)
			o.Duration = 8 * time.Second
			report := runScript(t, o)
			if len(report.Violations) > 0 {
				var text strings.Builder
				report.Write(&text)
				t.Errorf("got violations of invariants, want none:\n%s", text.String())
			}
		})
	}
}
