package faultinjection

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
)

// endpoint is the entry of a node in the endpoint list.
type endpoint struct {
	addr    string
	shard   int
	state   dispatch.NodeState
	started time.Duration // start of a node in slow start, since the run's epoch; 0 for a node without slow start
}

// staleEndpointInterval is the time between two copies of the endpoint list. A crashed gateway restarts with the
// latest copy.
const staleEndpointInterval = 2 * time.Second

// Each gateway learns of a change to the endpoint list after a delay of its own. The delay is uniformly distributed
// from minNotifyDelayMillis to minNotifyDelayMillis + notifyDelaySpreadMillis.
const (
	minNotifyDelayMillis    = 20
	notifyDelaySpreadMillis = 180
)

// startNode starts a new node of a shard, makes it the shard's current node and adds it to the endpoint list. It
// does not notify the gateways. If slowStart is set, the node begins at a low speed and warms up.
func (r *run) startNode(shard int, slowStart bool) error {
	r.mu.Lock()
	r.nodeCount++
	id := fmt.Sprintf("n%02d.%d", shard, r.nodeCount)
	seed := r.rng.Uint64()
	r.mu.Unlock()
	cfg := r.nodeConfig(id, shard, seed)
	if slowStart {
		cfg.InitialSpeed = initialSpeed
		cfg.WarmUp = warmUp
		cfg.OverloadWindow = overloadWindow
		cfg.OverloadFactor = overloadFactor / r.options.capacityDivisor()
		cfg.InitialUnits = slowStartUnits / r.options.capacityDivisor()
	}
	n, err := storagenode.Start("127.0.0.1:0", cfg, r.datasets[shard], r.ledger, r.epoch)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes[shard] = n
	r.allNodes = append(r.allNodes, n)
	e := endpoint{addr: n.Addr(), shard: shard}
	if slowStart {
		e.started = n.Started()
	}
	r.endpoints[id] = e
	return nil
}

func (r *run) nodeConfig(id string, shard int, seed uint64) storagenode.Config {
	return storagenode.Config{
		ID:          id,
		Shard:       shard,
		Cores:       nodeCores,
		Queue:       40,
		PerUnit:     workPerUnit,
		Speed:       0.8 + 0.4*r.random(),
		DedupWindow: nodeDedupWindow,
		Seed:        seed,
		ReportEvery: 150 * time.Millisecond,
		ReportNoise: 0.2,
		Deferred:    0.3,
		DeferEvery:  1500 * time.Millisecond,
	}
}

// publishEndpoints applies changes to the endpoint list and notifies each gateway after a random delay.
func (r *run) publishEndpoints(ctx context.Context, changes map[string]endpoint) {
	r.mu.Lock()
	maps.Copy(r.endpoints, changes)
	gateways := slices.Clone(r.gateways)
	r.mu.Unlock()
	for _, g := range gateways {
		delayMillis := minNotifyDelayMillis + notifyDelaySpreadMillis*r.random()
		delay := time.Duration(delayMillis * float64(time.Millisecond))
		r.wg.Go(func() {
			if sleep(ctx, delay) {
				g.notify(dispatch.Delta, changes)
			}
		})
	}
}

// copyStaleEndpoints copies the endpoint list every staleEndpointInterval, until ctx ends. Restarted gateways
// receive the copy first.
func (r *run) copyStaleEndpoints(ctx context.Context) {
	for sleep(ctx, staleEndpointInterval) {
		r.locked(func() { r.staleEndpoints = maps.Clone(r.endpoints) })
	}
}

// currentNode returns the current node of a shard and its entry in the endpoint list.
func (r *run) currentNode(shard int) (*storagenode.Node, endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[shard]
	return n, r.endpoints[n.ID()]
}

// minDrainTime is the minimum time for which a draining node stays in the endpoint list.
const minDrainTime = time.Second

// replaceNode drains the current node of a shard and starts a successor, which takes over the data and is in slow
// start. If successorDelay is greater than 0, replaceNode publishes the drain first and starts the successor after
// the delay. After drainTime it removes the old node from the endpoint list.
func (r *run) replaceNode(ctx context.Context, shard int, successorDelay, drainTime time.Duration) {
	old, entry := r.currentNode(shard)
	entry.state = dispatch.Draining
	if successorDelay > 0 {
		r.publishEndpoints(ctx, map[string]endpoint{old.ID(): entry})
		sleep(ctx, successorDelay)
	}
	if r.startNode(shard, true) != nil {
		return
	}
	successor, successorEntry := r.currentNode(shard)
	r.publishEndpoints(ctx, map[string]endpoint{old.ID(): entry, successor.ID(): successorEntry})
	r.wg.Go(func() {
		sleep(ctx, max(drainTime, minDrainTime))
		entry.state = dispatch.Removed
		r.publishEndpoints(ctx, map[string]endpoint{old.ID(): entry})
	})
}

// killNode stops the current node of a shard at once. After successorDelay it starts a successor in slow start and
// publishes the change.
func (r *run) killNode(ctx context.Context, shard int, successorDelay time.Duration) {
	old, entry := r.currentNode(shard)
	old.Stop()
	if !sleep(ctx, successorDelay) || r.startNode(shard, true) != nil {
		return
	}
	successor, successorEntry := r.currentNode(shard)
	entry.state = dispatch.Removed
	r.publishEndpoints(ctx, map[string]endpoint{old.ID(): entry, successor.ID(): successorEntry})
}
