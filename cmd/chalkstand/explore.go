package main

import (
	"chalkstand/internal/modelcheck"
	"chalkstand/lab/mutation"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

func exploreCommand() *cobra.Command {
	var o modelcheck.Options
	var names []string
	var full, cover, quiet bool
	var limit time.Duration
	c := &cobra.Command{
		Use: "explore", Short: "Try every ordering of events in small worlds against the rules", Args: cobra.NoArgs,
		Long: `Drive the real exchange, dispatcher and connection reader through every ordering of events in small
worlds: requests, connections, answers, losses, clients that leave, drains, restarts, and time on either side of
each moment at which something is due. Each distinct state is visited once. What breaks a rule is told as the
shortest sequence of events, as a replay and as a test. docs/design/explore.md has the rules.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			out := cmd.OutOrStdout()
			if len(names) == 0 {
				names = modelcheck.ScenarioNames()
			}
			o.Reduce, o.Coverage = !full, cover
			for _, n := range names {
				s, err := modelcheck.ScenarioByName(n)
				if err != nil {
					return err
				}
				begun := time.Now()
				o.Progress = func(depth, states int) {
					if !quiet {
						fmt.Fprintf(cmd.ErrOrStderr(), "\r%s: depth %d, %d states, %v ", n, depth, states, time.Since(begun).Round(time.Second))
					}
				}
				r := modelcheck.Search(ctx, s, o)
				if !quiet {
					fmt.Fprint(cmd.ErrOrStderr(), "\r")
				}
				fmt.Fprintf(out, "%v, %v\n", r, time.Since(begun).Round(10*time.Millisecond))
				if r.Coverage != nil {
					tellCoverage(out, r.Coverage)
				}
				if r.Violation != nil {
					modelcheck.Explain(s, r.Path, func(f string, a ...any) { fmt.Fprintf(out, "  "+f+"\n", a...) })
					fmt.Fprintln(out, "\nas a replay:")
					if err := modelcheck.WriteReplay(out, s, r.Path); err != nil {
						return err
					}
					fmt.Fprintln(out, "\nas a test:")
					if err := modelcheck.GoTest(out, s, r.Path, r.Violation); err != nil {
						return err
					}
					return fmt.Errorf("%s: %v", n, r.Violation)
				}
			}
			return nil
		},
	}
	c.AddCommand(playCommand(), mutantsCommand(), walkCommand())
	f := c.Flags()
	f.StringSliceVar(&names, "scenario", nil, "only these")
	f.BoolVar(&full, "full", false, "without leaving out orders that commute")
	f.BoolVar(&o.Exact, "exact", false, "tell states apart by every digit of what was learned")
	f.IntVar(&o.MaxStates, "states", 0, "stop after so many; 0: no bound")
	f.IntVar(&o.Workers, "workers", 0, "0: all cores")
	f.DurationVar(&limit, "limit", time.Hour, "longest time")
	f.BoolVar(&cover, "coverage", false, "tell which transitions of requests were never taken")
	f.BoolVar(&quiet, "quiet", false, "no progress")
	return c
}

func playCommand() *cobra.Command {
	return &cobra.Command{
		Use: "play FILE", Short: "Play a replay", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			b, err := modelcheck.Play(f, func(f string, a ...any) { fmt.Fprintf(cmd.OutOrStdout(), f+"\n", a...) })
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if b != nil {
				return errors.New(b.String())
			}
			fmt.Fprintln(cmd.OutOrStdout(), "every rule is kept")
			return nil
		},
	}
}

func walkCommand() *cobra.Command {
	var seed uint64
	var walks, nodes, requests, most int
	c := &cobra.Command{
		Use: "walk", Short: "Walk at random through a world too large to be explored whole", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			s, cover, moves := modelcheck.LargeScenario(nodes, requests), modelcheck.NewCoverage(), 0
			for i := range walks {
				path, b := modelcheck.Walk(s, seed+uint64(i), most, cover)
				moves += len(path)
				if b != nil {
					modelcheck.Explain(s, path, func(f string, a ...any) { fmt.Fprintf(out, "  "+f+"\n", a...) })
					return fmt.Errorf("seed %d, after %d moves: %v", seed+uint64(i), len(path), b)
				}
			}
			fmt.Fprintf(out, "%d walks, %d moves, %d nodes, %d requests: every rule is kept\n", walks, moves, nodes, requests)
			tellCoverage(out, cover)
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "of the first walk")
	f.IntVar(&walks, "walks", 100, "walks")
	f.IntVar(&nodes, "nodes", 24, "nodes")
	f.IntVar(&requests, "requests", 200, "requests")
	f.IntVar(&most, "moves", 10000, "moves of a walk, at most")
	return c
}

func tellCoverage(out io.Writer, c *modelcheck.Coverage) {
	ts, n := c.Transitions()
	for _, t := range ts {
		fmt.Fprintf(out, "  %10d  %v\n", n[t], t)
	}
	for _, p := range c.Missing() {
		fmt.Fprintf(out, "       never  %s\n", p)
	}
}

func mutantsCommand() *cobra.Command {
	var root, only string
	c := &cobra.Command{
		Use: "mutants", Short: "Put faults into the guards, one at a time, and have the explorer find them", Args: cobra.NoArgs,
		Long: "Copy the sources, put one fault after another into the copy, and run the explorer's tests on it. It needs Go and\nthe sources, and some minutes.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			if err := mutation.Check(root); err != nil {
				return err
			}
			dir, err := os.MkdirTemp("", "chalkstand-mutants")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			if err := mutation.Copy(root, dir); err != nil {
				return err
			}
			out, missed, caught := cmd.OutOrStdout(), 0, 0
			for _, m := range mutation.All() {
				if only != "" && !strings.Contains(m.Name, only) {
					continue
				}
				f, err := mutation.Test(ctx, dir, m)
				switch {
				case ctx.Err() != nil:
					return ctx.Err()
				case err != nil:
					missed++
					fmt.Fprintf(out, "ERROR   %v\n", err)
				case f.Killed:
					caught++
					fmt.Fprintf(out, "found   %s: %s\n", m.Name, f.Cause)
				case m.EquivalentBecause != "":
					fmt.Fprintf(out, "equal   %s: %s\n", m.Name, m.EquivalentBecause)
				default:
					missed++
					fmt.Fprintf(out, "MISSED  %s\n", m.Name)
				}
			}
			fmt.Fprintf(out, "%d found, %d missed\n", caught, missed)
			if missed > 0 {
				return fmt.Errorf("%d faults were not found", missed)
			}
			return nil
		},
	}
	c.Flags().StringVar(&root, "sources", ".", "root of the sources")
	c.Flags().StringVar(&only, "only", "", "only faults whose name has this in it")
	return c
}
