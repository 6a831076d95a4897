package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

// Option changes how a Gateway is built.
type Option func(*Gateway)

// WithLogger has the gateway log to l. The default is no log.
func WithLogger(l *zap.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithRegistry registers the gateway's metrics. The default is none.
func WithRegistry(r prometheus.Registerer) Option { return func(g *Gateway) { g.registry = r } }

// WithClock sets the wall clock by which signatures are checked.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.wallClock = now } }

// WithSeed fixes the seed of the dispatcher's random choices.
func WithSeed(seed uint64) Option { return func(g *Gateway) { g.seed = seed } }

// WithTrace has f called with each event of the dispatcher and the actions that it returned, in order
// and one at a time. f must not block.
func WithTrace(f func(now time.Duration, ev dispatch.Event, acts []dispatch.Action)) Option {
	return func(g *Gateway) { g.trace = f }
}

// WithAttribution has f called with the latency attribution of each client request that needed a
// node, one at a time, soon after its end. It turns attribution on whatever the settings say.
// f must not block.
func WithAttribution(f func(attribution.Entry)) Option {
	return func(g *Gateway) {
		g.onEntry = f
		g.cfg.Accounts.On = true
	}
}

// WithAttributionLog has f called with the aggregator's slots as they close and with later corrections
// of them, in order and one at a time.
func WithAttributionLog(f func(attribution.Action)) Option {
	return func(g *Gateway) { g.onLogAction = f }
}
