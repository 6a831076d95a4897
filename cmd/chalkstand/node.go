package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"chalkstand/fake/storagenode"
)

// nodeOptions holds the flags of the node command.
type nodeOptions struct {
	config    storagenode.Config
	addr      string  // address to listen on
	dir       string  // directory for the objects; if empty, they are kept in memory
	faultFile string  // file with a script of faults; if empty, no faults are injected
	linkMiB   float64 // bandwidth of all responses together, in MiB per second; 0 means unlimited
}

// nodeLogLevel is the minimum level of messages that a node logs.
const nodeLogLevel = "info"

func nodeCommand() *cobra.Command {
	o := &nodeOptions{config: storagenode.Config{DiscardLog: true}}
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a fake storage node",
		Long: `Run a fake storage node until SIGTERM or SIGINT. It serves the object API without
checking signatures, so it belongs on loopback. It keeps a shard's objects in memory, or in a directory that
a successor can take over. It injects faults from a script: a JSON list, comments allowed, such as
  [{"at_ms": 2000, "for_ms": 1000, "kind": "stall", "share": 0.5, "method": "GET", "path": "/photos/"}]
with the kinds stall, within, refuse, broken, reset, lose, half, slow (factor), pause and die.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	o.addServerFlags(c)
	o.addReportFlags(c)
	return c
}

// addServerFlags adds the flags for addresses, storage and capacity.
func (o *nodeOptions) addServerFlags(c *cobra.Command) {
	f, cfg := c.Flags(), &o.config
	f.StringVar(&o.addr, "listen", "127.0.0.1:0", "address; with port 0 any free port, which is printed")
	f.StringVar(&cfg.ID, "id", "node", "name in load reports")
	f.IntVar(&cfg.Shard, "shard", 0, "shard that it stores")
	f.StringVar(&o.dir, "dir", "", "directory for the objects; empty: memory")
	f.StringVar(&o.faultFile, "faults", "", "file with a script of faults")
	f.IntVar(&cfg.Cores, "cores", 0, "requests processed concurrently; 0: unlimited")
	f.IntVar(&cfg.Queue, "queue", 256, "requests that may wait; more are rejected")
	f.DurationVar(&cfg.PerUnit, "per-unit", 0, "service time of one unit, such as 5ms")
	f.Float64Var(&cfg.Speed, "speed", 1, "speed of a core")
	f.Float64Var(&cfg.InitialSpeed, "cold-from", 0, "slow start: initial share of the full speed; 0: no slow start")
	f.DurationVar(&cfg.WarmUp, "warm-up", 0, "duration of the slow start")
	f.DurationVar(&cfg.DedupWindow, "remember", 30*time.Second, "how long repeats of a deduplicated write are dropped")
	f.Float64Var(&o.linkMiB, "link", 0, "bandwidth of all responses together, MiB a second; 0: unlimited")
	f.IntVar(&cfg.SendBuffer, "send-buffer", 0, "send buffer of each connection, bytes; 0: the system's default")
}

// addReportFlags adds the flags for load reports and timings.
func (o *nodeOptions) addReportFlags(c *cobra.Command) {
	f, cfg := c.Flags(), &o.config
	f.DurationVar(&cfg.ReportEvery, "report-every", 100*time.Millisecond, "interval at which the load report changes")
	f.DurationVar(&cfg.ReportDelay, "report-late", 0, "delay of load reports")
	f.Float64Var(&cfg.ReportNoise, "report-noise", 0, "largest random error of load reports, as a share")
	f.BoolVar(&cfg.Timing, "timing", false, "report each request's queue and service time (Server-Timing)")
	f.DurationVar(&cfg.TimingDelay, "timing-late", 0, "delay of timings, carried by a later response; 0: no delay")
	f.Float64Var(&cfg.TimingLossRate, "timing-lose", 0, "share of requests without timings")
}

// run runs the node until a signal or the script of faults stops it.
func (o *nodeOptions) run(ctx context.Context, out io.Writer) (err error) {
	o.config.Link = o.linkMiB * (1 << 20)
	if o.config.Logger, err = newLogger(nodeLogLevel); err != nil {
		return err
	}
	data := storagenode.NewDataset("")
	if o.dir != "" {
		if data, err = storagenode.OpenDataset(o.dir); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, data.Close()) }()
	}
	var script []storagenode.ScriptedFault
	if o.faultFile != "" {
		text, err := os.ReadFile(o.faultFile)
		if err != nil {
			return err
		}
		if script, err = storagenode.ParseScript(text); err != nil {
			return err
		}
	}
	n, err := storagenode.Start(o.addr, o.config, data, nil, time.Now())
	if err != nil {
		return err
	}
	defer n.Stop()
	n.RunScript(script)
	fmt.Fprintln(out, n.Addr())
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
	case <-n.Done():
	}
	return nil
}
