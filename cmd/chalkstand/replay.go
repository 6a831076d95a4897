package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"chalkstand/trace"
)

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE...",
		Short: "Replay recorded traces and compare the dispatcher's actions",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			diverged := 0
			for _, name := range args {
				result, err := replayFile(name)
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				printReplay(cmd.OutOrStdout(), name, result)
				if result.Divergence != nil {
					diverged++
				}
			}
			if diverged > 0 {
				return fmt.Errorf("%d of %d traces diverged", diverged, len(args))
			}
			return nil
		},
	}
}

func replayFile(name string) (trace.Result, error) {
	f, err := os.Open(name)
	if err != nil {
		return trace.Result{}, err
	}
	defer func() { _ = f.Close() }() // A file opened for reading needs no error check on Close.
	return trace.Replay(f)
}

func printReplay(out io.Writer, name string, r trace.Result) {
	truncated := ""
	if r.Truncated {
		truncated = ", where the trace is truncated"
	}
	fmt.Fprintf(out, "%s: %d events, %d actions, to %v%s\n", name, r.Events, r.Actions, r.End, truncated)
	if d := r.Divergence; d != nil {
		fmt.Fprintf(out, "event %d at %v differs: %s\n  recorded %v\n  now      %v\n",
			d.Event, d.At, d.EventText, d.Recorded, d.Replayed)
	}
}
