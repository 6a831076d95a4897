package main

import (
	"chalkstand/respserver"
	"errors"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func runCommand() *cobra.Command {
	var file, level string
	c := &cobra.Command{
		Use: "run", Short: "Run a dispatcher of the platform's protocol", Args: cobra.NoArgs,
		Long: `Run a dispatcher that speaks RESP2 with clients and storage nodes and follows the platform's
discovery, until SIGTERM or SIGINT, which let it finish what it has taken. SIGHUP reads the
configuration again and takes over where discovery is.`,
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				file = os.Getenv("RELAY_CONFIG")
			}
			if file == "" {
				return errors.New("run: RELAY_CONFIG: expected the path of the configuration")
			}
			return runRelay(file, level)
		},
	}
	c.Flags().StringVar(&file, "config", "", "configuration file; empty: what RELAY_CONFIG names")
	c.Flags().StringVar(&level, "log", "info", "log level")
	return c
}

// memoryPart of the limit is left to the collector; the rest is the program itself, the
// kernel's buffers and what stands between two collections.
const memoryPart = 0.6

func runRelay(file, level string) error {
	cfg, err := respserver.LoadConfig(file)
	if err != nil {
		return err
	}
	log, err := newLogger(level)
	if err != nil {
		return err
	}
	defer log.Sync()
	runtime.GOMAXPROCS(1) // one loop on one core: a second thread would only wait for the first
	debug.SetMemoryLimit(int64(cfg.MemoryMB * memoryPart * (1 << 20)))
	f, err := respserver.New(cfg, log)
	if err != nil {
		return err
	}
	sig := make(chan os.Signal, 4)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range sig {
			if s != syscall.SIGHUP {
				log.Info("ending", zap.Stringer("signal", s))
				f.Stop()
				continue
			}
			next, err := respserver.LoadConfig(file)
			if err != nil {
				log.Error("the configuration stays as it is", zap.Error(err))
				continue
			}
			f.Reload(next)
		}
	}()
	log.Info("serving", zap.String("name", cfg.Name), zap.Stringer("listen", cfg.Listen), zap.Float64("cores", cfg.Cores),
		zap.Float64("memory_mb", cfg.MemoryMB), zap.Int("sockets", cfg.Sockets))
	return f.Run()
}
