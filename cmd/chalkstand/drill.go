package main

import (
	"chalkstand/internal/attributionreport"
	"chalkstand/lab/attributiontest"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

func drillCommand() *cobra.Command {
	var runs int
	var seed uint64
	var only, dir string
	c := &cobra.Command{
		Use: "drill", Short: "Make small troubles on loopback and check that the accounts name their cause", Args: cobra.NoArgs,
		Long: `Play small troubles through a real gateway with a stand-in node on loopback. Clients measure each
request themselves; the accounts of each volume must match that within 5 %, each account must sum
exactly, and the cause that was made must be the one that is named.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			keep := dir != ""
			if !keep {
				var err error
				if dir, err = os.MkdirTemp("", "chalkstand-drill"); err != nil {
					return err
				}
				defer os.RemoveAll(dir)
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			bad, played := 0, 0
			for _, s := range attributiontest.Scenarios() {
				if only != "" && s.Name != only {
					continue
				}
				played++
				var worst float64
				var faults []string
				for i := range runs {
					r, err := attributiontest.Run(s, seed+uint64(i), dir)
					if err != nil {
						return fmt.Errorf("%s, seed %d: %w", s.Name, seed+uint64(i), err)
					}
					worst = max(worst, r.Worst)
					for _, f := range r.Faults {
						faults = append(faults, fmt.Sprintf("seed %d: %s", r.Seed, f))
					}
					if keep {
						if err := drillReport(filepath.Join(dir, fmt.Sprintf("%s-%d.html", s.Name, r.Seed)), r); err != nil {
							return err
						}
					}
				}
				verdict := "named"
				if len(faults) > 0 {
					verdict, bad = "NOT AS IT SHOULD BE", bad+1
				}
				fmt.Fprintf(out, "%-13s %d runs, totals at most %.1f %% off, %s: %s\n", s.Name, runs, 100*worst, verdict, s.What)
				for _, f := range faults {
					fmt.Fprintln(out, "    "+f)
				}
			}
			if played == 0 {
				return fmt.Errorf("--scenario %q: want one of %s", only, strings.Join(attributiontest.Names(), ", "))
			}
			if bad > 0 {
				return fmt.Errorf("%d of %d scenarios are not as they should be", bad, played)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&runs, "runs", 1, "runs of each scenario, with seeds that follow each other")
	f.Uint64Var(&seed, "seed", 1, "seed of the first run")
	f.StringVar(&only, "scenario", "", "only this scenario: "+strings.Join(attributiontest.Names(), ", "))
	f.StringVar(&dir, "keep", "", "directory that keeps the account logs and reports")
	return c
}

func drillReport(file string, r attributiontest.Result) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return attributionreport.HTML(f, &attributionreport.Data{Slots: r.Data, Notes: []string{fmt.Sprintf("drill %s, seed %d, %v", r.Scenario, r.Seed, r.Took.Round(time.Millisecond))}}, "")
}
