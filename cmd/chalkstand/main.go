// Command chalkstand runs the storage gateway and its tools. It loads the settings, handles
// signals and opens the sockets; package gateway contains the gateway itself.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"chalkstand/internal/signals"
)

func main() {
	if err := root().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "chalkstand:", err)
		os.Exit(1)
	}
}

// root returns the chalkstand command with all its subcommands.
func root() *cobra.Command {
	c := &cobra.Command{
		Use:   "chalkstand",
		Short: "A storage gateway that schedules reads and writes across storage nodes",
		Long: `chalkstand accepts requests of an object API over HTTP and schedules them across
storage nodes: which request is sent next, to which node, and which is rejected.

Start here:
  chalkstand serve --config configs/quickstart.jsonc
runs a gateway on 127.0.0.1:9000 with fake nodes inside the process.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRun: func(cmd *cobra.Command, _ []string) {
			if !isServer(cmd) {
				signals.Release()
			}
		},
	}
	c.AddCommand(
		serveCommand(),
		nodeCommand(),
		checkConfigCommand(),
		accountsCommand(),
		topCommand(),
		runCommand(),
		fakeNodesCommand(),
		faultInjectionCommand(),
		soakCommand(),
		attributionTestCommand(),
		modelCheckCommand(),
		replayCommand(),
		benchCommand(),
		versionCommand(),
	)
	return c
}

// isServer reports whether a command runs a server process, which handles signals itself.
func isServer(c *cobra.Command) bool { return c.Name() == serveName || c.Name() == runName }

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version and how it was built",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version, revision := buildInfo()
			fmt.Fprintf(cmd.OutOrStdout(), "chalkstand%s (%s)\n", revision, version)
		},
	}
}

// buildInfo returns the Go version and the revision of the sources. The revision starts with a
// space, or is empty if the build does not contain it.
func buildInfo() (version, revision string) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "devel", ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = " " + s.Value
		}
	}
	return info.GoVersion, revision
}
