package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"chalkstand/lab/soak"
)

// soakRuns holds the flags of the soak command.
type soakRuns struct {
	options  soak.Options
	count    int      // number of runs of each program
	programs []string // names of the programs to run
	binary   string   // path of the chalkstand executable; if empty, the current one is used
	quiet    bool     // whether only the reports are printed
}

func soakCommand() *cobra.Command {
	runs := &soakRuns{}
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run serve and run as processes under load, faults and signals, and check the invariants",
		Long: `Run chalkstand serve and chalkstand run as processes in front of fake nodes. Clients go on using their
connections until the earliest time at which a supervisor may kill the program; signals come in series and during
start-up; in some runs a crowd of idle and bad clients fills the descriptors; nodes hang, drain, and lose responses.
The invariants are checked from the clients' and the nodes' own logs. A seed draws the same plan each time. Exits
with 1 if an invariant was violated.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runs.execute(cmd.Context(), cmd.OutOrStdout())
		},
	}
	f := c.Flags()
	f.Uint64Var(&runs.options.Seed, "seed", 1, "seed of the plan and of the clients")
	f.IntVar(&runs.count, "runs", 1, "number of runs of each program, with consecutive seeds from --seed on")
	f.StringSliceVar(&runs.programs, "programs", []string{string(soak.Serve), string(soak.RESP)}, "programs to run")
	f.StringVar(&runs.binary, "binary", "", "build to run; empty: this one")
	f.StringVar(&runs.options.DisabledGuard, "withhold", "",
		"disable a guard, to see that its invariant is violated: time, effects, order, shutdown")
	f.BoolVar(&runs.quiet, "quiet", false, "print the reports only")
	return c
}

// execute runs the soak test of each program with each seed and prints the reports.
func (s *soakRuns) execute(ctx context.Context, out io.Writer) error {
	if s.binary == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		s.binary = executable
	}
	s.options.Command = []string{s.binary}
	if !s.quiet {
		s.options.Progress = out
	}
	violated := 0
	for i := range s.count {
		for _, program := range s.programs {
			o := s.options
			o.Seed += uint64(i)
			o.Program = soak.Program(program)
			report, err := runSoak(ctx, o)
			if err != nil {
				return err
			}
			report.Write(out)
			if len(report.Violations) > 0 {
				violated++
			}
		}
	}
	if violated > 0 {
		return fmt.Errorf("invariants violated in %d of %d runs", violated, s.count*len(s.programs))
	}
	return nil
}

// runSoak runs one soak test whose program listens on a free address.
func runSoak(ctx context.Context, o soak.Options) (*soak.Report, error) {
	var err error
	if o.Listen, err = freeAddress(ctx); err != nil {
		return nil, err
	}
	return soak.Run(ctx, o)
}
