package soak

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chalkstand/fake/storagenode"
	"chalkstand/lab/invariants"
)

// Invariants that this package checks in addition to those of package invariants. The values are printed in
// reports.
const (
	EndsInTime       = "the program ends in time and in order"
	ReloadApplied    = "a reload is applied"
	BadClientsEnd    = "connections of bad clients end"
	DescriptorsFreed = "descriptors come back"
	MemoryFreed      = "memory comes back"
)

// All lists all checked invariants in the order in which the report prints them.
var All = append(slices.Clone(invariants.All), EndsInTime, ReloadApplied, BadClientsEnd, DescriptorsFreed, MemoryFreed)

// Names of the guards that a run can disable to show that the checker then reports a violation. A guard is a
// mechanism of the program that keeps an invariant.
const (
	guardDeadlines   = "time"
	guardIdempotency = "effects"
	guardOrder       = "order"
	guardShutdown    = "shutdown"
)

// Guards maps each program to its guards, and each guard to the invariant that the program violates without it.
var Guards = map[Program]map[string]string{
	Serve: {
		guardDeadlines:   invariants.NoRequestLost,
		guardIdempotency: invariants.ExecutedOnce,
		guardOrder:       invariants.KeyOrder,
		guardShutdown:    invariants.NoRequestLost,
	},
	RESP: {
		guardIdempotency: invariants.ExecutedOnce,
		guardOrder:       invariants.KeyOrder,
	},
}

const (
	// closeRaceTime decides whether the program read an unanswered request. If the connection closed within this
	// time after the request and no node received the request, the check assumes that the program did not read it.
	closeRaceTime = 100 * time.Millisecond
	// spareDescriptors is how many more descriptors may be open after the load than before it.
	spareDescriptors = 4
	// The resident memory after the load may be at most memoryFactor times the memory before it plus
	// spareMemoryMiB.
	memoryFactor   = 2
	spareMemoryMiB = 64
	// endOfLogMargin is added to the time of the last client record to get the end of the log. It can be any long
	// time, because nothing happens after the program has ended.
	endOfLogMargin = time.Minute
)

// failureTexts lists the texts of log lines that show a failure of the program.
var failureTexts = []string{"panic:", "fatal error:", "DATA RACE", "graceful shutdown incomplete"}

// check checks all invariants. It returns the violations and the log of requests and attempts that it checked.
func (r *run) check() ([]invariants.Violation, *invariants.Log) {
	log := &invariants.Log{Entries: r.system.entries(), DrainNotices: r.notices}
	seen := map[string]bool{}
	for _, e := range log.Entries {
		seen[e.Tag] = true
	}
	r.excuseCloseRaces(seen)
	for _, record := range r.clients.requests {
		log.Requests = append(log.Requests, *record)
		log.End = max(log.End, record.Ended+endOfLogMargin)
	}
	r.violations = append(r.violations, invariants.Check(r.params, log)...)
	r.checkEnd()
	r.checkUsage()
	return r.violations, log
}

// excuseCloseRaces marks unanswered requests as canceled by the client if the program closed their connection
// before it read them. The program may close an idle connection just when the client sends the next request on
// it. The client can then send the request again on another connection. seen holds the tags of the requests that
// reached a node.
func (r *run) excuseCloseRaces(seen map[string]bool) {
	for _, u := range r.clients.unanswered {
		if !seen[u.record.Tag] && u.closedAt-u.record.Sent <= closeRaceTime {
			u.record.ClientCanceled = true
		}
	}
}

// checkEnd checks that the program ended in time after SIGTERM, without an error and without failures in its log.
func (r *run) checkEnd() {
	switch {
	case r.killed:
		r.report(EndsInTime, "it was killed %v after SIGTERM", r.terminationTime)
	case r.stopTime() > 0 && r.process.err != nil:
		r.report(EndsInTime, "it ended with %v", r.process.err)
	}
	completed := false
	for _, line := range r.process.log() {
		completed = completed || strings.Contains(line, r.system.completedText())
		for _, text := range failureTexts {
			if strings.Contains(line, text) {
				r.report(EndsInTime, "its log has: %s", line)
			}
		}
	}
	if r.stopTime() > 0 && !completed {
		r.report(EndsInTime, "its log does not say %q", r.system.completedText())
	}
}

// checkUsage checks that the program has released the descriptors and the memory that it needed for the load.
func (r *run) checkUsage() {
	if r.usageAfter.Descriptors > r.usageBefore.Descriptors+spareDescriptors {
		r.report(DescriptorsFreed, "%d before the load, %d after it", r.usageBefore.Descriptors, r.usageAfter.Descriptors)
	}
	if r.usageAfter.MemoryMiB > memoryFactor*r.usageBefore.MemoryMiB+spareMemoryMiB {
		r.report(MemoryFreed, "%.0f MiB before the load, %.0f after it", r.usageBefore.MemoryMiB, r.usageAfter.MemoryMiB)
	}
}

// numberAttempts sorts the attempts by arrival and numbers the attempts of each request. It marks an executed write
// as deduplicated, not executed, if a write with the same key was executed less than dedupWindow before.
func numberAttempts(entries []storagenode.LogEntry) {
	slices.SortFunc(entries, func(a, b storagenode.LogEntry) int { return cmp.Compare(a.Arrived, b.Arrived) })
	attempts := map[string]int{}
	executedAt := map[string]time.Duration{} // time of the first execution; the map's key holds shard and key
	for i := range entries {
		e := &entries[i]
		e.Attempt = attempts[e.Tag]
		attempts[e.Tag]++
		first, repeated := executedAt[e.Key]
		switch {
		case e.Key == "" || !e.Executed:
		case repeated && e.Arrived-first < dedupWindow:
			e.Executed, e.Deduplicated = false, true
		default:
			executedAt[e.Key] = e.Arrived
		}
	}
}

// sortedSteps returns the faults and the reloads of the first phase, each sorted by time.
func (p *plan) sortedSteps() ([]fault, []reload) {
	faults := slices.DeleteFunc(slices.Clone(p.Faults), func(f fault) bool { return f.At >= p.Load })
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.At, b.At) })
	reloads := slices.Clone(p.Reloads)
	slices.SortFunc(reloads, func(a, b reload) int { return cmp.Compare(a.At, b.At) })
	return faults, reloads
}
