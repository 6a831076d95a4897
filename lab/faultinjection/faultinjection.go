// Package faultinjection plays a script of faults through real gateways on loopback sockets:
// several gateways in front of many fake storage nodes, clients with deadlines, and the
// faults that operators meet. The invariants are checked from the clients' and the nodes' logs.
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

// maxClients is how many requests are in progress at a time; more are dropped, not queued.
const maxClients = 2048

// run is one run while it goes on.
type run struct {
	options      Options
	epoch        time.Time // zero of all times
	params       invariants.Parameters
	volumes      []string
	largeObjects map[string][]byte // by path; never written again
	clients      chan struct{}     // one element for each client
	stalls       *stall.Monitor    // of the machine
	wg           sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	log      invariants.Log
	requests []*invariants.Request
	load     loadFaults

	datasets  []*storagenode.Dataset // by shard
	ledger    *storagenode.Ledger
	nodes     []*storagenode.Node // current node of each shard
	allNodes  []*storagenode.Node
	nodeCount int // started so far

	endpoints      map[string]endpoint // current list, by ID
	staleEndpoints map[string]endpoint // an earlier list
	gateways       []*gatewayInstance
}

// Run plays the script and returns the report. A violated invariant is no error.
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
	r.wg.Go(func() { r.ageEndpoints(runCtx) })
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
		load:         loadFaults{surge: 1, flood: 1},
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

// close stops the gateways and the nodes.
func (r *run) close() {
	for _, g := range r.gateways {
		g.close()
	}
	for _, n := range r.allNodes {
		n.Stop()
	}
}

// collectLogs gathers the logs of clients and nodes once all clients have ended.
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

// now returns the time since the epoch.
func (r *run) now() time.Duration { return time.Since(r.epoch) }

// sleep waits. It returns false if the context is done before.
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

// random returns a number from 0 up to 1.
func (r *run) random() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// locked calls f under the lock.
func (r *run) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// currentNodes returns the current node of each shard.
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
