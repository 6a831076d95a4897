package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chalkstand/internal/objectapi"
)

// metricsNamespace is the prefix of all metric names.
const metricsNamespace = "chalkstand"

// statusClasses is the number of status classes. A class is the first digit of a status, from 0 for
// aborted responses to 5.
const statusClasses = 6

// metrics holds the gateway's metrics. New registers it as one Prometheus collector.
type metrics struct {
	requests              *prometheus.CounterVec
	latency               prometheus.Histogram
	attempts              prometheus.Counter
	rejected              prometheus.Counter // node requests rejected by the dispatcher
	overloaded            prometheus.Counter // client requests rejected by overload control
	failed                prometheus.Counter
	aborted               prometheus.Counter
	canceled              prometheus.Counter
	connsRejected         prometheus.Counter
	buffersReleased       prometheus.Counter
	canceledBeforeAttempt prometheus.Counter
	unreadInput           prometheus.Counter
	bufferMemory          prometheus.GaugeFunc
	conns                 prometheus.GaugeFunc
	inFlight              prometheus.GaugeFunc
	byOperation           [][statusClasses]prometheus.Counter // the counters of requests, indexed by operation and status class
}

// newCounter returns a counter in the gateway's namespace.
func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

// newGauge returns a gauge in the gateway's namespace whose value is the result of f.
func newGauge(name, help string, f func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, f)
}

func newMetrics(g *Gateway) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "requests_total",
			Help: "Client requests with a final response, by operation and class of status; " +
				"0xx: aborted.",
		}, []string{"op", "status"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Name:      "request_seconds",
			Help:      "Time from a request's head to the end of its response.",
			Buckets:   prometheus.ExponentialBuckets(0.0005, 2, 18),
		}),
		attempts: newCounter("attempts_total", "Requests sent to nodes, retries included."),
		rejected: newCounter("refused_total", "Requests to nodes that the dispatcher rejected."),
		overloaded: newCounter("overloaded_total",
			"Requests rejected unread because their volume exceeds its share of the event loop."),
		failed:        newCounter("failed_total", "Requests to nodes that ended without a node's response."),
		aborted:       newCounter("cut_total", "Responses aborted after their head."),
		canceled:      newCounter("gone_total", "Requests canceled by their clients."),
		connsRejected: newCounter("connections_refused_total", "Connections closed at the connection limit."),
		buffersReleased: newCounter("buffers_released_total",
			"Connections whose buffers were released because limits.memory was reached."),
		canceledBeforeAttempt: newCounter("canceled_before_attempt_total",
			"Requests to nodes whose client had left when an attempt was about to begin."),
		unreadInput: newCounter("unread_input_total",
			"Requests to nodes that ended because their client may have left behind unread input."),
		bufferMemory: newGauge("buffer_bytes", "Buffers of all connections and buffered bodies.", func() float64 {
			return float64(g.bufferMemory.Load())
		}),
		conns: newGauge("connections", "Open client connections.", func() float64 {
			return float64(g.clientConns.Load())
		}),
		inFlight: newGauge("requests_in_hand", "Client requests in flight.", func() float64 {
			return float64(g.inFlight.Load())
		}),
	}
	m.byOperation = make([][statusClasses]prometheus.Counter, objectapi.NumKinds())
	for k := range m.byOperation {
		for class := range statusClasses {
			label := string(rune('0'+class)) + "xx"
			m.byOperation[k][class] = m.requests.WithLabelValues(objectapi.Kind(k).String(), label)
		}
	}
	return m
}

// collectors returns all metrics of the gateway.
func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.requests, m.latency, m.attempts, m.rejected, m.overloaded, m.failed, m.aborted, m.canceled,
		m.connsRejected, m.buffersReleased, m.canceledBeforeAttempt, m.unreadInput, m.bufferMemory, m.conns, m.inFlight,
	}
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range m.collectors() {
		c.Describe(ch)
	}
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	for _, c := range m.collectors() {
		c.Collect(ch)
	}
}

// requestCompleted counts a transaction whose response is complete or aborted, and records its latency.
func (m *metrics) requestCompleted(t *transaction) {
	class := min(max(t.status/100, 0), statusClasses-1)
	m.byOperation[t.op.Kind][class].Inc()
	m.latency.Observe(time.Since(t.started).Seconds())
}
