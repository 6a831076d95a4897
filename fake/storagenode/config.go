package storagenode

import (
	"time"

	"go.uber.org/zap"
)

// Config describes a node. With zero values it has no limits and responds at once.
type Config struct {
	ID    string
	Zone  int
	Shard int

	Cores        int           // requests in service at a time; 0: no limit
	Speed        float64       // of a core; 0 counts as 1
	Queue        int           // requests that may be queued besides; more are rejected
	PerUnit      time.Duration // service time of one cost unit at speed 1
	InitialSpeed float64       // share of its speed right after its start; 0: full speed at once
	WarmUp       time.Duration // until it has its full speed

	// Deferred is the share of a write's work that is put off and done in one go every
	// DeferEvery, while everything else waits.
	Deferred   float64
	DeferEvery time.Duration

	// A node that has just started stops if within OverloadWindow it receives more than
	// OverloadFactor times what it can serve in that time, and more than InitialUnits.
	// A factor of 0 disables this.
	OverloadFactor float64
	OverloadWindow time.Duration
	InitialUnits   float64

	ReportEvery time.Duration // how long a load report stays the same
	ReportDelay time.Duration // until a load report is sent
	ReportNoise float64       // relative error that a load report may have

	// Timing has the node report in Server-Timing how a request's time here divides: with its
	// response, or with a later one after TimingDelay, if that is set. TimingLossRate is the
	// share of requests that it never reports.
	Timing         bool
	TimingDelay    time.Duration
	TimingLossRate float64

	DedupWindow time.Duration // how long writes with the same key are deduplicated
	DiscardLog  bool          // keep no log of requests, for nodes that run for long
	Logger      *zap.Logger   // of errors of the node itself; nil: none
	Seed        uint64

	Link       float64 // rate at which all responses together are sent, bytes a second; 0: no limit
	SendBuffer int     // kernel send buffer of a connection, bytes; 0: the kernel's default
}
