// Package gateway implements the storage gateway as a library. A Gateway serves the object API to
// clients over HTTP, and schedules their reads and writes across storage nodes. The package keeps
// no package-level state, handles no signals and never exits the process.
package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"chalkstand/attribution"
	"chalkstand/costmodel"
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/settings"
	"chalkstand/internal/sigv4"
	"chalkstand/placement"
)

// Settings is the configuration of a gateway, as read from the settings file.
type Settings = settings.Settings

// Gateway is a running gateway. It owns the event loops, the forwarder, and the connections to
// clients and nodes.
type Gateway struct {
	cfg       *Settings
	log       *zap.Logger
	registry  prometheus.Registerer
	wallClock func() time.Time
	seed      uint64
	trace     func(time.Duration, dispatch.Event, []dispatch.Action)
	started   time.Time // wall-clock time at which New built the gateway

	onEntry     func(attribution.Entry)
	onLogAction func(attribution.Action)
	attribution *attributionWorker // nil if attribution is off

	costs    *costmodel.Model[objectapi.Kind]
	shards   *placement.Map
	verifier *sigv4.Verifier
	keys     atomic.Pointer[map[string]*accessKey]
	core     *core
	workers  []*loopWorker
	metrics  *metrics
	usage    usageRegistry
	nextID   atomic.Uint64

	// nextWorker counts the accepted connections. Modulo the number of workers, it is the index of
	// the worker that gets the next connection. Only the first worker's loop uses it.
	nextWorker   int
	draining     atomic.Bool
	bufferMemory atomic.Int64 // size of the buffers of all connections and of all buffered bodies
	clientConns  atomic.Int64 // number of open client connections
	inFlight     atomic.Int64 // number of client requests whose response is incomplete
	goroutines   sync.WaitGroup
	closeOnce    sync.Once
	flushOnce    sync.Once // guards the last flush to the attribution worker
}

// New builds a gateway and starts its event loops. The gateway accepts no clients until Serve is
// called.
func New(cfg Settings, opts ...Option) (*Gateway, error) {
	g := &Gateway{cfg: &cfg, log: zap.NewNop(), wallClock: time.Now, seed: rand.Uint64()}
	for _, o := range opts {
		o(g)
	}
	var err error
	if g.costs, err = cfg.CostModel(); err != nil {
		return nil, fmt.Errorf("gateway: operations: %w", err)
	}
	g.shards = placement.New(cfg.Shards)
	g.SetKeys(cfg.Keys)
	g.verifier = &sigv4.Verifier{Region: cfg.Region, Skew: cfg.Limits.ClockSkew.D(), Secret: g.secret}
	f, err := forwarder.New(forwarderConfig(&cfg, g.seed))
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	f.Trace = g.trace
	g.core = newCore(f)
	g.started = g.wallClock()
	g.nextID.Store(firstID())
	if cfg.Attribution.Enabled {
		g.attribution, err = newAttributionWorker(cfg.Attribution, g.core.now, g.onEntry, g.onLogAction)
		if err != nil {
			return nil, fmt.Errorf("gateway: %w", err)
		}
	}
	g.metrics = newMetrics(g)
	if g.registry != nil {
		if err := g.registry.Register(g.metrics); err != nil {
			return nil, fmt.Errorf("gateway: register metrics: %w", err)
		}
	}
	for i := range cfg.LoopCount() {
		loop, err := eventloop.NewLoopWithOptions(i, loopOptions(g.cfg, g.core.now, &g.bufferMemory))
		if err != nil {
			return nil, errors.Join(fmt.Errorf("gateway: %w", err), g.discard())
		}
		g.workers = append(g.workers, newLoopWorker(g, loop))
	}
	g.core.workers = g.workers
	g.start()
	if len(cfg.Nodes) > 0 {
		g.UpdateEndpoints(dispatch.Snapshot, EndpointsOf(cfg.Nodes))
	}
	return g, nil
}

// discard closes the event loops and unregisters the metrics of a gateway that New could not build
// completely.
func (g *Gateway) discard() (err error) {
	for _, w := range g.workers {
		err = errors.Join(err, w.loop.Close())
	}
	if g.registry != nil {
		g.registry.Unregister(g.metrics)
	}
	return err
}

