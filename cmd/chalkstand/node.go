package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"chalkstand/standin/storage"
)

func nodeCommand() *cobra.Command {
	var addr, dir string
	cfg := storage.Config{Forget: true}
	c := &cobra.Command{Use: "node", Short: "Run a stand-in storage node",
		Long: `Run a stand-in storage node until SIGTERM or SIGINT. It speaks the object API without
signatures, so it belongs on loopback. It keeps a shard's objects in memory, their bytes in
files with --dir; what it holds is gone when it ends.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dir != "" {
				if err := os.MkdirAll(dir, 0o755); err != nil {
					return err
				}
			}
			n, err := storage.Start(addr, cfg, storage.NewDataset(dir), nil, time.Now())
			if err != nil {
				return err
			}
			defer n.Stop()
			fmt.Fprintln(cmd.OutOrStdout(), n.Addr())
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			<-ctx.Done()
			return nil
		}}
	f := c.Flags()
	f.StringVar(&addr, "listen", "127.0.0.1:0", "address; port 0 takes any, which is printed")
	f.StringVar(&cfg.ID, "id", "node", "name in load reports")
	f.IntVar(&cfg.Shard, "shard", 0, "shard that it holds")
	f.StringVar(&dir, "dir", "", "directory for the objects' bytes; empty: memory")
	f.IntVar(&cfg.Cores, "cores", 0, "requests worked on at a time; 0: no bound")
	f.IntVar(&cfg.Queue, "queue", 256, "requests that may wait; more are turned away")
	f.DurationVar(&cfg.PerUnit, "per-unit", 0, "work of one unit, such as 5ms")
	f.Float64Var(&cfg.Speed, "speed", 1, "of a core")
	f.Float64Var(&cfg.ColdFrom, "cold-from", 0, "share of its speed right after the start; 0: born warm")
	f.DurationVar(&cfg.WarmUp, "warm-up", 0, "until it has its full speed")
	f.DurationVar(&cfg.ReportEvery, "report-every", 100*time.Millisecond, "how long a load report stays the same")
	f.DurationVar(&cfg.Remember, "remember", 30*time.Second, "how long repeats of a keyed write are dropped")
	return c
}
