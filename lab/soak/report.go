package soak

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"chalkstand/lab/invariants"
)

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Program    Program
	Plan       string
	Requests   int
	Served     int
	Rejected   int
	Failed     int
	Canceled   int // by their clients, or crossed by the end of their connection
	Attempts   int // at nodes
	Before     usage
	After      usage
	OwnTime    time.Duration // from SIGTERM to the program's end
	Stall      time.Duration // the longest of the machine
	Violations []invariants.Violation

	log        *invariants.Log
	programLog []string
}

func newReport(r *run) *Report {
	violations, log := r.check()
	report := &Report{
		Seed:       r.options.Seed,
		Program:    r.options.Program,
		Plan:       r.plan.String(),
		Requests:   len(log.Requests),
		Attempts:   len(log.Entries),
		Before:     r.before,
		After:      r.after,
		OwnTime:    r.ownTime,
		Stall:      r.stalls.Longest(),
		Violations: violations,
		log:        log,
		programLog: r.process.log(),
	}
	for _, q := range log.Requests {
		switch {
		case q.ClientCanceled:
			report.Canceled++
		case q.Status == http.StatusServiceUnavailable:
			report.Rejected++
		case q.Status == 0 || q.Status >= http.StatusInternalServerError || q.Aborted:
			report.Failed++
		default:
			report.Served++
		}
	}
	return report
}

// maxPrintedLogLines bounds the lines of the program's log that are printed, which are the last ones.
const maxPrintedLogLines = 20

// Write prints a line with figures, and for each violation the records of clients and nodes.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "soak %s, seed %d: %d requests: %d served, %d rejected, %d failed, %d canceled; %d attempts; "+
		"descriptors %d to %d, memory %.0f to %.0f MiB; ended %v after SIGTERM; longest stall %v; %d violations\n",
		r.Program, r.Seed, r.Requests, r.Served, r.Rejected, r.Failed, r.Canceled, r.Attempts,
		r.Before.Descriptors, r.After.Descriptors, r.Before.MemoryMiB, r.After.MemoryMiB,
		r.OwnTime.Round(time.Millisecond), r.Stall.Round(time.Millisecond), len(r.Violations))
	if len(r.Violations) == 0 {
		return
	}
	fmt.Fprintf(w, "  plan: %s\n", r.Plan)
	for _, name := range All {
		r.log.WriteViolations(w, name, r.Violations)
	}
	fmt.Fprintln(w, "  the end of the program's log:")
	for _, line := range r.programLog[max(0, len(r.programLog)-maxPrintedLogLines):] {
		fmt.Fprintf(w, "         %s\n", line)
	}
}
