package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"chalkstand/gateway"
)

// adminHeaderTimeout is the timeout for reading the header of a request to the admin server.
const adminHeaderTimeout = 10 * time.Second

// listen opens the listener of the object API. It also starts the admin server if the settings
// contain an address for it.
func (d *daemon) listen(registry *prometheus.Registry) (err error) {
	if d.listener, err = gateway.Listen(d.settings.Listen); err != nil {
		return err
	}
	if d.settings.Admin == "" {
		return nil
	}
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", d.settings.Admin)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	d.serveAdmin(ln, registry)
	return nil
}

// serveAdmin starts the admin server, which serves metrics, health, latency attribution and
// volume usage until the daemon is closed.
func (d *daemon) serveAdmin(ln net.Listener, registry *prometheus.Registry) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.Handle("/accounts", d.gateway.AttributionHandler())
	mux.Handle("/shares", d.gateway.VolumeUsageHandler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: adminHeaderTimeout}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("admin server stopped", zap.Error(err))
		}
	}()
	d.onClose(func() {
		if err := server.Close(); err != nil {
			d.log.Warn("admin server not closed cleanly", zap.Error(err))
		}
		<-served
	})
}
