package storagenode

import (
	"fmt"
	"strings"
	"time"
)

// timing is how a request's time here divided, to be told later.
type timing struct {
	due          time.Time
	gateway      string
	name         string
	queued, work time.Duration
}

// The bounds of what is told late: so many wait, and so many go with one answer.
const (
	maxUntold   = 4096
	timingsEach = 8
)

// timings returns the Server-Timing of an answer: this request's own, or where the
// node tells late, those of requests of the same gateway that have become due.
func (n *Node) timings(e *LogEntry) string {
	if !n.cfg.Timing {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg.TimingLose > 0 && n.rng.Float64() < n.cfg.TimingLose {
		return ""
	}
	if n.cfg.TimingLate <= 0 {
		return metric("queue", e.Queued, "") + ", " + metric("work", e.Worked, "")
	}
	now := time.Now()
	if len(n.untold) < maxUntold {
		n.untold = append(n.untold, timing{now.Add(n.cfg.TimingLate), e.Gateway, e.name, e.Queued, e.Worked})
	}
	var out []string
	kept := n.untold[:0]
	for _, t := range n.untold {
		if len(out) < 2*timingsEach && t.gateway == e.Gateway && !now.Before(t.due) {
			out = append(out, metric("queue", t.queued, t.name), metric("work", t.work, t.name))
			continue
		}
		kept = append(kept, t)
	}
	n.untold = kept
	return strings.Join(out, ", ")
}

func metric(name string, d time.Duration, of string) string {
	s := fmt.Sprintf("%s;dur=%.3f", name, float64(d)/float64(time.Millisecond))
	if of != "" {
		s += fmt.Sprintf(";desc=%q", of)
	}
	return s
}
