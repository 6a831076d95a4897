package attribution

import "time"

// PercentileError is the largest relative error of a percentile.
const PercentileError = 0.01

// Distribution holds the distribution of the total times of a volume's requests, and that of
// their times in each component.
type Distribution struct {
	Volume     string          `json:"volume"`
	Total      Bins            `json:"whole"`
	Components map[string]Bins `json:"causes,omitempty"` // by component name; components without time are omitted
}

// Percentile returns the time that the given share of the requests, such as 0.99, did not exceed.
func (d *Distribution) Percentile(share float64) time.Duration {
	return percentile(d.Total, d.Total.Count(), share)
}

// ComponentPercentile returns the time in one component that the given share of the requests did
// not exceed. Requests without time in the component count as 0.
func (d *Distribution) ComponentPercentile(c Component, share float64) time.Duration {
	return percentile(d.Components[c.String()], d.Total.Count(), share)
}

// percentile returns the time that the given share of n values does not exceed. Values that are not
// in the bins count as 0.
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
