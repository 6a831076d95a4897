package soak

import (
	"fmt"
	"time"

	"chalkstand/fake/storagenode"
	"chalkstand/lab/invariants"
)

// Program names a program under test. The value is its subcommand.
type Program string

// The programs that a run can test.
const (
	Serve Program = "serve" // the HTTP gateway
	RESP  Program = "run"   // the RESP server, which speaks the platform's protocol
)

// programName is the program's name in its configuration and in the checker's logs.
const programName = "g1"

// Size of the deployment. Each shard has one current node at a time.
const (
	shards      = 4
	objects     = 32
	objectBytes = 2000
	hotObjects  = 4   // number of objects that get many requests, so that writes to the same key overlap
	hotShare    = 0.3 // share of the requests that always go to the hot objects
)

// Indexes of the classes in the settings' list of classes.
const (
	classRead = iota
	classWrite
	classRemove
)

// Bounds that the configurations of both programs contain, and properties of the fake nodes.
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

// Tolerances of the checker. They allow for delays that the machine causes, not the program.
const (
	logTolerance      = 60 * time.Millisecond
	responseTolerance = 150 * time.Millisecond
)

// invariantParameters returns the bounds that the checker uses. They assume that no guard is disabled.
func invariantParameters() invariants.Parameters {
	return invariants.Parameters{
		Classes: []invariants.Class{
			{Deadline: readDeadline, Idempotency: invariants.Idempotent},
			{Deadline: writeDeadline, Idempotency: invariants.Deduplicated, Ordered: true},
			{Deadline: writeDeadline, Idempotency: invariants.NonIdempotent},
		},
		DrainGrace:        drainGrace,
		Quiescence:        quiescence,
		BudgetMinRetries:  freeRetries,
		BudgetRatio:       retryRatio,
		BudgetWindow:      retryWindow,
		LogTolerance:      logTolerance,
		ResponseTolerance: responseTolerance,
	}
}

func requestTag(client, request int) string { return fmt.Sprintf("%08x%08x", client, request) }

func objectKey(object int) string { return fmt.Sprintf("%016x", object) }

// system is the deployment of a program: its nodes, its configuration, and the protocol of its clients.
type system interface {
	// arguments returns the command-line arguments that make the program read configFile.
	arguments(configFile string) []string
	// configuration returns the text of the current configuration file.
	configuration() []byte
	addr() string
	protocol() protocol
	// inject starts a fault at the current node of f.Shard. It does not handle drains; see drainNode.
	inject(f fault) error
	// clearFaults ends the faults of all current nodes.
	clearFaults()
	// drainNode starts a successor of the shard's current node and marks the old node as draining in the
	// configuration or in the endpoint list. It returns the ID of the draining node.
	drainNode(shard int) (string, error)
	// awaitDrain waits until the program has learned of the latest drain. It returns false if it takes too long.
	awaitDrain(p *process) bool
	// changeConfiguration changes the configuration, so that the next reload has something to apply.
	changeConfiguration()
	// awaitReload waits until the program logs that it has applied the change. It returns false if that takes too
	// long.
	awaitReload(p *process) bool
	// terminationDelay returns the shortest time after SIGTERM at which a supervisor may kill the program.
	terminationDelay() time.Duration
	// completedText returns the text that the program logs at the end of a complete graceful shutdown.
	completedText() string
	// entries returns the logs of all nodes. It is called after the program has ended.
	entries() []storagenode.LogEntry
	close()
}
