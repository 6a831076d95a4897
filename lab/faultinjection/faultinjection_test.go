package faultinjection

import (
	"bytes"
	"chalkstand/dispatch"
	"chalkstand/lab/invariants"
	"chalkstand/trace"
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestScriptsReadAndWrite(t *testing.T) {
	s := GenerateScript(7, 20*time.Second)
	again, err := ParseScript([]byte("// a day\n" + s.Text()))
	if err != nil || !slices.Equal(s, again) {
		t.Fatalf("%v\n%v\n%v", err, s, again)
	}
	for _, k := range FaultKinds {
		if !strings.Contains(s.Text(), `"`+k+`"`) {
			t.Errorf("no %s in a generated day", k)
		}
	}
	for _, bad := range []string{`[{"kind": "rain"}]`, `[{"kind": "surge", "times": -1}]`, `{`} {
		if _, err := ParseScript([]byte(bad)); err == nil {
			t.Errorf("%s is taken", bad)
		}
	}
}

func play(t *testing.T, o Options) *Report {
	t.Helper()
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A bad day with every kind of trouble: all rules are kept, and what the
// dispatchers heard plays again to the same actions.
func TestRunKeepsInvariants(t *testing.T) {
	o := DefaultOptions(1)
	o.Duration = 12 * time.Second
	var mu sync.Mutex
	var records []*bytes.Buffer
	var writers []*trace.Writer
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
	r := play(t, o)
	var text strings.Builder
	r.Write(&text)
	t.Log("\n" + text.String())
	if len(r.Violations) > 0 || r.Attempts < 500 || r.Classes[classRead].Served < 300 {
		t.Fail()
	}
	if len(records) != o.Gateways+1 { // one came back after its crash
		t.Errorf("%d lives of gateways", len(records))
	}
	for i, w := range writers {
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		res, err := trace.Replay(records[i])
		if err != nil || res.Divergence != nil || res.Truncated || res.Events < 100 {
			t.Errorf("replay of life %d: %+v, %v", i, res, err)
		}
	}
}

// With a guard taken away its rule breaks, and the checker says so.
func TestCheckerDetectsDisabledGuards(t *testing.T) {
	everyNode := func(kind string, times float64) (s Script) {
		for i := range 8 {
			s = append(s, Fault{At: 300, For: 9000, Kind: kind, Which: i, Times: times})
		}
		return s
	}
	for guard, x := range map[string]struct {
		script          Script
		gateways        int
		capacityDivisor float64
	}{
		"budget":  {everyNode(Resets, 0.5), 3, 1},
		"limits":  {Script{{At: 300, For: 9000, Kind: Flood, Which: 0, Times: 12}}, 3, 1},
		"order":   {Script{{At: 300, For: 9000, Kind: HotKey, Which: 2, Times: 0.9}}, 3, 1},
		"effects": {everyNode(LoseAnswer, 0.3), 3, 1},
		"cold": {Script{
			{At: 100, For: 9000, Kind: Surge, Times: 5},
			{At: 1000, For: 1500, Kind: DrainWave, Count: 4},
			{At: 1000, For: 1500, Kind: DrainWave, Which: 4, Count: 4},
		}, 6, 3},
		"drains": {Script{{At: 100, For: 9000, Kind: Surge, Times: 2}, {At: 500, For: 4000, Kind: DrainWave, Count: 4}}, 3, 1},
		"time":   {everyNode(Silent, 0), 3, 1},
	} {
		t.Run(guard, func(t *testing.T) {
			o := DefaultOptions(2)
			o.Duration, o.Script, o.DisabledGuard, o.Gateways = 4500*time.Millisecond, x.script, guard, x.gateways
			o.CapacityDivisor = x.capacityDivisor
			broken := func() bool {
				return slices.ContainsFunc(play(t, o).Violations, func(b invariants.Violation) bool { return b.Invariant == GuardInvariants[guard] })
			}
			if !broken() {
				t.Errorf("without the guard of %q the rule %q is still kept", guard, GuardInvariants[guard])
			}
			o.DisabledGuard = ""
			if guard == "cold" && broken() { // the capacityDivisor nodes are for a wide margin on both sides
				t.Errorf("with the guard of %q the rule %q is broken", guard, GuardInvariants[guard])
			}
		})
	}
}
