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

// These timeouts apply to a discovery watch. The server must apply an update at most 6 s after
// discovery has the update and is reachable. It must also apply the update at most 6 s after the
// watch that should have delivered the update falls silent. Discovery responds within 2 s or not at
// all, and it sends an empty line every 2 s. After a watch ends, the dispatcher waits up to 0.75 s
// before it polls again if the watch had received an update, and up to 3 s otherwise.
const (
	discoveryResponseTimeout = 2500 * time.Millisecond
	discoverySilenceTimeout  = 2700 * time.Millisecond
)

// watch is an open discovery watch.
type watch struct {
	cancel   context.CancelFunc
	ended    <-chan struct{} // closed when the goroutine of the watch has ended
	received bool            // whether the watch has received an endpoint list
}

// openWatch opens a discovery watch that starts at the known version. It does nothing if a watch is
// open or the server is shutting down.
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
		func(list endpoints.Document) { s.applyOnLoop(w, list) },
		func(err error) { s.loop.Post(func() { s.watchClosed(w, err) }) })
}

// applyOnLoop applies an endpoint list on the event loop and waits until that is done. A discovery service
// that sends lists faster than the loop applies them is thereby slowed down, instead of filling the memory.
func (s *Server) applyOnLoop(w *watch, list endpoints.Document) {
	applied := make(chan struct{})
	s.loop.PostOrDrop(func() {
		s.applyEndpoints(w, list)
		close(applied)
	}, func() { close(applied) })
	<-applied
}

// applyEndpoints applies an endpoint list that a watch has received. It ignores a list that is older
// than the known version, unless the list is a snapshot and the first list of its watch: discovery at
// a new address may have older data than the previous one.
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

// watchClosed handles the end of a watch that the server has not canceled.
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

// closeWatches cancels the open watches and waits until their goroutines have ended.
func (s *Server) closeWatches() {
	for _, w := range []*watch{s.watch, s.previousWatch} {
		if w != nil {
			w.cancel()
			<-w.ended
		}
	}
}

// Reload applies the address of discovery from a new configuration. It ignores all other fields,
// which cannot change at run time. The server opens a watch at the new address before it closes the
// previous watch.
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

// retireWatch makes the current watch the previous watch. If there already is a previous watch, only
// one of the two stays open: the current watch if it has received an endpoint list, and otherwise the
// previous watch.
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
