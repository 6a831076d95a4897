package soak

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"chalkstand/lab/invariants"
)

// Report holds the results of a run.
type Report struct {
	Seed            uint64
	Program         Program
	Plan            string
	Requests        int
	Served          int
	Rejected        int
	Failed          int
	Canceled        int // requests that clients canceled or that the program never read before it closed the connection
	Attempts        int // attempts that arrived at nodes
	Before          usage
	After           usage
	TerminationTime time.Duration // time from SIGTERM to the end of the program
	Stall           time.Duration // longest time for which the machine kept this process from running
	Violations      []invariants.Violation

	log        *invariants.Log
	programLog []string
}

func newReport(r *run) *Report {
	violations, log := r.check()
	report := &Report{
		Seed:            r.options.Seed,
		Program:         r.options.Program,
		Plan:            r.plan.String(),
		Requests:        len(log.Requests),
		Attempts:        len(log.Entries),
		Before:          r.usageBefore,
		After:           r.usageAfter,
		TerminationTime: r.terminationTime,
		Stall:           r.stalls.Longest(),
		Violations:      violations,
		log:             log,
		programLog:      r.process.log(),
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

// maxPrintedLogLines is how many of the last lines of the program's log are printed.
const maxPrintedLogLines = 20

// Write prints one line with the results. If there are violations, it also prints the plan, each violation with the
// records of clients and nodes, and the end of the program's log.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "soak %s, seed %d: %d requests: %d served, %d rejected, %d failed, %d canceled; %d attempts; "+
		"descriptors %d to %d, memory %.0f to %.0f MiB; ended %v after SIGTERM; longest stall %v; %d violations\n",
		r.Program, r.Seed, r.Requests, r.Served, r.Rejected, r.Failed, r.Canceled, r.Attempts,
		r.Before.Descriptors, r.After.Descriptors, r.Before.MemoryMiB, r.After.MemoryMiB,
		r.TerminationTime.Round(time.Millisecond), r.Stall.Round(time.Millisecond), len(r.Violations))
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
