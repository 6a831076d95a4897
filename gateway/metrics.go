package gateway

import (
	"chalkstand/internal/objectapi"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are what a gateway counts. It registers as one collector.
type metrics struct {
	g             *Gateway
	requests      *prometheus.CounterVec
	latency       prometheus.Histogram
	attempts      prometheus.Counter
	rejected      prometheus.Counter
	overloaded    prometheus.Counter
	failed        prometheus.Counter
	aborted       prometheus.Counter
	canceled      prometheus.Counter
	connsRejected prometheus.Counter
	conns         prometheus.GaugeFunc
	inFlight      prometheus.GaugeFunc
	byOp          [][6]prometheus.Counter // by operation and first digit of the status
}

func newMetrics(g *Gateway) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "chalkstand", Name: name, Help: help})
	}
	gauge := func(name, help string, f func() float64) prometheus.GaugeFunc {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "chalkstand", Name: name, Help: help}, f)
	}
	m := &metrics{
		g: g,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chalkstand", Name: "requests_total",
			Help: "Client requests that had their final answer, by operation and class of status; 0xx: broken off.",
		}, []string{"op", "status"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "chalkstand", Name: "request_seconds",
			Help: "Time from a request's head to its answer's end.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}),
		attempts:      counter("attempts_total", "Requests sent to nodes, further attempts included."),
		rejected:      counter("refused_total", "Requests to nodes that the dispatcher refused."),
		overloaded:    counter("overloaded_total", "Requests refused unread because their volume had more waiting for the loop than its share can do."),
		failed:        counter("failed_total", "Requests to nodes that ended without a node's answer."),
		aborted:       counter("cut_total", "Answers broken off after their head."),
		canceled:      counter("gone_total", "Clients that left before their answer."),
		connsRejected: counter("connections_refused_total", "Connections closed at once for lack of room."),
		conns:         gauge("connections", "Open client connections.", func() float64 { return float64(g.clientConns.Load()) }),
		inFlight:      gauge("requests_in_hand", "Client requests taken and not yet answered.", func() float64 { return float64(g.inFlight.Load()) }),
	}
	m.byOp = make([][6]prometheus.Counter, objectapi.Kinds())
	for k := range m.byOp {
		for s := range m.byOp[k] {
			m.byOp[k][s] = m.requests.WithLabelValues(kindName(k), string(rune('0'+s))+"xx")
		}
	}
	return m
}

func (m *metrics) all() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.latency, m.attempts, m.rejected, m.overloaded, m.failed, m.aborted, m.canceled, m.connsRejected, m.conns, m.inFlight}
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range m.all() {
		c.Describe(ch)
	}
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	for _, c := range m.all() {
		c.Collect(ch)
	}
}

// requestCompleted counts a request that has its answer.
func (m *metrics) requestCompleted(t *transaction) {
	m.byOp[t.op.Kind][min(max(t.status/100, 0), 5)].Inc()
	m.latency.Observe(time.Since(t.started).Seconds())
}

func kindName(k int) string { return objectapi.Kind(k).String() }
