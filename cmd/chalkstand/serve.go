package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"chalkstand/dispatch"
	"chalkstand/gateway"
	"chalkstand/internal/settings"
	"chalkstand/internal/signals"
	"chalkstand/trace"
)

func checkConfigCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a settings file and report errors by line and field",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(),
				"%s: in order: %d shards, %d nodes, %d classes, %d plans, %d bucket rules, %d keys\n",
				args[0], s.Shards, len(s.Nodes), len(s.Classes), len(s.Plans), len(s.Buckets), len(s.Keys))
			return nil
		},
	}
}

// serveName is the name of the command that runs a gateway.
const serveName = "serve"

func serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   serveName,
		Short: "Run a gateway",
		Args:  cobra.NoArgs,
		Long: `Run a gateway until SIGTERM or SIGINT, which start a graceful shutdown.
SIGHUP reloads the settings and replaces nodes and access keys; everything else needs a restart.`,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), file) },
	}
	c.Flags().StringVar(&file, "config", "", "settings file (JSON with comments)")
	if err := c.MarkFlagRequired("config"); err != nil {
		panic(err) // unreachable, because the flag is defined above
	}
	return c
}

// newLogger returns a logger that writes messages of at least the given level to standard
// error as JSON lines.
func newLogger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	cfg.Sampling = nil
	if err := cfg.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	return cfg.Build()
}

// serve runs a gateway with the settings of a file until a signal stops it.
func serve(ctx context.Context, file string) error {
	// The listener stays active until the process ends, so that a signal that arrives after the
	// shutdown has no effect.
	received := signals.Listen()
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	log, err := newLogger(s.Log.Level)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // Sync fails if standard error is a terminal.
	d := &daemon{file: file, settings: s, log: log}
	defer d.close()
	if err := d.start(); err != nil {
		return err
	}
	return d.run(ctx, received)
}

// daemon is a gateway process with its log files, admin server and embedded nodes.
type daemon struct {
	file     string // path of the settings file
	settings *settings.Settings
	log      *zap.Logger
	gateway  *gateway.Gateway
	listener *net.TCPListener // listener of the object API, which Gateway.Serve closes
	closers  []func()         // functions that close calls in reverse order
}

// close closes all resources of the daemon in the reverse order of their opening.
func (d *daemon) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

// onClose registers a function that close calls.
func (d *daemon) onClose(f func()) { d.closers = append(d.closers, f) }

// start opens the trace, the attribution log and the listeners, and creates the gateway. It
// also starts embedded nodes if the settings configure them.
func (d *daemon) start() error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	opts := []gateway.Option{gateway.WithLogger(d.log), gateway.WithRegistry(registry)}
	traceOpts, err := d.openTrace()
	if err != nil {
		return err
	}
	opts = append(opts, traceOpts...)
	attributionLog, err := openAttributionLog(d.settings, d.log)
	if err != nil {
		return err
	}
	if attributionLog != nil {
		d.onClose(attributionLog.close)
		opts = append(opts, gateway.WithAttributionLog(attributionLog.append))
	}
	if d.gateway, err = gateway.New(*d.settings, opts...); err != nil {
		return err
	}
	if attributionLog != nil {
		attributionLog.bind(d.gateway)
	}
	d.onClose(d.closeGateway)
	if d.settings.EmbeddedNodes != nil {
		nodes, err := startEmbeddedNodes(d.settings, d.gateway, d.log)
		if err != nil {
			return err
		}
		d.onClose(nodes.close)
	}
	return d.listen(registry)
}

// closeGateway closes the gateway and logs an error.
func (d *daemon) closeGateway() {
	if err := d.gateway.Close(); err != nil {
		d.log.Warn("gateway not closed cleanly", zap.Error(err))
	}
}

// run serves requests until the gateway fails or a signal stops it. It also reloads the
// settings when a reload signal arrives.
func (d *daemon) run(ctx context.Context, received *signals.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- d.gateway.Serve(ctx, d.listener) }()
	d.log.Info("serving",
		zap.String("object_api", d.settings.Listen),
		zap.String("admin", d.settings.Admin),
		zap.Int("shards", d.settings.Shards))
	for {
		select {
		case err := <-served:
			return err
		case <-received.Reload:
			d.reload()
		case stop := <-received.Stop:
			d.shutdown(stop)
			cancel()
			return <-served
		}
	}
}

// shutdown waits until the requests in flight are complete, but at most for the drain_wait of
// the settings.
func (d *daemon) shutdown(received os.Signal) {
	d.log.Info("graceful shutdown started", zap.Stringer("signal", received))
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.ShutdownTimeout.D())
	defer cancel()
	if err := d.gateway.Drain(ctx); err != nil {
		d.log.Warn("graceful shutdown incomplete", zap.Error(err))
	}
	d.log.Info("graceful shutdown finished")
}

// reload reads the settings file again and replaces the access keys and the nodes. If the file
// is invalid, the gateway keeps its current keys and nodes.
func (d *daemon) reload() {
	s, err := settings.Load(d.file)
	if err != nil {
		d.log.Error("configuration reload rejected", zap.Error(err))
		return
	}
	d.gateway.SetKeys(s.Keys)
	if d.settings.EmbeddedNodes == nil && s.EmbeddedNodes == nil {
		d.gateway.UpdateEndpoints(dispatch.Snapshot, gateway.EndpointsOf(s.Nodes))
	}
	d.log.Info("configuration reloaded", zap.Int("keys", len(s.Keys)), zap.Int("nodes", len(s.Nodes)))
}

// traceQueue is the maximum number of events that wait to be written to the trace.
const traceQueue = 1 << 16

// openTrace starts to record the dispatcher's events if the settings contain a trace file. It
// returns the gateway options that the recording needs.
func (d *daemon) openTrace() ([]gateway.Option, error) {
	if d.settings.Trace == "" {
		return nil, nil
	}
	f, err := os.Create(d.settings.Trace)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	seed := rand.Uint64()
	w, err := trace.NewWriter(f, d.settings.DispatchConfig(), seed, traceQueue)
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	d.onClose(func() {
		if err := errors.Join(w.Close(), f.Close()); err != nil {
			d.log.Warn("trace stopped early", zap.Error(err))
		}
	})
	return []gateway.Option{gateway.WithSeed(seed), gateway.WithTrace(w.Record)}, nil
}
