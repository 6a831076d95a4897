package storagenode

import (
	"fmt"
	"net/http"
	"time"
)

// loadReport returns the node's load and the volume's usage in the text format of an Open Request Cost
// Aggregation (ORCA) report.
func (n *Node) loadReport(h http.Header) string {
	report := n.currentReport()
	if n.ledger != nil {
		rate, elsewhere := n.ledger.Report(h.Get(headerVolume), n.cfg.ID, gatewayOf(h))
		report += fmt.Sprintf(", named_metrics.volume_rate=%.3f, named_metrics.volume_elsewhere=%.3f", rate, elsewhere)
	}
	return report
}

// currentReport returns the load report that responses carry now, and updates it if necessary.
func (n *Node) currentReport() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.report == "" || now.Sub(n.reportedAt) >= n.cfg.ReportEvery {
		noise := 1 + n.cfg.ReportNoise*(2*n.rng.Float64()-1)
		utilization := 0.0
		if n.cfg.Cores > 0 {
			utilization = min(1, float64(n.admitted)/float64(n.cfg.Cores))
		}
		n.nextReport = fmt.Sprintf("TEXT cpu_utilization=%.3f, named_metrics.inflight=%.2f",
			utilization*noise, float64(n.inflight)*noise)
		n.nextReportAt = now
		n.reportedAt = now
	}
	if n.report == "" || now.Sub(n.nextReportAt) >= n.cfg.ReportDelay {
		n.report = n.nextReport
	}
	return n.report
}

// FreezeReport prevents updates of the load report for the duration d, and then for another ReportEvery.
func (n *Node) FreezeReport(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reportedAt = time.Now().Add(d)
}
