package attribution

import "time"

// PercentileError is the relative error that a percentile has at most.
const PercentileError = 0.01

// Distribution is the distributions of a volume's request times, whole and by component.
type Distribution struct {
	Volume     string          `json:"volume"`
	Whole      Bins            `json:"whole"`
	Components map[string]Bins `json:"causes,omitempty"` // by name, without those that took no time
}

// Percentile returns the time that a share of the requests, such as 0.99, did not exceed.
func (d *Distribution) Percentile(share float64) time.Duration {
	return percentile(d.Whole, d.Whole.Count(), share)
}

// ComponentPercentile returns the same for the time in one component, over all requests, those
// without time in it included.
func (d *Distribution) ComponentPercentile(c Component, share float64) time.Duration {
	return percentile(d.Components[c.String()], d.Whole.Count(), share)
}

// percentile is over n values, those that are not in the bins being zero.
func percentile(b Bins, n int64, share float64) time.Duration {
	nonzero := b.Count()
	n = max(n, nonzero)
	rank, zeros := share*float64(n), float64(n-nonzero)
	if nonzero == 0 || rank <= zeros {
		return 0
	}
	quantile := 100 * (rank - zeros) / float64(nonzero)
	return time.Duration(b.Histogram().ValueAtQuantile(quantile)) * time.Microsecond
}
