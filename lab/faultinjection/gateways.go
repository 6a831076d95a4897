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

// gatewayInstance is one gateway from its start to its stop. A restart creates a new instance.
type gatewayInstance struct {
	run     *run
	name    string
	gateway *gateway.Gateway
	pool    *connPool
	offset  time.Duration // time from the run's epoch to the gateway's own epoch
	served  chan struct{} // closed when the gateway's Serve has returned
}

// startGateway starts an instance of the gateway with the given index and passes it the endpoint list. The number
// distinguishes the instances of one gateway in names and seeds.
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
		_ = g.Serve(ctx, ln) // if Serve fails, the clients' logs show it
	}()
	return instance, nil
}

// close stops the gateway at once, without a graceful shutdown, and closes the clients' idle connections to it.
func (g *gatewayInstance) close() {
	_ = g.gateway.Close() // the clients' logs show the requests that Close interrupted
	<-g.served
	g.pool.close()
}

// node converts an endpoint to a node for the gateway, with the start time relative to the gateway's own epoch.
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

// notify passes an endpoint update to the gateway and records the drain notices in it. If the run disables the
// guard of drains, notify omits draining and removed nodes from the update, so that the gateway does not learn of
// the drain.
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

// restartListDelay is the time for which a restarted gateway uses a stale endpoint list before it receives the
// current one.
const restartListDelay = 300 * time.Millisecond

// crashGateway stops a gateway without a graceful shutdown. After restartDelay it starts a new instance with a
// stale endpoint list, and after restartListDelay it passes the current list to that instance.
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
