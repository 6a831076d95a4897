package soak

import (
	"fmt"
	"time"

	"chalkstand/fake/storagenode"
	"chalkstand/lab/invariants"
)

// Program is a program under test.
type Program string

// The programs.
const (
	Serve Program = "serve" // the HTTP gateway
	RESP  Program = "run"   // the server of the platform's protocol
)

// programName is the name of the program in logs and checks.
const programName = "g1"

// The deployment: each shard has one node at a time.
const (
	shards      = 4
	objects     = 32
	objectBytes = 2000
	hotObjects  = 4   // that get many of the requests, so that writes of one key meet
	hotShare    = 0.3 // of the requests
)

// The classes, in the order of the settings.
const (
	classRead = iota
	classWrite
	classRemove
)

// Bounds that both programs are configured with.
const (
	readDeadline   = 1000 * time.Millisecond
	writeDeadline  = 1500 * time.Millisecond
	dedupWindow    = 3 * time.Second
	quiescence     = 150 * time.Millisecond
	freeRetries    = 3
	retryRatio     = 0.1
	retryWindow    = 5 * time.Second
	nodeIdleTime   = 500 * time.Millisecond
	serviceTime    = 5 * time.Millisecond
	slowService    = 150 * time.Millisecond
	drainGrace     = 300 * time.Millisecond
	longestTimeout = writeDeadline
)

// Tolerances of the checks: delays of the machine itself.
const (
	logTolerance      = 60 * time.Millisecond
	responseTolerance = 150 * time.Millisecond
)

// invariantParameters returns the bounds with all guards in place.
func invariantParameters() invariants.Parameters {
	return invariants.Parameters{
		Classes: []invariants.Class{
			{Deadline: readDeadline, Idempotency: invariants.Idempotent},
			{Deadline: writeDeadline, Idempotency: invariants.Deduplicated, Ordered: true},
			{Deadline: writeDeadline, Idempotency: invariants.NonIdempotent},
		},
		DrainGrace:        drainGrace,
		Quiescence:        quiescence,
		BudgetFree:        freeRetries,
		BudgetRatio:       retryRatio,
		BudgetWindow:      retryWindow,
		LogTolerance:      logTolerance,
		ResponseTolerance: responseTolerance,
	}
}

func tagOf(client, request int) string { return fmt.Sprintf("%08x%08x", client, request) }

func keyOf(object int) string { return fmt.Sprintf("%016x", object) }

// system is the deployment around a program: its nodes, its configuration, and how clients reach it.
type system interface {
	// arguments returns the program's command line behind its path, with the configuration's file.
	arguments(configFile string) []string
	// configuration returns the text of the configuration as it is to be now.
	configuration() []byte
	addr() string
	protocol() protocol
	// inject makes a fault at a node, except a drain.
	inject(f fault) error
	// clearFaults ends the faults of all nodes.
	clearFaults()
	// drainNode starts a successor of a shard's node and changes the configuration or the list of
	// nodes. It returns the name of the node that drains.
	drainNode(shard int) (string, error)
	// awaitDrain waits until the program has learned of the last drain and reports whether it has.
	awaitDrain(p *process) bool
	// moved changes what a reload applies; reloaded waits until the program has applied it.
	moved()
	reloaded(p *process) bool
	// terminationDelay is how long after SIGTERM the program may be killed at the earliest.
	terminationDelay() time.Duration
	// completed is in the log of a graceful shutdown that is complete.
	completed() string
	entries() []storagenode.LogEntry
	close()
}
