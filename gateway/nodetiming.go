package gateway

import (
	"bytes"
	"chalkstand/attribution"
	"chalkstand/internal/http1"
	"strconv"
	"time"
)

// timingHeader tells how a request's time at the node divides, in the form of the
// Server-Timing recommendation: "queue;dur=1.5, work;dur=20" for the request that
// is answered, and with a desc that names it as GATEWAY/REQUEST/ATTEMPT for one that
// ended before. Durations are milliseconds.
const timingHeader = "server-timing"

// timingMetric is one metric of the header.
type timingMetric struct {
	work     bool // else in the queue
	duration time.Duration
	desc     []byte // empty: of the request that is answered
}

// maxTimings bounds the metrics that are read from one answer.
const maxTimings = 64

// maxTiming bounds what a metric may tell.
const maxTiming = 24 * time.Hour

// eachTiming calls f with the metrics that are known here. What is malformed, or
// has another name, is left out.
func eachTiming(hs http1.Headers, f func(timingMetric)) {
	v := hs.Get(timingHeader)
	for n := 0; len(v) > 0 && n < maxTimings; n++ {
		var item []byte
		item, v, _ = bytes.Cut(v, []byte(","))
		if m, ok := parseTiming(item); ok {
			f(m)
		}
	}
}

func parseTiming(item []byte) (m timingMetric, ok bool) {
	name, rest, _ := bytes.Cut(item, []byte(";"))
	switch string(bytes.TrimSpace(name)) {
	case "queue":
	case "work":
		m.work = true
	default:
		return m, false
	}
	told := false
	for len(rest) > 0 {
		var param []byte
		param, rest, _ = bytes.Cut(rest, []byte(";"))
		key, val, _ := bytes.Cut(bytes.TrimSpace(param), []byte("="))
		switch string(key) {
		case "dur":
			ms, err := strconv.ParseFloat(string(val), 64)
			if err != nil || !(ms >= 0) || ms > float64(maxTiming/time.Millisecond) {
				return m, false
			}
			m.duration, told = time.Duration(ms*float64(time.Millisecond)), true
		case "desc":
			m.desc = bytes.Trim(val, `"`)
		}
	}
	return m, told
}

// readTiming reads what a node tells of the request that it answers.
func readTiming(hs http1.Headers) (queue, work time.Duration, told bool) {
	eachTiming(hs, func(m timingMetric) {
		switch {
		case len(m.desc) > 0:
		case m.work:
			work, told = m.duration, true
		default:
			queue, told = m.duration, true
		}
	})
	return queue, work, told
}

// readLateTimings reads what a node tells of requests that ended before, of this
// gateway only.
func (l *loopWorker) readLateTimings(hs http1.Headers) {
	if l.gateway.attribution == nil {
		return
	}
	var last []byte
	var t attribution.NodeReport
	flush := func() {
		if last != nil {
			l.addNodeReport(t)
			last = nil
		}
	}
	eachTiming(hs, func(m timingMetric) {
		if len(m.desc) == 0 {
			return
		}
		if !bytes.Equal(m.desc, last) {
			flush()
			gw, call, attempt, ok := parseAttemptID(m.desc)
			if !ok || gw != l.gateway.cfg.Name {
				return
			}
			last, t = m.desc, attribution.NodeReport{Call: call, Attempt: attempt}
		}
		if m.work {
			t.Work = m.duration
		} else {
			t.Queue = m.duration
		}
	})
	flush()
}

// parseAttemptID reads GATEWAY/REQUEST/ATTEMPT.
func parseAttemptID(b []byte) (gw string, call uint64, attempt int, ok bool) {
	name, rest, _ := bytes.Cut(b, []byte("/"))
	id, att, _ := bytes.Cut(rest, []byte("/"))
	call, err := strconv.ParseUint(string(id), 10, 64)
	a, err2 := strconv.ParseUint(string(att), 10, 16)
	return string(name), call, int(a), err == nil && err2 == nil
}
