package invariants

import (
	"time"

	"chalkstand/fake/storagenode"
)

// Idempotency says how often the requests of a class may be executed.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // the request may be executed any number of times
	Deduplicated                     // nodes recognize a repeat by the idempotency key and do not execute it
	NonIdempotent                    // the request must not be sent again once it may have been executed
)

// Class holds the properties of a request class that the checks use.
type Class struct {
	Deadline    time.Duration // time from sending a request to the end of its response
	Idempotency Idempotency
	Ordered     bool // requests of one key run one at a time
}

// Parameters holds the bounds of the invariants and the tolerances for comparing the logs of
// different observers.
type Parameters struct {
	Classes          []Class
	DrainGrace       time.Duration        // time after a drain notice in which requests may still arrive at the node
	Quiescence       time.Duration        // pause of a key after an ambiguous attempt
	BudgetMinRetries float64              // retries allowed in a window that has no requests
	BudgetRatio      float64              // additional retries allowed for each request in the window
	BudgetWindow     time.Duration        // length of the retry budget's window; 0: no retry budget
	Limits           map[string]RateLimit // keyed by volume; a volume without an entry has no limit

	LogTolerance      time.Duration // allowed difference between the times that two logs give for the same event
	ResponseTolerance time.Duration // allowed delay of a response after its deadline
}

// RateLimit is the rate limit of a volume, with all tolerances included.
type RateLimit struct {
	Rate     float64 // cost units per second
	Capacity float64 // capacity of the token bucket, in cost units
}

// Request is the client's record of one request. Its times count from the start of the run.
type Request struct {
	Tag     string
	Gateway string // name with an instance number, which changes at each restart
	Class   int    // index in Parameters.Classes
	Key     string // key of the object
	Sent    time.Duration
	Ended   time.Duration // when the client had read the whole response, or when the request ended without one
	Status  int           // HTTP status; 0: no response
	NoReply string        // why there is no response, for reports; empty if that is unknown

	Responses      int    // number of responses; bytes after the first response count as another one
	HasRetryAfter  bool   // the response has a Retry-After header
	ClientCanceled bool   // the client closed the connection before the response was complete
	Aborted        bool   // the response began, and the client could see that it is incomplete
	ContentError   string // difference between the received and the stored content; empty: no difference
}

// DrainNotice records when a gateway was notified that a node is draining or was removed.
type DrainNotice struct {
	Gateway string
	Node    string
	At      time.Duration
}

// Crash records when a gateway instance was stopped without a graceful shutdown.
type Crash struct {
	Gateway string
	At      time.Duration
}

// Log holds all observations of a run.
type Log struct {
	Requests        []Request
	Entries         []storagenode.LogEntry // log entries of all nodes; Check sorts them by arrival
	DrainNotices    []DrainNotice
	Crashes         []Crash
	OverloadedNodes []string      // nodes that stopped because they were overloaded during slow start
	End             time.Duration // end of the observation
}
