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

// soakSeeds are the seeds that CI plays; more are played by hand, with chalkstand soak.
var soakSeeds = []uint64{1, 2, 3, 4, 5}

// playSoak runs a program of this test's own build, with the race detector if the test has it.
func playSoak(t *testing.T, program soak.Program, seed uint64, guard string) *soak.Report {
	t.Helper()
	report, err := runSoak(t.Context(), soak.Options{
		Seed:          seed,
		Program:       program,
		Command:       []string{os.Args[0]},
		Env:           []string{mainEnv + "=1", "GORACE=atexit_sleep_ms=0"}, // the programs end as they do without it
		DisabledGuard: guard,
	})
	if err != nil {
		t.Error(err)
		return &soak.Report{}
	}
	return report
}

// Both programs keep every invariant under load, faults and signals, until they have ended in time.
func TestSoakKeepsInvariants(t *testing.T) {
	var programs sync.WaitGroup
	for _, program := range []soak.Program{soak.Serve, soak.RESP} {
		programs.Go(func() {
			for _, seed := range soakSeeds {
				report := playSoak(t, program, seed, "")
				var text strings.Builder
				report.Write(&text)
				t.Log(text.String())
				if len(report.Violations) > 0 || report.Served == 0 {
					t.Errorf("%s, seed %d", program, seed)
				}
			}
		})
	}
	programs.Wait()
}

// Without a guard its invariant is violated, and the soak reports it.
func TestSoakDetectsDisabledGuards(t *testing.T) {
	var guards sync.WaitGroup
	for guard, invariant := range soak.Guards[soak.Serve] {
		guards.Go(func() {
			for _, seed := range soakSeeds {
				report := playSoak(t, soak.Serve, seed, guard)
				if slices.ContainsFunc(report.Violations, func(v invariants.Violation) bool { return v.Invariant == invariant }) {
					return
				}
			}
			t.Errorf("without the guard of %q the invariant %q holds on all seeds", guard, invariant)
		})
	}
	guards.Wait()
}
