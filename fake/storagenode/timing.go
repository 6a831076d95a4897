package storagenode

import (
	"fmt"
	"strings"
	"time"
)

// serverTiming is how a request's time here divided, to be told later.
type serverTiming struct {
	due          time.Time
	gateway      string
	name         string
	queued, service time.Duration
}

// The bounds of what is told late: so many wait, and so many go with one answer.
const (
	maxLateTimings   = 4096
	timingsPerResponse = 8
)

// timings returns the Server-Timing of an answer: this request's own, or where the
// node tells late, those of requests of the same gateway that have become due.
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
		return metric("queue", e.QueueTime, "") + ", " + metric("work", e.ServiceTime, "")
	}
	now := time.Now()
	if len(n.lateTimings) < maxLateTimings {
		n.lateTimings = append(n.lateTimings, serverTiming{now.Add(n.cfg.TimingDelay), e.Gateway, e.requestName, e.QueueTime, e.ServiceTime})
	}
	var out []string
	kept := n.lateTimings[:0]
	for _, t := range n.lateTimings {
		if len(out) < 2*timingsPerResponse && t.gateway == e.Gateway && !now.Before(t.due) {
			out = append(out, metric("queue", t.queued, t.name), metric("work", t.service, t.name))
			continue
		}
		kept = append(kept, t)
	}
	n.lateTimings = kept
	return strings.Join(out, ", ")
}

func metric(name string, d time.Duration, of string) string {
	s := fmt.Sprintf("%s;dur=%.3f", name, float64(d)/float64(time.Millisecond))
	if of != "" {
		s += fmt.Sprintf(";desc=%q", of)
	}
	return s
}
