package storagenode

import (
	"fmt"
	"strings"
	"time"
)

// serverTiming is how a request's time at the node divided, to be reported later.
type serverTiming struct {
	due         time.Time
	gateway     string
	requestName string
	queued      time.Duration
	service     time.Duration
}

// Bounds of late timings.
const (
	maxLateTimings     = 4096 // waiting to be reported
	timingsPerResponse = 8
)

// timings returns the Server-Timing of a response: that of its own request or, where the node
// reports with a delay, those of the same gateway's requests that are due.
func (n *Node) timings(e *LogEntry) string {
	if !n.cfg.Timing {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg.TimingLossRate > 0 && n.rng.Float64() < n.cfg.TimingLossRate {
		return ""
	}
	if n.cfg.TimingDelay <= 0 {
		return timingMetric("queue", e.QueueTime, "") + ", " + timingMetric("work", e.ServiceTime, "")
	}
	now := time.Now()
	if len(n.lateTimings) < maxLateTimings {
		n.lateTimings = append(n.lateTimings, serverTiming{
			due:         now.Add(n.cfg.TimingDelay),
			gateway:     e.Gateway,
			requestName: e.requestName,
			queued:      e.QueueTime,
			service:     e.ServiceTime,
		})
	}
	var metrics []string
	waiting := n.lateTimings[:0]
	for _, t := range n.lateTimings {
		if len(metrics) < 2*timingsPerResponse && t.gateway == e.Gateway && !now.Before(t.due) {
			metrics = append(metrics,
				timingMetric("queue", t.queued, t.requestName),
				timingMetric("work", t.service, t.requestName))
			continue
		}
		waiting = append(waiting, t)
	}
	n.lateTimings = waiting
	return strings.Join(metrics, ", ")
}

// timingMetric formats one metric of Server-Timing, in milliseconds, of a request's name unless
// that is empty.
func timingMetric(name string, d time.Duration, request string) string {
	s := fmt.Sprintf("%s;dur=%.3f", name, float64(d)/float64(time.Millisecond))
	if request != "" {
		s += fmt.Sprintf(";desc=%q", request)
	}
	return s
}
