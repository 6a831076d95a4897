package main

import (
	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/settings"
	"chalkstand/trace"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check-config FILE", Short: "Check a settings file and say what is wrong with it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: in order: %d shards, %d nodes, %d classes, %d plans, %d bucket rules, %d keys\n",
				args[0], s.Shards, len(s.Nodes), len(s.Classes), len(s.Plans), len(s.Buckets), len(s.Keys))
			return nil
		},
	}
}

func serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use: "serve", Short: "Run a gateway", Args: cobra.NoArgs,
		Long: `Run a gateway until SIGTERM or SIGINT, which let it finish what it has taken.
SIGHUP reads the settings again and takes over nodes and keys; all else needs a restart.`,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), file) },
	}
	c.Flags().StringVar(&file, "config", "", "settings file (JSON with comments)")
	c.MarkFlagRequired("config")
	return c
}

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

// serve runs the daemon.
func serve(ctx context.Context, file string) error {
	if ctx == nil {
		ctx = context.Background()
	}
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	log, err := newLogger(s.Log.Level)
	if err != nil {
		return err
	}
	defer log.Sync()
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	opts := []gateway.Option{gateway.WithLogger(log), gateway.WithRegistry(reg)}
	record, stopRecord, err := startTrace(s, log)
	if err != nil {
		return err
	}
	defer stopRecord()
	save, bind, stopSave, err := saveAccounts(s, log)
	if err != nil {
		return err
	}
	defer stopSave()
	g, err := gateway.New(*s, append(append(opts, record...), save...)...)
	if err != nil {
		return err
	}
	bind(g)
	defer g.Close()
	if s.Embedded != nil {
		stop, err := embed(s, g)
		if err != nil {
			return err
		}
		defer stop()
	}
	ln, err := gateway.Listen(s.Listen)
	if err != nil {
		return err
	}
	if s.Admin != "" {
		stop, err := admin(s.Admin, reg, g)
		if err != nil {
			return err
		}
		defer stop()
	}
	sig := make(chan os.Signal, 4)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(sig)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- g.Serve(ctx, ln) }()
	log.Info("serving", zap.String("object_api", s.Listen), zap.String("admin", s.Admin), zap.Int("shards", s.Shards))
	for {
		select {
		case err := <-ended:
			return err
		case got := <-sig:
			if got == syscall.SIGHUP {
				reload(file, g, s, log)
				continue
			}
			log.Info("draining", zap.String("signal", got.String()))
			wait, cancel := context.WithTimeout(context.Background(), s.Limits.DrainWait.D())
			err := g.Drain(wait)
			cancel()
			if err != nil {
				log.Warn("drained in part", zap.Error(err))
			}
			log.Info("stopped")
			return nil
		}
	}
}

// startTrace records the dispatcher's events where the settings name a file.
func startTrace(s *settings.Settings, log *zap.Logger) ([]gateway.Option, func(), error) {
	if s.Trace == "" {
		return nil, func() {}, nil
	}
	f, err := os.Create(s.Trace)
	if err != nil {
		return nil, nil, fmt.Errorf("trace: %w", err)
	}
	seed := rand.Uint64()
	w, err := trace.NewWriter(f, s.DispatchConfig(), seed, traceQueue)
	if err != nil {
		return nil, nil, err
	}
	stop := func() {
		if err := errors.Join(w.Close(), f.Close()); err != nil {
			log.Warn("trace ended early", zap.Error(err))
		}
	}
	return []gateway.Option{gateway.WithSeed(seed), gateway.WithTrace(w.Record)}, stop, nil
}

// traceQueue bounds the entries that wait to be written.
const traceQueue = 1 << 16

// reload takes over the nodes and keys of a changed file; a bad one changes nothing.
func reload(file string, g *gateway.Gateway, old *settings.Settings, log *zap.Logger) {
	s, err := settings.Load(file)
	if err != nil {
		log.Error("settings not taken over", zap.Error(err))
		return
	}
	g.SetKeys(s.Keys)
	if old.Embedded == nil && s.Embedded == nil {
		g.UpdateEndpoints(dispatch.Snapshot, gateway.EndpointsOf(s.Nodes))
	}
	log.Info("settings taken over", zap.Int("keys", len(s.Keys)), zap.Int("nodes", len(s.Nodes)))
}

// embed runs a stand-in node for each shard.
func embed(s *settings.Settings, g *gateway.Gateway) (stop func(), err error) {
	e := s.Embedded
	ledger := storagenode.NewLedger(time.Second, 300*time.Millisecond)
	var nodes []*storagenode.Node
	var sets []*storagenode.Dataset
	var list []forwarder.Node
	stop = func() {
		for _, n := range nodes {
			n.Stop()
		}
		for _, d := range sets {
			d.Close()
		}
	}
	epoch := time.Now()
	for i := range s.Shards {
		cfg := storagenode.Config{
			ID: fmt.Sprintf("embedded-%d", i), Shard: i, Cores: e.Cores, Queue: e.Queue, PerUnit: e.PerUnit.D(),
			ReportEvery: 100 * time.Millisecond, DedupWindow: 30 * time.Second, DiscardLog: true, Timing: true,
		}
		data := storagenode.NewDataset("")
		if e.Dir != "" {
			var err error
			if data, err = storagenode.OpenDataset(filepath.Join(e.Dir, fmt.Sprintf("shard-%d", i))); err != nil {
				stop()
				return nil, fmt.Errorf("embedded_nodes.dir: %w", err)
			}
		}
		n, err := storagenode.Start("127.0.0.1:0", cfg, data, ledger, epoch)
		if err != nil {
			data.Close()
			stop()
			return nil, err
		}
		sets = append(sets, data)
		nodes = append(nodes, n)
		list = append(list, forwarder.Node{Addr: n.Addr(), Node: dispatch.Node{ID: dispatch.NodeID(n.ID()), Shard: dispatch.Shard(i)}})
	}
	g.UpdateEndpoints(dispatch.Snapshot, list)
	return stop, nil
}

// admin serves metrics, health and accounts.
func admin(addr string, reg *prometheus.Registry, g *gateway.Gateway) (stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.Handle("/accounts", g.AttributionHandler())
	mux.Handle("/shares", g.VolumeUsageHandler())
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "chalkstand: admin:", err)
		}
	}()
	return func() { srv.Close() }, nil
}
