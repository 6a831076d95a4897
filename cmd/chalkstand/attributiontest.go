package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"chalkstand/internal/attributionreport"
	"chalkstand/lab/attributiontest"
)

// attributionTests holds the flags of the attribution-test command.
type attributionTests struct {
	runs int    // number of runs of each scenario
	seed uint64 // seed of the first run
	only string // name of the scenario to run; if empty, all scenarios run
	keep string // directory for logs and reports; if empty, a temporary directory is used
}

func attributionTestCommand() *cobra.Command {
	var tests attributionTests
	c := &cobra.Command{
		Use:     "attribution-test",
		Aliases: []string{"drill"},
		Short:   "Inject faults with a known cause and check that latency attribution names it",
		Long: `Play faults with a known cause through a real gateway with a fake node on loopback. Clients measure
each request themselves; the attribution of each volume must match that within 5 %, the components of each
request must sum exactly, and the cause of the fault must be the one that attribution names.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return tests.execute(cmd.Context(), cmd.OutOrStdout())
		},
	}
	names := strings.Join(attributiontest.Names(), ", ")
	f := c.Flags()
	f.IntVar(&tests.runs, "runs", 1, "number of runs of each scenario, with consecutive seeds")
	f.Uint64Var(&tests.seed, "seed", 1, "seed of the first run")
	f.StringVar(&tests.only, "scenario", "", "run this scenario only: "+names)
	f.StringVar(&tests.keep, "keep", "", "directory in which to keep attribution logs and reports")
	return c
}

// execute runs the scenarios and prints a result line for each of them.
func (t attributionTests) execute(ctx context.Context, out io.Writer) (err error) {
	dir := t.keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "chalkstand-attribution-test"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	failed, executed := 0, 0
	for _, s := range attributiontest.Scenarios() {
		if t.only != "" && s.Name != t.only {
			continue
		}
		executed++
		passed, err := t.runScenario(ctx, out, s, dir)
		if err != nil {
			return err
		}
		if !passed {
			failed++
		}
	}
	if executed == 0 {
		return fmt.Errorf("--scenario %q: expected one of %s", t.only, strings.Join(attributiontest.Names(), ", "))
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d scenarios failed", failed, executed)
	}
	return nil
}

// runScenario performs all runs of a scenario and prints their common result. It reports
// whether all runs passed.
func (t attributionTests) runScenario(
	ctx context.Context, out io.Writer, s attributiontest.Scenario, dir string,
) (passed bool, err error) {
	var maxError float64
	var failures []string
	for i := range t.runs {
		seed := t.seed + uint64(i)
		r, err := attributiontest.Run(ctx, s, seed, dir)
		if err != nil {
			return false, fmt.Errorf("%s, seed %d: %w", s.Name, seed, err)
		}
		maxError = max(maxError, r.MaxError)
		for _, f := range r.Failures {
			failures = append(failures, fmt.Sprintf("seed %d: %s", seed, f))
		}
		if t.keep != "" {
			if err := writeTestReport(filepath.Join(dir, fmt.Sprintf("%s-%d.html", s.Name, seed)), r); err != nil {
				return false, err
			}
		}
	}
	verdict := "named"
	if len(failures) > 0 {
		verdict = "FAILED"
	}
	fmt.Fprintf(out, "%-13s %d runs, totals at most %.1f %% off, %s: %s\n",
		s.Name, t.runs, 100*maxError, verdict, s.Description)
	for _, f := range failures {
		fmt.Fprintln(out, "    "+f)
	}
	return len(failures) == 0, nil
}

// writeTestReport writes the latency attribution of a run to a file as an HTML page.
func writeTestReport(file string, r attributiontest.Result) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	note := fmt.Sprintf("attribution test %s, seed %d, %v", r.Scenario, r.Seed, r.Elapsed.Round(time.Millisecond))
	data := &attributionreport.Data{Slots: r.Slots, Notes: []string{note}}
	return attributionreport.HTML(f, data, "")
}
