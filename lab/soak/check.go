package soak

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chalkstand/fake/storagenode"
	"chalkstand/lab/invariants"
)

// The invariants that are checked besides those of package invariants, as they are printed.
const (
	EndsInTime       = "the program ends in time and in order"
	ReloadApplied    = "a reload is applied"
	BadClientsEnd    = "connections of bad clients end"
	DescriptorsFreed = "descriptors come back"
	MemoryFreed      = "memory comes back"
)

// All lists the invariants in the order of the report.
var All = append(slices.Clone(invariants.All), EndsInTime, ReloadApplied, BadClientsEnd, DescriptorsFreed, MemoryFreed)

// The guards that can be disabled, to see that their invariants are violated.
const (
	guardTime     = "time"
	guardEffects  = "effects"
	guardOrder    = "order"
	guardShutdown = "shutdown"
)

// Guards lists the guards of each program and the invariant that is violated without each.
var Guards = map[Program]map[string]string{
	Serve: {
		guardTime:     invariants.NoRequestLost,
		guardEffects:  invariants.ExecutedOnce,
		guardOrder:    invariants.KeyOrder,
		guardShutdown: invariants.NoRequestLost,
	},
	RESP: {
		guardEffects: invariants.ExecutedOnce,
		guardOrder:   invariants.KeyOrder,
	},
}

const (
	// crossingTime is within which of its request the end of a connection may have crossed it. Such
	// a request was not read, unless a node has seen it.
	crossingTime = 100 * time.Millisecond
	// spareDescriptors may be open after the load beyond those before it.
	spareDescriptors = 4
	// After the load the memory may be so many times that before it, and so much more.
	memoryFactor   = 2
	spareMemoryMiB = 64
	// endOfLog is added to the time of the last record: nothing follows the end of the program.
	endOfLog = time.Minute
)

// failureTexts are in the log of a program that has failed.
var failureTexts = []string{"panic:", "fatal error:", "DATA RACE", "graceful shutdown incomplete"}

// check returns the violations that the logs show, and the log that they were found in.
func (r *run) check() ([]invariants.Violation, *invariants.Log) {
	log := &invariants.Log{Entries: r.system.entries(), DrainNotices: r.notices}
	seen := map[string]bool{}
	for _, e := range log.Entries {
		seen[e.Tag] = true
	}
	r.excuseCrossings(seen)
	for _, record := range r.clients.requests {
		log.Requests = append(log.Requests, *record)
		log.End = max(log.End, record.Ended+endOfLog)
	}
	r.violations = append(r.violations, invariants.Check(r.params, log)...)
	r.checkEnd()
	r.checkUsage()
	return r.violations, log
}

// excuseCrossings excuses requests that the program's end of their connection crossed: it may close
// connections between requests, and the client sends such a request again on another one.
func (r *run) excuseCrossings(seen map[string]bool) {
	for _, u := range r.clients.unanswered {
		if !seen[u.record.Tag] && u.closedAt-u.record.Sent <= crossingTime {
			u.record.ClientCanceled = true
		}
	}
}

// checkEnd checks how the program ended.
func (r *run) checkEnd() {
	switch {
	case r.killed:
		r.report(EndsInTime, "it was killed %v after SIGTERM", r.ownTime)
	case r.stopTime() > 0 && r.process.err != nil:
		r.report(EndsInTime, "it ended with %v", r.process.err)
	}
	completed := false
	for _, line := range r.process.log() {
		completed = completed || strings.Contains(line, r.system.completed())
		for _, text := range failureTexts {
			if strings.Contains(line, text) {
				r.report(EndsInTime, "its log has: %s", line)
			}
		}
	}
	if r.stopTime() > 0 && !completed {
		r.report(EndsInTime, "its log does not say %q", r.system.completed())
	}
}

// checkUsage checks that the program holds no more after the load than before it.
func (r *run) checkUsage() {
	if r.after.Descriptors > r.before.Descriptors+spareDescriptors {
		r.report(DescriptorsFreed, "%d before the load, %d after it", r.before.Descriptors, r.after.Descriptors)
	}
	if r.after.MemoryMiB > memoryFactor*r.before.MemoryMiB+spareMemoryMiB {
		r.report(MemoryFreed, "%.0f MiB before the load, %.0f after it", r.before.MemoryMiB, r.after.MemoryMiB)
	}
}

// numberAttempts numbers the attempts of each request in the order of arrival, and marks repeats that nodes
// drop.
func numberAttempts(entries []storagenode.LogEntry) {
	slices.SortFunc(entries, func(a, b storagenode.LogEntry) int { return cmp.Compare(a.Arrived, b.Arrived) })
	attempts := map[string]int{}
	executedAt := map[string]time.Duration{} // by key and shard
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

// sortedSteps returns the faults and reloads of the first phase in the order of their times.
func (p *plan) sortedSteps() ([]fault, []reload) {
	faults := slices.DeleteFunc(slices.Clone(p.Faults), func(f fault) bool { return f.At >= p.Load })
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.At, b.At) })
	reloads := slices.Clone(p.Reloads)
	slices.SortFunc(reloads, func(a, b reload) int { return cmp.Compare(a.At, b.At) })
	return faults, reloads
}
