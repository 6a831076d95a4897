// Command chalkstand is the storage gateway and its tools. It adds the loading of
// settings, signals and sockets to the library in package gateway.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func main() {
	if err := root().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "chalkstand:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:   "chalkstand",
		Short: "A storage gateway that schedules reads and writes across storage nodes",
		Long: `chalkstand takes requests of an object API over HTTP and schedules them across
storage nodes: which request leaves next, where to, and which is turned away.

Start here:
  chalkstand serve --config configs/quickstart.jsonc
runs a gateway on 127.0.0.1:9000 with stand-in nodes inside the process.`,
		SilenceUsage: true, SilenceErrors: true,
	}
	c.AddCommand(serveCommand(), nodeCommand(), checkCommand(), accountsCommand(), topCommand(), runCommand(), standinsCommand(), baddayCommand(), drillCommand(), exploreCommand(), replayCommand(), benchCommand(), versionCommand())
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version and how it was built", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			v, rev := "devel", ""
			if b, ok := debug.ReadBuildInfo(); ok {
				for _, s := range b.Settings {
					if s.Key == "vcs.revision" {
						rev = " " + s.Value
					}
				}
				v = b.GoVersion
			}
			fmt.Fprintf(cmd.OutOrStdout(), "chalkstand%s (%s)\n", rev, v)
		},
	}
}
