// Package invariants checks a gateway's invariants against what crossed the sockets: the
// logs of clients and nodes, and the times at which each gateway was notified of changes.
// It reads no state of a gateway.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chalkstand/fake/storagenode"
)

// The invariants, as they are printed.
const (
	NoRequestLost      = "no request is lost"
	ExecutedOnce       = "no effect happens twice"
	OneAttemptAtATime  = "never two attempts out"
	DrainsRespected    = "drains are kept"
	SlowStartRespected = "a cold node is not pushed over"
	KeyOrder           = "order is kept"
	RetryBudget        = "further attempts stay within the budget"
	RateLimits         = "limits are kept"
	ContentIntact      = "an answer is whole and true"
)

// All lists the invariants in the order of the report.
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
	At        time.Duration
	Detail    string
	Tags      []string // of the requests concerned, if it is about requests
}

// checker holds the log, indexed, and the violations found so far.
type checker struct {
	params       Parameters
	log          *Log
	violations   []Violation
	entriesByTag map[string][]storagenode.LogEntry // in the order of arrival
	requests     map[string]*Request               // by tag
}

// Check returns every violation that the log shows, in the order of time.
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

// crashTime returns when a gateway instance crashed, if it did.
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

// endOf returns when an attempt was over for the gateway that sent it.
func (c *checker) endOf(e storagenode.LogEntry) time.Duration {
	switch {
	case canceled(e):
		return e.Disconnected
	case e.Ended == 0:
		return c.log.End
	}
	return e.Ended
}
