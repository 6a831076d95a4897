// Package invariants checks that a gateway kept its invariants during a test run. The evidence is
// the logs of clients and nodes, and the times at which each gateway was notified of drains. The
// checks do not read the internal state of a gateway.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chalkstand/fake/storagenode"
)

// Names of the invariants in printed reports.
const (
	NoRequestLost      = "no request is lost"
	ExecutedOnce       = "no request is executed more often than its class allows"
	OneAttemptAtATime  = "a request has at most one attempt in flight"
	DrainsRespected    = "no request is sent to a draining node"
	SlowStartRespected = "no node is overloaded in slow start"
	KeyOrder           = "ordered requests of a key run one at a time"
	RetryBudget        = "retries stay within the retry budget"
	RateLimits         = "volumes stay within their rate limits"
	ContentIntact      = "response content is complete and correct"
)

// All lists the invariants in the order in which reports print them.
var All = []string{
	NoRequestLost,
	OneAttemptAtATime,
	ExecutedOnce,
	DrainsRespected,
	SlowStartRespected,
	KeyOrder,
	RetryBudget,
	RateLimits,
	ContentIntact,
}

// Violation is one case in which an invariant did not hold.
type Violation struct {
	Invariant string
	At        time.Duration // time of the violation, since the start of the run
	Detail    string
	Tags      []string // tags of the requests concerned; nil if the violation names no request
}

// checker holds the parameters, the log with its indexes, and the violations found so far.
type checker struct {
	params       Parameters
	log          *Log
	violations   []Violation
	entriesByTag map[string][]storagenode.LogEntry // node log entries of each request, in the order of arrival
	requests     map[string]*Request               // client records, keyed by the request's tag
}

// Check returns all violations that the log shows, sorted by time. It sorts the entries of the log by arrival.
func Check(params Parameters, log *Log) []Violation {
	c := newChecker(params, log)
	c.checkResponses()
	c.checkAttempts()
	c.checkDrains()
	c.checkKeyOrder()
	c.checkRetryBudget()
	c.checkRateLimits()
	for _, node := range log.OverloadedNodes {
		c.report(SlowStartRespected, log.End, nil, "%s was overloaded", node)
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

func newChecker(params Parameters, log *Log) *checker {
	c := &checker{
		params:       params,
		log:          log,
		entriesByTag: map[string][]storagenode.LogEntry{},
		requests:     map[string]*Request{},
	}
	slices.SortFunc(log.Entries, func(a, b storagenode.LogEntry) int { return cmp.Compare(a.Arrived, b.Arrived) })
	for i := range log.Requests {
		c.requests[log.Requests[i].Tag] = &log.Requests[i]
	}
	for _, e := range log.Entries {
		if e.Tag != "" {
			c.entriesByTag[e.Tag] = append(c.entriesByTag[e.Tag], e)
		}
	}
	return c
}

func (c *checker) report(invariant string, at time.Duration, tags []string, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Invariant: invariant,
		At:        at,
		Detail:    fmt.Sprintf(format, args...),
		Tags:      tags,
	})
}

// crashTime returns when a gateway instance crashed. It returns false if the instance did not crash.
func (c *checker) crashTime(gateway string) (time.Duration, bool) {
	for _, crash := range c.log.Crashes {
		if crash.Gateway == gateway {
			return crash.At, true
		}
	}
	return 0, false
}

// canceled reports whether the gateway canceled an attempt before the node completed it.
func canceled(e storagenode.LogEntry) bool {
	return e.Disconnected > 0 && (e.Ended == 0 || e.Disconnected < e.Ended)
}

// attemptEnd returns when an attempt ended for the gateway that sent it: when the gateway canceled the attempt, or
// when the node completed it. If neither happened, the attempt ends at the end of the log.
func (c *checker) attemptEnd(e storagenode.LogEntry) time.Duration {
	switch {
	case canceled(e):
		return e.Disconnected
	case e.Ended == 0:
		return c.log.End
	}
	return e.Ended
}
