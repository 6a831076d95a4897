package gateway

import (
	"bytes"
	"strconv"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/http1"
)

// timingHeader is the Server-Timing header, in which a node reports how long a request was queued and
// worked on at the node. For the request that the response answers, the value has the form
// "queue;dur=1.5, work;dur=20". For an earlier request, each metric also has a desc parameter that
// names the attempt as GATEWAY/REQUEST/ATTEMPT. Durations are in milliseconds.
const timingHeader = "server-timing"

const (
	maxTimingMetrics  = 64             // maximum number of items read from one header
	maxTimingDuration = 24 * time.Hour // maximum duration accepted in a metric
)

// timingMetric is one metric of a Server-Timing header.
type timingMetric struct {
	work     bool // true for a work metric, false for a queue metric
	duration time.Duration
	desc     []byte // names an earlier attempt; empty for the request that the response answers
}

// eachTiming calls f for each queue and work metric of a response's Server-Timing header. It ignores
// malformed metrics and metrics with other names.
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

// parseTiming parses one metric of a Server-Timing header. It returns false if the metric is neither
// queue nor work, or has no valid duration.
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

// readTiming returns the queue time and the work time that a response reports for its own request. If
// the response reports neither, found is false.
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

// readLateTimings collects the times that a response reports for earlier requests of this gateway, and
// adds them to the batch for the attribution worker.
func (w *loopWorker) readLateTimings(hs http1.Headers) {
	if w.gateway.attribution == nil {
		return
	}
	var current []byte // desc of the metrics in report; nil if report is empty
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

// parseAttemptID parses the name of an attempt, which has the form GATEWAY/REQUEST/ATTEMPT. It returns
// ok false if the request or the attempt is not a valid number.
func parseAttemptID(b []byte) (gateway string, request uint64, attempt int, ok bool) {
	name, rest, _ := bytes.Cut(b, []byte("/"))
	requestText, attemptText, _ := bytes.Cut(rest, []byte("/"))
	request, requestErr := strconv.ParseUint(string(requestText), 10, 64)
	n, attemptErr := strconv.ParseUint(string(attemptText), 10, 16)
	return string(name), request, int(n), requestErr == nil && attemptErr == nil
}
