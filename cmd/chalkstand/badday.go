package main

import (
	"chalkstand/dispatch"
	"chalkstand/lab/faultinjection"
	"chalkstand/trace"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"
)

func baddayCommand() *cobra.Command {
	o := faultinjection.Defaults(1)
	var script, record string
	var show, quiet bool
	var seeds int
	c := &cobra.Command{
		Use: "badday", Short: "Play a scripted bad day through real gateways and check the rules",
		Long: `Play a bad day on loopback: several gateways before many stand-in nodes, with surges, a
flooding volume, waves of drains with cold successors, gateway crashes with stale lists, late
reports, silent, slow and dying nodes, lost and broken answers, and impatient clients. The
rules are checked from the clients' and the nodes' own logs. Exits with 1 if one broke.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if script != "" {
				text, err := os.ReadFile(script)
				if err != nil {
					return err
				}
				if o.Script, err = faultinjection.Parse(text); err != nil {
					return err
				}
			}
			out := cmd.OutOrStdout()
			if show {
				s := o.Script
				if s == nil {
					s = faultinjection.Generate(o.Seed, o.Day)
				}
				_, err := io.WriteString(out, s.Text())
				return err
			}
			if !quiet {
				o.Progress = out
			}
			broken := 0
			for i := range seeds {
				day := o
				day.Seed += uint64(i)
				var done func() error
				if record != "" {
					day.Trace, done = recorder(record, day.Seed)
				}
				r, err := faultinjection.Run(cmd.Context(), day)
				if done != nil {
					err = errors.Join(err, done())
				}
				if err != nil {
					return err
				}
				r.Write(out)
				if len(r.Breaches) > 0 {
					broken++
				}
			}
			if broken > 0 {
				return fmt.Errorf("rules broken on %d of %d days", broken, seeds)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "of the script, the load and the gateways")
	f.IntVar(&seeds, "days", 1, "days to play, with seeds from --seed on")
	f.DurationVar(&o.Day, "for", o.Day, "length of a day")
	f.StringVar(&script, "script", "", "file with the troubles, instead of those of the seed")
	f.BoolVar(&show, "print-script", false, "print the script and play nothing")
	f.IntVar(&o.Gateways, "gateways", o.Gateways, "gateways")
	f.IntVar(&o.Shards, "nodes", o.Shards, "nodes that serve at a time")
	f.IntVar(&o.Volumes, "volumes", o.Volumes, "volumes")
	f.Float64Var(&o.Rate, "rate", o.Rate, "requests a second in quiet times")
	f.StringVar(&o.Withhold, "withhold", "", "take a guard away, to see that its rule breaks: budget, limits, order, effects, cold, drains, time")
	f.StringVar(&record, "record", "", "directory for a trace of each gateway's dispatcher")
	f.BoolVar(&quiet, "quiet", false, "the report only")
	return c
}

// recorder writes a trace file for each gateway.
func recorder(dir string, seed uint64) (func(string, dispatch.Config, uint64) func(time.Duration, dispatch.Event, []dispatch.Action), func() error) {
	var mu sync.Mutex
	var writers []*trace.Writer
	var files []*os.File
	var failed error
	start := func(name string, cfg dispatch.Config, s uint64) func(time.Duration, dispatch.Event, []dispatch.Action) {
		mu.Lock()
		defer mu.Unlock()
		err := os.MkdirAll(dir, 0o755)
		var f *os.File
		if err == nil {
			f, err = os.Create(filepath.Join(dir, fmt.Sprintf("day%d-%s.trace", seed, name)))
		}
		var w *trace.Writer
		if err == nil {
			w, err = trace.NewWriter(f, cfg, s, 1<<17)
		}
		if err != nil {
			failed = errors.Join(failed, err)
			return nil
		}
		writers, files = append(writers, w), append(files, f)
		return w.Record
	}
	return start, func() error {
		mu.Lock()
		defer mu.Unlock()
		for i, w := range writers {
			failed = errors.Join(failed, w.Close(), files[i].Close())
		}
		return failed
	}
}

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "replay FILE...", Short: "Play recorded events again and compare the dispatcher's actions", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			split := 0
			for _, name := range args {
				f, err := os.Open(name)
				if err != nil {
					return err
				}
				r, err := trace.Replay(f)
				f.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				torn := ""
				if r.Truncated {
					torn = ", where the record breaks off"
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d events, %d actions, to %v%s\n", name, r.Events, r.Actions, r.End, torn)
				if s := r.Divergence; s != nil {
					split++
					fmt.Fprintf(cmd.OutOrStdout(), "event %d at %v differs: %s\n  recorded %v\n  now      %v\n", s.Event, s.At, s.EventText, s.Recorded, s.Replayed)
				}
			}
			if split > 0 {
				return fmt.Errorf("%d of %d records differ", split, len(args))
			}
			return nil
		},
	}
}
