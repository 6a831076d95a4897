package invariants

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chalkstand/fake/storagenode"
)

const ms = time.Millisecond

func testParameters() Parameters {
	return Parameters{
		DrainGrace:        250 * ms,
		Quiescence:        100 * ms,
		BudgetMinRetries:  1,
		BudgetRatio:       0.5,
		BudgetWindow:      time.Second,
		Limits:            map[string]RateLimit{"v": {Rate: 10, Capacity: 2}},
		LogTolerance:      10 * ms,
		ResponseTolerance: 20 * ms,
		Classes: []Class{
			{Deadline: time.Second},
			{Deadline: time.Second, Idempotency: Deduplicated, Ordered: true},
			{Deadline: time.Second, Idempotency: NonIdempotent},
		},
	}
}

// okRequest returns a request that was sent at 0 and got a response with status 200.
func okRequest(tag string, class int, ended time.Duration) Request {
	return Request{Tag: tag, Gateway: "g", Class: class, Ended: ended, Status: 200, Responses: 1}
}

func unanswered(tag string, ended time.Duration) Request {
	return Request{Tag: tag, Gateway: "g", Ended: ended}
}

func rejected(tag string, class int, ended time.Duration) Request {
	r := okRequest(tag, class, ended)
	r.Status, r.HasRetryAfter = 503, true
	return r
}

// modified returns a copy of a request with a change applied.
func modified(r Request, change func(*Request)) Request {
	change(&r)
	return r
}

// entry returns the log entry of an attempt that a node executed and answered with status 200.
func entry(tag string, id uint64, attempt int, arrived, ended time.Duration) storagenode.LogEntry {
	return storagenode.LogEntry{
		Node: "n", Gateway: "g", Request: id, Attempt: attempt, Tag: tag,
		Arrived: arrived, Ended: ended, Status: 200, Executed: true, Units: 1,
	}
}

func canceledAt(e storagenode.LogEntry, at time.Duration) storagenode.LogEntry {
	e.Disconnected = at
	return e
}

func rateLimited(e storagenode.LogEntry) storagenode.LogEntry {
	e.Volume = "v"
	return e
}

func notExecuted(e storagenode.LogEntry) storagenode.LogEntry {
	e.Executed, e.Status = false, 503
	return e
}

func requests(rs ...Request) []Request { return rs }

func entries(es ...storagenode.LogEntry) []storagenode.LogEntry { return es }

// invariantCase has a log that violates the invariant, and a similar log that violates no invariant.
type invariantCase struct {
	invariant string
	bad, good Log
}

var responseCases = map[string]invariantCase{
	"no response": {
		NoRequestLost,
		Log{Requests: requests(unanswered("a", 2000*ms))},
		Log{Requests: requests(unanswered("a", 2000*ms)), Crashes: []Crash{{"g", 1900 * ms}}},
	},
	"two responses": {
		NoRequestLost,
		Log{Requests: requests(modified(okRequest("a", 0, ms), func(r *Request) { r.Responses = 2 }))},
		Log{Requests: requests(okRequest("a", 0, ms))},
	},
	"late response": {
		NoRequestLost,
		Log{Requests: requests(okRequest("a", 0, 1021*ms))},
		Log{Requests: requests(okRequest("a", 0, 1019*ms))},
	},
	"rejection without a Retry-After": {
		NoRequestLost,
		Log{Requests: requests(modified(okRequest("a", 0, ms), func(r *Request) { r.Status = 503 }))},
		Log{Requests: requests(rejected("a", 0, ms))},
	},
	"attempt after the final response": {
		NoRequestLost,
		Log{Requests: requests(okRequest("a", 0, 20*ms)), Entries: entries(entry("a", 1, 0, 31*ms, 40*ms))},
		Log{Requests: requests(okRequest("a", 0, 20*ms)), Entries: entries(entry("a", 1, 0, 10*ms, 19*ms))},
	},
	"content differs from the stored object": {
		ContentIntact,
		Log{Requests: requests(modified(okRequest("a", 0, ms), func(r *Request) { r.ContentError = "short" }))},
		Log{Requests: requests(okRequest("a", 0, ms))},
	},
}