// forwarderConfig derives the forwarder's configuration from the settings.
func forwarderConfig(cfg *Settings, seed uint64) forwarder.Config {
	l := cfg.Limits
	return forwarder.Config{
		Dispatch:          cfg.DispatchConfig(),
		Seed:              seed,
		MaxConnsPerNode:   l.ConnsPerNode,
		MaxStreamsPerNode: l.Streams,
		IdleTimeout:       l.NodeIdle.D(),
		MaxConnAge:        l.NodeAge.D(),
		DialTimeout:       l.Connect.D(),
		ResponseMargin:    l.ResponseMargin.D(),
		MaxRequests:       l.Requests,
		Attribution:       cfg.Attribution.Enabled,
	}
}

// firstID returns a random first request ID. A node may report late about a request of an earlier
// run of this gateway, and the random start keeps that request's ID from also naming a request of
// this run.
func firstID() uint64 { return rand.Uint64() >> 24 << 20 }

// start starts the gateway's goroutines. Close waits until they have ended.
func (g *Gateway) start() {
	for _, w := range g.workers {
		g.goroutines.Go(func() {
			if err := w.loop.Run(); err != nil {
				g.log.Error("event loop failed", zap.Error(err))
			}
		})
	}
	g.goroutines.Go(g.core.run)
	g.goroutines.Go(g.sweepPeriodically)
	if g.attribution != nil {
		go g.attribution.run()
	}
}

// EndpointsOf converts nodes of the settings file to the list that UpdateEndpoints takes.
func EndpointsOf(nodes []settings.Node) []forwarder.Node {
	var list []forwarder.Node
	for _, n := range nodes {
		node := forwarder.Node{
			Addr: n.Addr,
			Node: dispatch.Node{
				ID:    dispatch.NodeID(n.ID),
				Shard: dispatch.Shard(n.Shard),
				Zone:  n.Zone,
				Kind:  n.Kind,
			},
		}
		if n.State == "draining" {
			node.State = dispatch.Draining
		}
		list = append(list, node)
	}
	return list
}

// Now returns the monotonic time since the gateway was built.
func (g *Gateway) Now() time.Duration { return g.core.now() }

// UpdateEndpoints updates the gateway's list of storage nodes. Times in the list are on the same
// clock as Now.
func (g *Gateway) UpdateEndpoints(kind dispatch.EndpointUpdateKind, nodes []forwarder.Node) {
	g.core.handle(nil, forwarder.EndpointUpdate{Kind: kind, Nodes: nodes})
}

// accessKey is an access key of the settings, with its secret and its permissions.
type accessKey struct {
	settings.Key
}

// mayAccess reports whether one of the key's bucket patterns matches the bucket.
func (k *accessKey) mayAccess(bucket string) bool {
	return slices.ContainsFunc(k.Buckets, func(pattern string) bool {
		ok, _ := path.Match(pattern, bucket) // path.Match reports no match for a malformed pattern
		return ok
	})
}

// SetKeys replaces the access keys. It does not affect requests that are already authorized.
func (g *Gateway) SetKeys(keys []settings.Key) {
	m := make(map[string]*accessKey, len(keys))
	for _, k := range keys {
		m[k.ID] = &accessKey{k}
	}
	g.keys.Store(&m)
}

// secret returns the secret of an access key, and false if there is no such key.
func (g *Gateway) secret(id string) (string, bool) {
	if k := (*g.keys.Load())[id]; k != nil {
		return k.Secret, true
	}
	return "", false
}

// InFlight returns the number of client requests whose response is not complete.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// BufferedBytes returns the number of bytes in the gateway's own read and write buffers, summed
// over all connections. It returns 0 once the gateway is closed.
func (g *Gateway) BufferedBytes() int {
	sums := make(chan int, len(g.workers))
	for _, w := range g.workers {
		w.loop.Post(func() {
			sum := 0
			w.loop.EachConn(func(c *eventloop.Conn) { sum += c.BufferedOutput() + c.BufferedInput() })
			sums <- sum
		})
	}
	total := 0
	for range g.workers {
		select {
		case sum := <-sums:
			total += sum
		case <-g.core.done:
			return 0
		}
	}
	return total
}

// Shard returns the shard that stores the object with the given bucket and key.
func (g *Gateway) Shard(bucket, key string) int {
	spread := 0
	if i := g.cfg.BucketRule(bucket); i >= 0 {
		spread = g.cfg.Buckets[i].ShardCount
	}
	return int(g.shards.Volume(bucket, spread).Shard(key))
}
