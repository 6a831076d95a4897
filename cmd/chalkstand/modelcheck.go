package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"chalkstand/internal/modelcheck"
)

// modelCheckRun holds the flags of the modelcheck command.
type modelCheckRun struct {
	options   modelcheck.Options
	scenarios []string      // names of the scenarios to check; if empty, all scenarios are checked
	full      bool          // whether all orderings of independent events are visited
	coverage  bool          // whether the transition counts are printed
	quiet     bool          // whether the progress is not printed
	limit     time.Duration // maximum time for all scenarios together
}

func modelCheckCommand() *cobra.Command {
	run := &modelCheckRun{}
	c := &cobra.Command{
		Use:     "modelcheck",
		Aliases: []string{"explore"},
		Short:   "Check every ordering of events in small scenarios against the invariants",
		Long: `Drive the real forwarder, dispatcher and connection reader through every ordering of events in small
scenarios: requests, connections, responses, losses, clients that cancel, drains, restarts, and time on
either side of each timer. Each distinct state is visited once. A violation is printed as the shortest
sequence of events, as a replay and as a test. docs/design/model-checking.md has the invariants.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return run.execute(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	c.AddCommand(playCommand(), mutationCommand(), walkCommand())
	f := c.Flags()
	f.StringSliceVar(&run.scenarios, "scenario", nil, "check these scenarios only")
	f.BoolVar(&run.full, "full", false, "visit all orderings of independent events (no partial-order reduction)")
	f.BoolVar(&run.options.Exact, "exact", false, "distinguish states by the exact values of estimates")
	f.IntVar(&run.options.MaxStates, "states", 0, "maximum number of states; 0: unlimited")
	f.IntVar(&run.options.Workers, "workers", 0, "number of workers; 0: one for each core")
	f.DurationVar(&run.limit, "limit", time.Hour, "maximum time")
	f.BoolVar(&run.coverage, "coverage", false, "print how often each transition of a request was taken")
	f.BoolVar(&run.quiet, "quiet", false, "print no progress")
	return c
}

// execute checks the scenarios one after another and stops at the first violation.
func (m *modelCheckRun) execute(ctx context.Context, out, progress io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, m.limit)
	defer cancel()
	names := m.scenarios
	if len(names) == 0 {
		names = modelcheck.ScenarioNames()
	}
	m.options.Reduce = !m.full
	m.options.Coverage = m.coverage
	for _, name := range names {
		if err := m.check(ctx, name, out, progress); err != nil {
			return err
		}
	}
	return nil
}

// check checks one scenario and prints the result.
func (m *modelCheckRun) check(ctx context.Context, name string, out, progress io.Writer) error {
	scenario, err := modelcheck.ScenarioByName(name)
	if err != nil {
		return err
	}
	start := time.Now()
	o := m.options
	o.Progress = func(depth, states int) {
		if !m.quiet {
			elapsed := time.Since(start).Round(time.Second)
			fmt.Fprintf(progress, "\r%s: depth %d, %d states, %v ", name, depth, states, elapsed)
		}
	}
	r := modelcheck.Search(ctx, scenario, o)
	if !m.quiet {
		fmt.Fprint(progress, "\r")
	}
	fmt.Fprintf(out, "%v, %v\n", r, time.Since(start).Round(10*time.Millisecond))
	if r.Coverage != nil {
		printCoverage(out, r.Coverage)
	}
	if r.Violation == nil {
		return nil
	}
	if err := printViolation(out, scenario, &r); err != nil {
		return err
	}
	return fmt.Errorf("%s: %v", name, r.Violation)
}

// printViolation prints a violation as a sequence of events, as a replay and as a test.
func printViolation(out io.Writer, scenario modelcheck.Scenario, r *modelcheck.Result) error {
	_ = modelcheck.Explain(scenario, r.Path, linePrinter(out, "  ")) // Explain returns r.Violation again.
	fmt.Fprintln(out, "\nas a replay:")
	if err := modelcheck.WriteReplay(out, scenario, r.Path); err != nil {
		return err
	}
	fmt.Fprintln(out, "\nas a test:")
	return modelcheck.WriteGoTest(out, scenario, r.Path, r.Violation)
}

// linePrinter returns a function that formats its arguments and prints them as a line with
// the prefix.
func linePrinter(out io.Writer, prefix string) func(format string, args ...any) {
	return func(format string, args ...any) {
		fmt.Fprintf(out, prefix+format+"\n", args...)
	}
}

// printCoverage prints how often each transition was taken, and lists the transitions that
// were never taken.
func printCoverage(out io.Writer, c *modelcheck.Coverage) {
	transitions, counts := c.Transitions()
	for _, t := range transitions {
		fmt.Fprintf(out, "  %10d  %v\n", counts[t], t)
	}
	for _, name := range c.Missing() {
		fmt.Fprintf(out, "       never  %s\n", name)
	}
}

func playCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "play FILE",
		Short: "Play a replay",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer func() { _ = f.Close() }() // A file opened for reading needs no error check on Close.
			violation, err := modelcheck.Play(f, linePrinter(cmd.OutOrStdout(), ""))
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if violation != nil {
				return errors.New(violation.String())
			}
			fmt.Fprintln(cmd.OutOrStdout(), "no invariant is violated")
			return nil
		},
	}
}

// randomWalks holds the flags of the walk command.
type randomWalks struct {
	seed     uint64 // seed of the first walk
	walks    int    // number of walks
	nodes    int    // number of nodes in the scenario
	requests int    // number of requests in the scenario
	maxMoves int    // maximum number of moves in a walk
}

func walkCommand() *cobra.Command {
	var w randomWalks
	c := &cobra.Command{
		Use:   "walk",
		Short: "Walk at random through a scenario too large to be checked completely",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return w.execute(cmd.OutOrStdout())
		},
	}
	f := c.Flags()
	f.Uint64Var(&w.seed, "seed", 1, "seed of the first walk")
	f.IntVar(&w.walks, "walks", 100, "number of walks")
	f.IntVar(&w.nodes, "nodes", 24, "number of nodes")
	f.IntVar(&w.requests, "requests", 200, "number of requests")
	f.IntVar(&w.maxMoves, "moves", 10000, "maximum number of moves of a walk")
	return c
}

// execute runs the random walks one after another and stops at the first violation.
func (w randomWalks) execute(out io.Writer) error {
	scenario := modelcheck.LargeScenario(w.nodes, w.requests)
	coverage := modelcheck.NewCoverage()
	moves := 0
	for i := range w.walks {
		seed := w.seed + uint64(i)
		path, violation := modelcheck.Walk(scenario, seed, w.maxMoves, coverage)
		moves += len(path)
		if violation != nil {
			_ = modelcheck.Explain(scenario, path, linePrinter(out, "  ")) // Explain returns the same violation again.
			return fmt.Errorf("seed %d, after %d moves: %v", seed, len(path), violation)
		}
	}
	fmt.Fprintf(out, "%d walks, %d moves, %d nodes, %d requests: no invariant is violated\n",
		w.walks, moves, w.nodes, w.requests)
	printCoverage(out, coverage)
	return nil
}
