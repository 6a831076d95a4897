package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

// Option configures the Gateway that New builds.
type Option func(*Gateway)

// WithLogger makes the gateway log to l. By default the gateway does not log.
func WithLogger(l *zap.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithRegistry makes New register the gateway's metrics with r. By default they are not registered.
func WithRegistry(r prometheus.Registerer) Option { return func(g *Gateway) { g.registry = r } }

// WithClock sets the wall clock that the gateway uses to check signatures and to write dates. The
// default is time.Now.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.wallClock = now } }

// WithSeed sets the seed of the dispatcher's random choices. By default the seed is random.
func WithSeed(seed uint64) Option { return func(g *Gateway) { g.seed = seed } }

// WithTrace makes the gateway call f with each event that the dispatcher handles and the actions that
// the dispatcher returns for it. The calls are in the order of the events, one at a time. The function
// f must not block.
func WithTrace(f func(now time.Duration, ev dispatch.Event, acts []dispatch.Action)) Option {
	return func(g *Gateway) { g.trace = f }
}

// WithAttribution makes the gateway call f with the latency attribution of each client request that
// used a node. The calls are one at a time, soon after the end of the request. The option turns
// attribution on, even if accounts.on is false in the settings. The function f must not block.
func WithAttribution(f func(attribution.Entry)) Option {
	return func(g *Gateway) {
		g.onEntry = f
		g.cfg.Attribution.Enabled = true
	}
}

// WithAttributionLog makes the gateway call f with each slot of the attribution aggregator when the
// slot closes, and with each later correction of a closed slot. The calls are in order, one at a
// time.
func WithAttributionLog(f func(attribution.Action)) Option {
	return func(g *Gateway) { g.onLogAction = f }
}
