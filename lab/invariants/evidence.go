package invariants

import (
	"fmt"
	"io"
	"slices"

	"chalkstand/fake/storagenode"
)

// maxPrinted is the maximum number of violations of one invariant that WriteViolations prints.
const maxPrinted = 5

// WriteViolations prints the violations of the given invariant, each with the log records of its requests, and
// returns the number of these violations.
func (l *Log) WriteViolations(w io.Writer, invariant string, violations []Violation) int {
	count := 0
	for _, v := range violations {
		if v.Invariant != invariant {
			continue
		}
		count++
		if count <= maxPrinted {
			fmt.Fprintf(w, "BROKEN %s: %8.3fs %s\n", invariant, v.At.Seconds(), v.Detail)
			l.writeEvidence(w, v)
		}
	}
	if count > 0 {
		fmt.Fprintf(w, "       %d in all\n", count)
	}
	return count
}

// writeEvidence prints the client records and the node log entries of the requests that a violation names.
func (l *Log) writeEvidence(w io.Writer, v Violation) {
	for i := range l.Requests {
		if r := &l.Requests[i]; slices.Contains(v.Tags, r.Tag) {
			writeRequest(w, r)
		}
	}
	for i := range l.Entries {
		if e := &l.Entries[i]; slices.Contains(v.Tags, e.Tag) {
			writeEntry(w, e)
		}
	}
}

func writeRequest(w io.Writer, r *Request) {
	fmt.Fprintf(w, "         client %s: sent to %s at %v, ended at %v, status %d, key %s",
		r.Tag, r.Gateway, r.Sent, r.Ended, r.Status, r.Key)
	if r.ClientCanceled {
		fmt.Fprint(w, ", canceled by the client")
	}
	if r.Aborted {
		fmt.Fprint(w, ", response aborted")
	}
	fmt.Fprintln(w)
}

func writeEntry(w io.Writer, e *storagenode.LogEntry) {
	fmt.Fprintf(w, "         node %s: %s, request %d of %s, attempt %d, arrived at %v, disconnected at %v, ended at %v, "+
		"queued %v, served for %v, executed %v, status %d\n",
		e.Node, e.Tag, e.Request, e.Gateway, e.Attempt, e.Arrived, e.Disconnected, e.Ended,
		e.QueueTime, e.ServiceTime, e.Executed, e.Status)
}