var attemptCases = map[string]invariantCase{
	"two attempts in flight": {
		OneAttemptAtATime,
		Log{Entries: entries(entry("a", 1, 0, 0, 100*ms), entry("a", 1, 1, 50*ms, 60*ms))},
		Log{Entries: entries(canceledAt(entry("a", 1, 0, 0, 100*ms), 50*ms), entry("a", 1, 1, 50*ms, 60*ms))},
	},
	"deduplicated request executed twice": {
		ExecutedOnce,
		Log{
			Requests: requests(okRequest("a", 1, 90*ms)),
			Entries:  entries(entry("a", 1, 0, 0, 10*ms), entry("a", 1, 1, 50*ms, 60*ms)),
		},
		Log{
			Requests: requests(okRequest("a", 0, 90*ms)),
			Entries:  entries(entry("a", 1, 0, 0, 10*ms), entry("a", 1, 1, 50*ms, 60*ms)),
		},
	},
	"rejected after an execution": {
		ExecutedOnce,
		Log{Requests: requests(rejected("a", 2, 90*ms)), Entries: entries(entry("a", 1, 0, 0, 10*ms))},
		Log{Requests: requests(rejected("a", 2, 90*ms)), Entries: entries(notExecuted(entry("a", 1, 0, 0, 10*ms)))},
	},
	"retry budget exceeded": {
		RetryBudget,
		Log{
			Requests: requests(okRequest("a", 0, 50*ms)),
			Entries:  entries(entry("a", 1, 1, 10*ms, 20*ms), entry("a", 1, 2, 30*ms, 40*ms)),
		},
		Log{
			Requests: requests(okRequest("a", 0, 50*ms), okRequest("b", 0, 50*ms)),
			Entries:  entries(entry("a", 1, 1, 10*ms, 20*ms), entry("a", 1, 2, 30*ms, 40*ms)),
		},
	},
}

var nodeCases = map[string]invariantCase{
	"sent to a draining node": {
		DrainsRespected,
		Log{DrainNotices: []DrainNotice{{"g", "n", 0}}, Entries: entries(entry("a", 1, 0, 261*ms, 270*ms))},
		Log{DrainNotices: []DrainNotice{{"h", "n", 0}}, Entries: entries(entry("a", 1, 0, 261*ms, 270*ms))},
	},
	"node overloaded in slow start": {SlowStartRespected, Log{OverloadedNodes: []string{"n"}}, Log{}},
	"two requests of a key at a time": {
		KeyOrder,
		Log{
			Requests: requests(okRequest("a", 1, 100*ms), okRequest("b", 1, 100*ms)),
			Entries:  entries(entry("a", 1, 0, 0, 50*ms), entry("b", 2, 0, 30*ms, 60*ms)),
		},
		Log{
			Requests: requests(okRequest("a", 1, 100*ms), okRequest("b", 1, 100*ms)),
			Entries:  entries(entry("a", 1, 0, 0, 50*ms), entry("b", 2, 0, 50*ms, 60*ms)),
		},
	},
	"no quiescence after a canceled attempt": {
		KeyOrder,
		Log{
			Requests: requests(okRequest("a", 1, 30*ms), okRequest("b", 1, 200*ms)),
			Entries:  entries(canceledAt(entry("a", 1, 0, 0, 50*ms), 30*ms), entry("b", 2, 0, 60*ms, 70*ms)),
		},
		Log{
			Requests: requests(okRequest("a", 1, 30*ms), okRequest("b", 1, 200*ms)),
			Entries:  entries(canceledAt(entry("a", 1, 0, 0, 50*ms), 30*ms), entry("b", 2, 0, 131*ms, 140*ms)),
		},
	},
	"rate limit exceeded": {
		RateLimits,
		Log{Entries: entries(
			rateLimited(entry("a", 1, 0, 0, ms)),
			rateLimited(entry("b", 2, 0, 0, ms)),
			rateLimited(entry("c", 3, 0, 80*ms, 90*ms)),
		)},
		Log{Entries: entries(
			rateLimited(entry("a", 1, 0, 0, ms)),
			rateLimited(entry("b", 2, 0, 0, ms)),
			rateLimited(entry("b", 2, 1, 20*ms, 30*ms)),
			rateLimited(entry("c", 3, 0, 95*ms, 99*ms)),
		)},
	},
}

// Each bad log violates the invariant of its case, and each good log violates no invariant.
func TestEachInvariantIsChecked(t *testing.T) {
	for _, cases := range []map[string]invariantCase{responseCases, attemptCases, nodeCases} {
		for name, test := range cases {
			t.Run(name, func(t *testing.T) {
				if got := violated(&test.bad); !strings.Contains(fmt.Sprint(got), test.invariant) {
					t.Errorf("bad log: got violations %v, want one of the invariant of the case", got)
				}
				if got := violated(&test.good); len(got) > 0 {
					t.Errorf("good log: got violations %v, want none", got)
				}
			})
		}
	}
}

// violated returns the invariant of each violation that Check finds in a log.
func violated(log *Log) []string {
	log.End = 5 * time.Second
	var names []string
	for _, v := range Check(testParameters(), log) {
		names = append(names, v.Invariant)
	}
	return names
}
