package main

import (
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"chalkstand/lab/invariants"
	"chalkstand/lab/soak"
)

// soakSeeds lists the seeds that CI runs. The command chalkstand soak runs other seeds by hand.
var soakSeeds = []uint64{1, 2, 3, 4, 5}

// runSoakTest runs the soak test of a program. The program is the test executable itself, so it
// has the race detector if the test has it.
func runSoakTest(t *testing.T, program soak.Program, seed uint64, guard string) *soak.Report {
	t.Helper()
	report, err := runSoak(t.Context(), soak.Options{
		Seed:    seed,
		Program: program,
		Command: []string{os.Args[0]},
		// GORACE disables the sleep of the race detector at exit, so that a program ends as fast as
		// without the race detector.
		Env:           []string{mainEnv + "=1", "GORACE=atexit_sleep_ms=0"},
		DisabledGuard: guard,
	})
	if err != nil {
		t.Error(err)
		return &soak.Report{}
	}
	return report
}

// TestSoakKeepsInvariants checks that both programs keep every invariant under load, faults
// and signals, and end in time.
func TestSoakKeepsInvariants(t *testing.T) {
	var programs sync.WaitGroup
	for _, program := range []soak.Program{soak.Serve, soak.RESP} {
		programs.Go(func() {
			for _, seed := range soakSeeds {
				report := runSoakTest(t, program, seed, "")
				var text strings.Builder
				report.Write(&text)
				t.Log(text.String())
				if len(report.Violations) > 0 || report.Served == 0 {
					t.Errorf("soak of %s, seed %d: got violations or no served request, want neither", program, seed)
				}
			}
		})
	}
	programs.Wait()
}

// TestSoakDetectsDisabledGuards checks that the soak test reports a violated invariant if the
// guard that protects the invariant is disabled.
func TestSoakDetectsDisabledGuards(t *testing.T) {
	var guards sync.WaitGroup
	for guard, invariant := range soak.Guards[soak.Serve] {
		guards.Go(func() {
			for _, seed := range soakSeeds {
				report := runSoakTest(t, soak.Serve, seed, guard)
				if slices.ContainsFunc(report.Violations, func(v invariants.Violation) bool { return v.Invariant == invariant }) {
					return
				}
			}
			t.Errorf("soak without the guard %q: got no violation of the invariant %q on any seed, want one", guard, invariant)
		})
	}
	guards.Wait()
}
