package storagenode

import (
	"fmt"
	"strings"
	"time"
)

// serverTiming holds the queue time and the service time of a request until the node reports them.
type serverTiming struct {
	due         time.Time // earliest time of the report
	gateway     string
	requestName string // value of the header x-chalkstand-request
	queued      time.Duration
	service     time.Duration
}

// Limits of the timings that a node reports with a delay.
const (
	maxLateTimings     = 4096 // maximum number of timings that wait; the node drops further ones
	timingsPerResponse = 8    // maximum number of timings in one response
)

// timings returns the value of a response's Server-Timing header. Without TimingDelay, the value is the
// timing of the response's own request. With TimingDelay, it has the timings of earlier requests of the
// same gateway that are due. The value is empty if there is nothing to report.
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
	remaining := n.lateTimings[:0]
	for _, t := range n.lateTimings {
		if len(metrics) < 2*timingsPerResponse && t.gateway == e.Gateway && !now.Before(t.due) {
			metrics = append(metrics,
				timingMetric("queue", t.queued, t.requestName),
				timingMetric("work", t.service, t.requestName))
			continue
		}
		remaining = append(remaining, t)
	}
	n.lateTimings = remaining
	return strings.Join(metrics, ", ")
}

// timingMetric formats one metric of a Server-Timing header, with its duration in milliseconds. If request
// is not empty, the metric's description is this name of a request.
func timingMetric(name string, d time.Duration, request string) string {
	s := fmt.Sprintf("%s;dur=%.3f", name, float64(d)/float64(time.Millisecond))
	if request != "" {
		s += fmt.Sprintf(";desc=%q", request)
	}
	return s
}
