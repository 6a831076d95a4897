package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/lab/invariants"
)

// gatewayInstance is one gateway from its start to its end. A restart makes another instance.
type gatewayInstance struct {
	run     *run
	name    string
	gateway *gateway.Gateway
	pool    *connPool
	offset  time.Duration // from the run's epoch to the gateway's own
	served  chan struct{} // closed when its Serve has returned
}

// startGateway starts an instance of the gateway with the index and gives it the endpoint list. The number
// tells the instances of one gateway apart.
func (r *run) startGateway(
	ctx context.Context, index, number int, kind dispatch.EndpointUpdateKind, endpoints map[string]endpoint,
) (*gatewayInstance, error) {
	s := siteSettings(r.options, index)
	s.Name = fmt.Sprintf("g%d.%d", index, number)
	disableGuard(&s, r.options.DisabledGuard)
	seed := r.options.Seed*100 + uint64(index*10+number)
	opts := []gateway.Option{gateway.WithSeed(seed)}
	if r.options.Trace != nil {
		opts = append(opts, gateway.WithTrace(r.options.Trace(s.Name, s.DispatchConfig(), seed)))
	}
	g, err := gateway.New(s, opts...)
	if err != nil {
		return nil, err
	}
	ln, err := gateway.Listen("127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(err, g.Close())
	}
	instance := &gatewayInstance{
		run:     r,
		name:    s.Name,
		gateway: g,
		pool:    &connPool{addr: ln.Addr().String()},
		offset:  r.now() - g.Now(),
		served:  make(chan struct{}),
	}
	instance.notify(kind, endpoints)
	go func() {
		defer close(instance.served)
		_ = g.Serve(ctx, ln) // a gateway that doesn't serve shows in the clients' logs
	}()
	return instance, nil
}

// close stops the gateway at once, without a graceful shutdown, and the clients' idle connections to it.
func (g *gatewayInstance) close() {
	_ = g.gateway.Close() // what it held shows in the clients' logs
	<-g.served
	g.pool.close()
}

// node returns an endpoint in the gateway's own time.
func (g *gatewayInstance) node(id string, e endpoint) forwarder.Node {
	n := forwarder.Node{
		Addr: e.addr,
		Node: dispatch.Node{
			ID:    dispatch.NodeID(id),
			Shard: dispatch.Shard(e.shard),
			State: e.state,
		},
	}
	if e.started > 0 {
		n.Started = e.started - g.offset
	}
	return n
}

// notify passes an endpoint update to the gateway and records its drain notices. With the guard of
// drains disabled, nodes that drain are left out of the update.
func (g *gatewayInstance) notify(kind dispatch.EndpointUpdateKind, endpoints map[string]endpoint) {
	var nodes []forwarder.Node
	var draining []string
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		e := endpoints[id]
		if e.state != dispatch.Ready {
			if kind == dispatch.Delta {
				draining = append(draining, id)
			}
			if g.run.options.DisabledGuard == guardDrains {
				continue
			}
		}
		nodes = append(nodes, g.node(id, e))
	}
	g.gateway.UpdateEndpoints(kind, nodes)
	g.run.locked(func() {
		for _, id := range draining {
			notice := invariants.DrainNotice{Gateway: g.name, Node: id, At: g.run.now()}
			g.run.log.DrainNotices = append(g.run.log.DrainNotices, notice)
		}
	})
}

// restartListDelay is how long a restarted gateway works with the stale endpoint list.
const restartListDelay = 300 * time.Millisecond

// crashGateway stops a gateway without warning. It restarts after the delay with a stale endpoint list
// and receives the current one later.
func (r *run) crashGateway(ctx context.Context, index int, restartDelay time.Duration) {
	r.mu.Lock()
	old := r.gateways[index]
	r.log.Crashes = append(r.log.Crashes, invariants.Crash{Gateway: old.name, At: r.now()})
	r.mu.Unlock()
	old.close()
	if !sleep(ctx, restartDelay) {
		return
	}
	r.mu.Lock()
	stale := maps.Clone(r.staleEndpoints)
	r.mu.Unlock()
	restarted, err := r.startGateway(ctx, index, 2+int(r.random()*1e6), dispatch.Cached, stale)
	if err != nil {
		return
	}
	r.locked(func() { r.gateways[index] = restarted })
	if !sleep(ctx, restartListDelay) {
		return
	}
	r.mu.Lock()
	current := maps.Clone(r.endpoints)
	r.mu.Unlock()
	restarted.notify(dispatch.Snapshot, current)
}
