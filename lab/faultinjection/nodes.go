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

// endpoint is a node as the endpoint list names it.
type endpoint struct {
	addr    string
	shard   int
	state   dispatch.NodeState
	started time.Duration // since the epoch; 0: before it
}

// staleEndpointAge is the time between two copies of the list with which crashed gateways restart.
const staleEndpointAge = 2 * time.Second

// The delay with which a gateway is notified of a change is uniform from the shortest on, over the
// spread.
const (
	minNotifyDelayMillis    = 20
	notifyDelaySpreadMillis = 180
)

// startNode starts the next node of a shard, in slow start if asked, and lists it.
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

// publishEndpoints changes the endpoint list and notifies all gateways, each after a delay of its own.
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

// ageEndpoints keeps an earlier copy of the endpoint list, for gateways that restart.
func (r *run) ageEndpoints(ctx context.Context) {
	for sleep(ctx, staleEndpointAge) {
		r.locked(func() { r.staleEndpoints = maps.Clone(r.endpoints) })
	}
}

// currentNode returns the current node of a shard with its endpoint.
func (r *run) currentNode(shard int) (*storagenode.Node, endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[shard]
	return n, r.endpoints[n.ID()]
}

// minDrainTime is how long a draining node stays listed at least.
const minDrainTime = time.Second

// replaceNode drains a shard's node. Its successor takes over the data, starts slowly, and may start
// a while after the drain was published.
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

// killNode stops a shard's node at once. A successor in slow start replaces it after the delay.
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
