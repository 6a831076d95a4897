package gateway

import (
	"bytes"
	"strconv"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/http1"
)

// timingHeader is how a node reports the parts of a request's time there, as a Server-Timing header:
// "queue;dur=1.5, work;dur=20" for the request of this response, and with a desc that names it
// as GATEWAY/REQUEST/ATTEMPT for an earlier one. Durations are milliseconds.
const timingHeader = "server-timing"

const (
	maxTimingMetrics  = 64             // metrics read from one response
	maxTimingDuration = 24 * time.Hour // of a metric
)

// timingMetric is one metric of a Server-Timing header.
type timingMetric struct {
	work     bool // else the time in the queue
	duration time.Duration
	desc     []byte // empty: of the request of this response
}

// eachTiming calls f for each queue and work metric. Malformed and other metrics are ignored.
func eachTiming(hs http1.Headers, f func(timingMetric)) {
	rest := hs.Get(timingHeader)
	for n := 0; len(rest) > 0 && n < maxTimingMetrics; n++ {
		var item []byte
		item, rest, _ = bytes.Cut(rest, []byte(","))
		if m, ok := parseTiming(item); ok {
			f(m)
		}
	}
}

// parseTiming parses a metric. It returns false if the metric has another name, or no valid duration.
func parseTiming(item []byte) (m timingMetric, ok bool) {
	name, rest, _ := bytes.Cut(item, []byte(";"))
	switch string(bytes.TrimSpace(name)) {
	case "queue":
	case "work":
		m.work = true
	default:
		return m, false
	}
	hasDuration := false
	for len(rest) > 0 {
		var param []byte
		param, rest, _ = bytes.Cut(rest, []byte(";"))
		key, val, _ := bytes.Cut(bytes.TrimSpace(param), []byte("="))
		switch string(key) {
		case "dur":
			ms, err := strconv.ParseFloat(string(val), 64)
			if err != nil || !(ms >= 0) || ms > float64(maxTimingDuration/time.Millisecond) {
				return m, false
			}
			m.duration = time.Duration(ms * float64(time.Millisecond))
			hasDuration = true
		case "desc":
			m.desc = bytes.Trim(val, `"`)
		}
	}
	return m, hasDuration
}

// readTiming returns the times of the request of a response; found is false if it has none.
func readTiming(hs http1.Headers) (queue, work time.Duration, found bool) {
	eachTiming(hs, func(m timingMetric) {
		switch {
		case len(m.desc) > 0:
		case m.work:
			work, found = m.duration, true
		default:
			queue, found = m.duration, true
		}
	})
	return queue, work, found
}

// readLateTimings batches the times that a response reports of earlier requests of this gateway.
func (w *loopWorker) readLateTimings(hs http1.Headers) {
	if w.gateway.attribution == nil {
		return
	}
	var current []byte // desc of report
	var report attribution.NodeReport
	flush := func() {
		if current != nil {
			w.addNodeReport(report)
			current = nil
		}
	}
	eachTiming(hs, func(m timingMetric) {
		if len(m.desc) == 0 {
			return
		}
		if !bytes.Equal(m.desc, current) {
			flush()
			gateway, request, attempt, ok := parseAttemptID(m.desc)
			if !ok || gateway != w.gateway.cfg.Name {
				return
			}
			current = m.desc
			report = attribution.NodeReport{Request: request, Attempt: attempt}
		}
		if m.work {
			report.Service = m.duration
		} else {
			report.Queue = m.duration
		}
	})
	flush()
}

// parseAttemptID parses GATEWAY/REQUEST/ATTEMPT.
func parseAttemptID(b []byte) (gateway string, request uint64, attempt int, ok bool) {
	name, rest, _ := bytes.Cut(b, []byte("/"))
	requestText, attemptText, _ := bytes.Cut(rest, []byte("/"))
	request, requestErr := strconv.ParseUint(string(requestText), 10, 64)
	n, attemptErr := strconv.ParseUint(string(attemptText), 10, 16)
	return string(name), request, int(n), requestErr == nil && attemptErr == nil
}
