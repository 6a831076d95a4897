package main

import (
	"errors"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"chalkstand/internal/signals"
	"chalkstand/respserver"
)

// runName is the name of the command that runs the RESP2 server.
const runName = "run"

// runCommand returns the command that runs the RESP2 server.
func runCommand() *cobra.Command {
	var file, level string
	c := &cobra.Command{
		Use:   runName,
		Short: "Run a dispatcher of the platform's protocol",
		Args:  cobra.NoArgs,
		Long: `Run a dispatcher that speaks RESP2 with clients and storage nodes and follows the platform's
discovery, until SIGTERM or SIGINT, which start a graceful shutdown. SIGHUP reads the
configuration again and applies a changed discovery address.`,
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				file = os.Getenv("RELAY_CONFIG")
			}
			if file == "" {
				return errors.New("run: --config and RELAY_CONFIG are empty, expected the path of a configuration file")
			}
			return runServer(file, level)
		},
	}
	c.Flags().StringVar(&file, "config", "", "configuration file; if empty, the file that the environment variable RELAY_CONFIG names")
	c.Flags().StringVar(&level, "log", "info", "log level")
	return c
}

// runServer runs the server with the configuration of a file until a graceful shutdown is
// complete.
func runServer(file, level string) error {
	// The listener stays active until the process ends, so that a signal that arrives after the
	// shutdown has no effect.
	received := signals.Listen()
	cfg, err := respserver.LoadConfig(file)
	if err != nil {
		return err
	}
	log, err := newLogger(level)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // Sync fails if standard error is a terminal.
	// The server runs one event loop on one core. A second thread would only wait for the first.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(cfg.HeapBytes())
	server, err := respserver.New(cfg, log)
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	defer close(stopped)
	go handleSignals(received, stopped, server, file, log)
	log.Info("serving",
		zap.String("name", cfg.Name),
		zap.Stringer("listen", cfg.Listen),
		zap.Float64("cores", cfg.Cores),
		zap.Float64("memory_mb", cfg.MemoryMB),
		zap.Int("sockets", cfg.Sockets))
	return server.Run()
}

// handleSignals handles signals until the server has stopped. It reloads the configuration on
// SIGHUP and starts a graceful shutdown on SIGTERM and SIGINT.
func handleSignals(
	received *signals.Listener, stopped <-chan struct{}, server *respserver.Server, file string, log *zap.Logger,
) {
	for {
		select {
		case <-stopped:
			return
		case stop := <-received.Stop:
			log.Info("graceful shutdown started", zap.Stringer("signal", stop))
			server.Shutdown()
		case <-received.Reload:
			reloadServer(server, file, log)
		}
	}
}

// reloadServer reads the configuration file again and applies the changes. If the file is
// invalid, the server keeps its current configuration.
func reloadServer(server *respserver.Server, file string, log *zap.Logger) {
	cfg, err := respserver.LoadConfig(file)
	if err != nil {
		log.Error("configuration reload rejected", zap.Error(err))
		return
	}
	server.Reload(cfg)
}
