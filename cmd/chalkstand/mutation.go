package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"chalkstand/lab/mutation"
)

func mutationCommand() *cobra.Command {
	var root, only string
	c := &cobra.Command{
		Use:     "mutation",
		Aliases: []string{"mutants"},
		Short:   "Mutation testing: change the guards one at a time; the model checker must find each change",
		Long: `Copy the sources, change one guard after another in the copy, and run the model checker's tests on it.
It needs Go and the sources, and takes some minutes.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return testMutants(ctx, cmd.OutOrStdout(), root, only)
		},
	}
	c.Flags().StringVar(&root, "sources", ".", "root of the sources")
	c.Flags().StringVar(&only, "only", "", "only mutants whose name contains this")
	return c
}

// testMutants copies the sources and runs the model checker's tests on each mutant of the
// copy. It returns an error if the tests cannot run on a mutant, or if they pass on a mutant
// that is not known to be equivalent to the original.
func testMutants(ctx context.Context, out io.Writer, root, only string) (err error) {
	if err := mutation.Check(root); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "chalkstand-mutants")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	if err := mutation.Copy(root, dir); err != nil {
		return err
	}
	killed, survived := 0, 0
	for _, m := range mutation.All() {
		if !strings.Contains(m.Name, only) {
			continue
		}
		f, err := mutation.Test(ctx, dir, m)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			survived++
			fmt.Fprintf(out, "ERROR   %v\n", err)
		case f.Killed:
			killed++
			fmt.Fprintf(out, "found   %s: %s\n", m.Name, f.Cause)
		case m.EquivalentBecause != "":
			fmt.Fprintf(out, "equal   %s: %s\n", m.Name, m.EquivalentBecause)
		default:
			survived++
			fmt.Fprintf(out, "MISSED  %s\n", m.Name)
		}
	}
	fmt.Fprintf(out, "%d found, %d missed\n", killed, survived)
	if survived > 0 {
		return fmt.Errorf("%d mutants were not found", survived)
	}
	return nil
}
