package invariants

import (
	"time"

	"chalkstand/fake/storagenode"
)

// Idempotency says whether a request of a class may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // may be executed any number of times
	Deduplicated                     // nodes drop repeats by its idempotency key
	NonIdempotent                    // must not be sent again once it may have been executed
)

// Class holds what the invariants need to know of a request class.
type Class struct {
	Deadline    time.Duration
	Idempotency Idempotency
	Ordered     bool // requests of one key run one at a time
}

// Parameters are the bounds that the invariants check against, and the tolerances with
// which logs of different observers are compared.
type Parameters struct {
	Classes      []Class
	DrainGrace   time.Duration        // after a drain notice, while requests may still arrive
	Quiescence   time.Duration        // pause of a key after an ambiguous attempt
	BudgetFree   float64              // retries allowed in a window without any requests
	BudgetRatio  float64              // retries allowed for each request in the window
	BudgetWindow time.Duration        // 0: no retry budget
	Limits       map[string]RateLimit // by volume

	LogTolerance      time.Duration // difference between two logs' times of one event
	ResponseTolerance time.Duration // of a response after its deadline
}

// RateLimit is a volume's limit with all tolerances included.
type RateLimit struct {
	Rate     float64 // units a second
	Capacity float64 // of the token bucket, units
}

// Request is the client's record of one request. Times count from the start of the run.
type Request struct {
	Tag     string
	Gateway string // with the number of its instance: another one after each restart
	Class   int
	Key     string // of its object
	Sent    time.Duration
	Ended   time.Duration // the whole response was read, or the request ended without one
	Status  int           // 0: no response

	Responses      int    // bytes after the response count as another one
	HasRetryAfter  bool   // the response says when to retry
	ClientCanceled bool   // the client closed the connection first
	Aborted        bool   // the response began and broke off visibly
	ContentError   string // what was wrong with the content; empty: nothing
}

// DrainNotice records when a gateway was notified that a node drains or is removed.
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

// Log is everything that was observed in a run.
type Log struct {
	Requests        []Request
	Entries         []storagenode.LogEntry // of all nodes; Check sorts them by arrival
	DrainNotices    []DrainNotice
	Crashes         []Crash
	OverloadedNodes []string // nodes overloaded during slow start
	End             time.Duration
}
