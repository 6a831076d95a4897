package main

import (
	"chalkstand/fake/storagenode"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

func nodeCommand() *cobra.Command {
	var addr, dir, faults string
	var linkMiB float64
	cfg := storagenode.Config{DiscardLog: true}
	c := &cobra.Command{
		Use: "node", Short: "Run a stand-in storage node",
		Long: `Run a stand-in storage node until SIGTERM or SIGINT. It speaks the object API without
signatures, so it belongs on loopback. It keeps a shard's objects in memory, or in a directory, which
a successor takes over after it. It fails as a script says: a JSON list, comments allowed, such as
  [{"at_ms": 2000, "for_ms": 1000, "kind": "stall", "share": 0.5, "method": "GET", "path": "/photos/"}]
with the kinds stall, within, refuse, broken, reset, lose, half, slow (factor), pause and die.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Link = linkMiB * (1 << 20)
			data := storagenode.NewDataset("")
			var orders []storagenode.ScriptedFault
			var err error
			if dir != "" {
				if data, err = storagenode.OpenDataset(dir); err != nil {
					return err
				}
				defer data.Close()
			}
			if faults != "" {
				text, err := os.ReadFile(faults)
				if err != nil {
					return err
				}
				if orders, err = storagenode.ParseScript(text); err != nil {
					return err
				}
			}
			n, err := storagenode.Start(addr, cfg, data, nil, time.Now())
			if err != nil {
				return err
			}
			defer n.Stop()
			n.RunScript(orders)
			fmt.Fprintln(cmd.OutOrStdout(), n.Addr())
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			select {
			case <-ctx.Done():
			case <-n.Done():
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&addr, "listen", "127.0.0.1:0", "address; port 0 takes any, which is printed")
	f.StringVar(&cfg.ID, "id", "node", "name in load reports")
	f.IntVar(&cfg.Shard, "shard", 0, "shard that it holds")
	f.StringVar(&dir, "dir", "", "directory that holds the objects; empty: memory")
	f.StringVar(&faults, "faults", "", "file with a script of faults")
	f.IntVar(&cfg.Cores, "cores", 0, "requests worked on at a time; 0: no bound")
	f.IntVar(&cfg.Queue, "queue", 256, "requests that may wait; more are turned away")
	f.DurationVar(&cfg.PerUnit, "per-unit", 0, "work of one unit, such as 5ms")
	f.Float64Var(&cfg.Speed, "speed", 1, "of a core")
	f.Float64Var(&cfg.InitialSpeed, "cold-from", 0, "share of its speed right after the start; 0: born warm")
	f.DurationVar(&cfg.WarmUp, "warm-up", 0, "until it has its full speed")
	f.DurationVar(&cfg.ReportEvery, "report-every", 100*time.Millisecond, "how long a load report stays the same")
	f.DurationVar(&cfg.ReportDelay, "report-late", 0, "until a load report is told")
	f.Float64Var(&cfg.ReportNoise, "report-noise", 0, "share by which a load report may be off")
	f.BoolVar(&cfg.Timing, "timing", false, "tell with each answer how the request's time here divides (Server-Timing)")
	f.DurationVar(&cfg.TimingDelay, "timing-late", 0, "tell it so much later, with another answer; 0: with its own")
	f.Float64Var(&cfg.TimingLossRate, "timing-lose", 0, "share of requests of which it is never told")
	f.DurationVar(&cfg.DedupWindow, "remember", 30*time.Second, "how long repeats of a keyed write are dropped")
	f.Float64Var(&linkMiB, "link", 0, "MiB a second that all its answers together send; 0: no bound")
	f.IntVar(&cfg.SendBuffer, "send-buffer", 0, "bytes that the kernel holds of each connection's answers; 0: as it likes")
	return c
}
