// Package faultinjection runs a script of faults against real gateways on loopback sockets. A run has several
// gateways in front of many fake storage nodes, clients with deadlines, and the kinds of faults that operators
// meet in production. After the run, package invariants checks the logs of the clients and the nodes.
package faultinjection

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/lab/invariants"
	"chalkstand/lab/stall"
)

// maxClients bounds the requests in progress. The load generator drops further requests instead of queueing them.
const maxClients = 2048

// run holds the state of one run in progress.
type run struct {
	options      Options
	epoch        time.Time // all recorded times count from this moment
	params       invariants.Parameters
	volumes      []string
	largeObjects map[string][]byte // contents by path; no request writes to these objects
	clients      chan struct{}     // semaphore: holds one element for each client in progress
	stalls       *stall.Monitor    // measures stalls of the machine
	wg           sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	log      invariants.Log
	requests []*invariants.Request
	load     loadFaults

	datasets  []*storagenode.Dataset // indexed by shard
	ledger    *storagenode.Ledger
	nodes     []*storagenode.Node // the current node of each shard, indexed by shard
	allNodes  []*storagenode.Node
	nodeCount int // number of nodes started so far

	endpoints      map[string]endpoint // current endpoint list, keyed by node ID
	staleEndpoints map[string]endpoint // earlier endpoint list, which restarted gateways receive first
	gateways       []*gatewayInstance
}

// Run executes the script and returns the report. The report lists violated invariants; Run returns no error for them.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Script == nil {
		o.Script = GenerateScript(o.Seed, o.Duration)
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRun(o)
	defer r.close()
	r.stalls = stall.Start(runCtx)
	if err := r.start(runCtx); err != nil {
		return nil, err
	}
	r.storeObjects()
	base := r.now()
	r.wg.Go(func() { r.copyStaleEndpoints(runCtx) })
	r.wg.Go(func() { r.generateLoad(runCtx, base) })
	r.scheduleFaults(runCtx, base)
	sleep(runCtx, o.Duration-(r.now()-base))
	cancel()
	r.wg.Wait()
	r.collectLogs()
	return newReport(r), ctx.Err()
}

func newRun(o Options) *run {
	return &run{
		options:      o,
		epoch:        time.Now(),
		params:       invariantParameters(o),
		volumes:      volumeNames(o),
		rng:          rand.New(rand.NewPCG(o.Seed, 1)),
		ledger:       storagenode.NewLedger(time.Second, 300*time.Millisecond),
		endpoints:    map[string]endpoint{},
		largeObjects: map[string][]byte{},
		load:         loadFaults{surgeFactor: 1, floodFactor: 1},
		clients:      make(chan struct{}, maxClients),
	}
}

// start starts the nodes, then the gateways.
func (r *run) start(ctx context.Context) error {
	for shard := range r.options.Shards {
		data := storagenode.NewDataset("")
		for _, volume := range r.volumes {
			data.AddBucket(volume, time.Now())
		}
		r.datasets = append(r.datasets, data)
		r.nodes = append(r.nodes, nil)
		if err := r.startNode(shard, false); err != nil {
			return err
		}
	}
	r.staleEndpoints = maps.Clone(r.endpoints)
	for i := range r.options.Gateways {
		g, err := r.startGateway(ctx, i, 1, dispatch.Snapshot, r.endpoints)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, g)
	}
	return nil
}

// close stops all gateways and all nodes, including the nodes that were replaced.
func (r *run) close() {
	for _, g := range r.gateways {
		g.close()
	}
	for _, n := range r.allNodes {
		n.Stop()
	}
}

// collectLogs copies the logs of clients and nodes into r.log. All clients must have ended before the call.
func (r *run) collectLogs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.requests {
		r.log.Requests = append(r.log.Requests, *request)
	}
	for _, n := range r.allNodes {
		r.log.Entries = append(r.log.Entries, n.Log()...)
		if n.Overloaded() {
			r.log.OverloadedNodes = append(r.log.OverloadedNodes, n.ID())
		}
	}
	r.log.End = r.now()
}

// now returns the time since the start of the run.
func (r *run) now() time.Duration { return time.Since(r.epoch) }

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// random returns a random number in [0, 1).
func (r *run) random() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// locked calls f with r.mu held.
func (r *run) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// currentNodes returns the current node of each shard, indexed by shard.
func (r *run) currentNodes() []*storagenode.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.nodes)
}

func (r *run) printProgress(format string, args ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, "%8.2fs  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
	}
}
