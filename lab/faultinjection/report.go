package faultinjection

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chalkstand/lab/invariants"
)

// Report holds the results of a run: counts by class, counts of attempts at the nodes, and violated invariants.
type Report struct {
	Seed          uint64
	Duration      time.Duration
	Script        Script
	Classes       []ClassReport
	Attempts      int           // attempts that arrived at nodes
	Retries       int           // attempts of a request after its first
	Repeats       int           // repeated attempts that the nodes' deduplication dropped
	LateResponses int           // attempts that a node completed after the gateway had canceled them
	LongestStall  time.Duration // longest time for which the machine kept this process from running
	Violations    []invariants.Violation

	log *invariants.Log
}

// ClassReport counts the requests of one class by outcome.
type ClassReport struct {
	Name       string
	Requests   int
	Served     int
	InTime     int // served within the latency objective
	Rejected   int
	Failed     int
	Aborted    int // requests whose response ended before its full length
	Canceled   int // requests that their clients canceled
	Unanswered int
	Latency    *hdrhistogram.Histogram // latency of the served requests, in microseconds
}

// Range and precision of the latency histograms.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	latencySignificant = 3 // significant decimal digits
)

// newReport checks the run's logs for violated invariants and counts the outcomes of requests and attempts.
func newReport(r *run) *Report {
	report := &Report{
		Seed:       r.options.Seed,
		Duration:   r.options.Duration,
		Script:     r.options.Script,
		Violations: invariants.Check(r.params, &r.log),
		log:        &r.log,

		LongestStall: r.stalls.Longest(),
	}
	site := siteSettings(r.options, 0)
	for _, c := range site.Classes {
		latency := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificant)
		report.Classes = append(report.Classes, ClassReport{Name: c.Name, Latency: latency})
	}
	for _, q := range r.log.Requests {
		report.Classes[q.Class].add(q, site.Classes[q.Class].LatencyObjective.D())
	}
	for _, e := range r.log.Entries {
		report.Attempts++
		if e.Attempt > 0 {
			report.Retries++
		}
		if e.Deduplicated {
			report.Repeats++
		}
		if e.Disconnected > 0 && e.Ended > e.Disconnected {
			report.LateResponses++
		}
	}
	return report
}

// add counts a request under its outcome and, if it was served, records its latency.
func (c *ClassReport) add(q invariants.Request, latencyObjective time.Duration) {
	c.Requests++
	switch {
	case q.Aborted:
		c.Aborted++
	case q.ClientCanceled:
		c.Canceled++
	case q.Responses == 0:
		c.Unanswered++
	case q.Status == http.StatusServiceUnavailable:
		c.Rejected++
	case q.Status >= http.StatusInternalServerError:
		c.Failed++
	default:
		c.Served++
		latency := q.Ended - q.Sent
		_ = c.Latency.RecordValue(latency.Microseconds()) // cannot fail: clients give up before the maximum, a minute
		if latency <= latencyObjective {
			c.InTime++
		}
	}
}

// quantile returns a percentile of the latency, rounded to 100 microseconds.
func (c *ClassReport) quantile(percent float64) time.Duration {
	latency := time.Duration(c.Latency.ValueAtQuantile(percent)) * time.Microsecond
	return latency.Round(100 * time.Microsecond)
}

// Write prints the report as a table of the classes, a line about the nodes, and the result for each invariant.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "fault injection: seed %d, %v\n\n", r.Seed, r.Duration)
	fmt.Fprintf(w, "%-8s %8s %6s %7s %8s %6s %7s %8s %10s %9s %9s\n",
		"class", "requests", "served", "in time", "rejected", "failed",
		"aborted", "canceled", "unanswered", "median", "99 %")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-8s %8d %6d %7d %8d %6d %7d %8d %10d %9v %9v\n",
			c.Name, c.Requests, c.Served, c.InTime, c.Rejected, c.Failed, c.Aborted, c.Canceled, c.Unanswered,
			c.quantile(50), c.quantile(99))
	}
	fmt.Fprintf(w, "\nat nodes: %d attempts, %d of them retries, %d repeats dropped, "+
		"%d completed after they were canceled; longest stall of the machine %v\n\n",
		r.Attempts, r.Retries, r.Repeats, r.LateResponses, r.LongestStall.Round(time.Millisecond))
	for _, name := range invariants.All {
		if r.log.WriteViolations(w, name, r.Violations) == 0 {
			fmt.Fprintf(w, "kept   %s\n", name)
		}
	}
}
