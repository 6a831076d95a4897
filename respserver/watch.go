package respserver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/discovery"
	"chalkstand/internal/endpoints"
)

// Time-outs of a discovery watch. An update has to be applied 6 s after discovery had it and could be
// reached, and 6 s after the watch fell silent that would have delivered it. Discovery responds within
// 2 s or not at all and sends an empty line every 2 s; the dispatcher waits up to 0.75 s before it polls
// after a watch that had received an update, and up to 3 s otherwise.
const (
	discoveryResponseTimeout = 2500 * time.Millisecond
	discoverySilenceTimeout  = 2700 * time.Millisecond
)

// watch is an open discovery watch.
type watch struct {
	cancel   context.CancelFunc
	ended    <-chan struct{} // closed when its goroutine has ended
	received bool            // an endpoint list
}

// openWatch opens a discovery watch from the known version on, unless one is open.
func (s *Server) openWatch() {
	if s.watch != nil || s.shuttingDown {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{cancel: cancel}
	s.watch = w
	options := discovery.Options{
		Names:           s.cfg.endpointNames(),
		ResponseTimeout: discoveryResponseTimeout,
		SilenceTimeout:  discoverySilenceTimeout,
	}
	w.ended = discovery.Watch(ctx, s.discoveryAddr.String(), s.endpointVersion, options,
		func(list endpoints.Document) { s.loop.Post(func() { s.applyEndpoints(w, list) }) },
		func(err error) { s.loop.Post(func() { s.watchClosed(w, err) }) })
}

// applyEndpoints applies an endpoint list that a watch has received. A list older than the known
// version is stale, unless it is a snapshot and the first list of its watch: discovery at a new
// address may be behind.
func (s *Server) applyEndpoints(w *watch, list endpoints.Document) {
	if w != s.watch && w != s.previousWatch {
		return
	}
	first := !w.received
	w.received = true
	if w == s.watch && s.previousWatch != nil {
		s.previousWatch.cancel()
		s.previousWatch = nil
	}
	initialSnapshot := first && list.Snapshot
	if list.Version < s.endpointVersion && !initialSnapshot {
		s.log.Info("stale endpoint list ignored",
			zap.Int64("version", list.Version), zap.Int64("known_version", s.endpointVersion))
		return
	}
	s.endpointVersion = list.Version
	kind := dispatch.Delta
	if list.Snapshot {
		kind = dispatch.Snapshot
	}
	s.handle(forwarder.EndpointUpdate{Kind: kind, Nodes: list.Nodes})
}

// watchClosed is called when a watch has ended by itself.
func (s *Server) watchClosed(w *watch, err error) {
	w.cancel()
	switch w {
	case s.previousWatch:
		s.previousWatch = nil
	case s.watch:
		s.watch = nil
		s.log.Info("discovery watch closed", zap.Error(err))
		s.handle(forwarder.EndpointUpdate{Kind: dispatch.PollFailed})
	}
}

// closeWatches ends the open watches and waits for them.
func (s *Server) closeWatches() {
	for _, w := range []*watch{s.watch, s.previousWatch} {
		if w != nil {
			w.cancel()
			<-w.ended
		}
	}
}

// Reload applies the part of a new configuration that may change at run time: the address of
// discovery. The watch there is opened while the previous one is still open.
func (s *Server) Reload(cfg Config) {
	s.loop.Post(func() {
		if cfg.Discovery == s.discoveryAddr || s.shuttingDown {
			return
		}
		s.log.Info("discovery address changed", zap.Stringer("address", cfg.Discovery))
		s.discoveryAddr = cfg.Discovery
		s.retireWatch()
		s.openWatch()
	})
}

// retireWatch makes the open watch the previous one. If there is a previous one already, the one that
// has received a list is kept and the other is closed.
func (s *Server) retireWatch() {
	if s.watch == nil {
		return
	}
	if s.previousWatch == nil || s.watch.received {
		s.previousWatch, s.watch = s.watch, s.previousWatch
	}
	if s.watch != nil {
		s.watch.cancel()
		s.watch = nil
	}
}
