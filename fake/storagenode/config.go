package storagenode

import (
	"time"

	"go.uber.org/zap"
)

// Config describes a node. A node with the zero value has no limits and responds at once.
type Config struct {
	ID    string
	Zone  int
	Shard int

	Cores        int           // maximum number of requests in service; 0: no limit
	Speed        float64       // relative speed of a core; 0 counts as 1
	Queue        int           // maximum number of requests that wait for a core; the node rejects further ones
	PerUnit      time.Duration // service time of one cost unit at speed 1
	InitialSpeed float64       // speed right after the start, as a share of Speed; 0: full speed at once
	WarmUp       time.Duration // time from the start until the node has its full speed

	// Deferred is the share of a write's work that the node does not do at once. Every DeferEvery,
	// the node does all deferred work while the other requests wait.
	Deferred   float64
	DeferEvery time.Duration

	// During its warm-up, the node stops if the cost units that it receives within OverloadWindow
	// exceed both InitialUnits and OverloadFactor times the units that it can serve in that time.
	// A factor of 0 disables this.
	OverloadFactor float64
	OverloadWindow time.Duration
	InitialUnits   float64

	ReportEvery time.Duration // time between two updates of the load report
	ReportDelay time.Duration // time between an update of the load report and its first use in a response
	ReportNoise float64       // maximum relative error of a load report

	// Timing makes the node report the queue time and the service time of each request in the
	// Server-Timing header. The report is in the request's own response, or with TimingDelay in a
	// response that the node sends after this delay. TimingLossRate is the share of requests that
	// the node never reports.
	Timing         bool
	TimingDelay    time.Duration
	TimingLossRate float64

	DedupWindow time.Duration // time after a keyed write in which the node does not execute repeats of it
	DiscardLog  bool          // the node keeps no log of requests, which saves memory in long runs
	Logger      *zap.Logger   // logger for the node's own errors; nil: no logging
	Seed        uint64        // seed of the random numbers for faults, load reports and lost timings

	Link       float64 // total rate of sending on all connections, in bytes per second; 0: no limit
	SendBuffer int     // size of a connection's kernel send buffer, in bytes; 0: the kernel's default
}
