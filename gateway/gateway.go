// Package gateway is the storage gateway as a library: it serves the object API to clients over
// HTTP, and schedules their reads and writes across storage nodes. It keeps no package-level
// state, handles no signals and ends no process.
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

// Settings are those of the settings file.
type Settings = settings.Settings

// Gateway is one running gateway.
type Gateway struct {
	cfg       *Settings
	log       *zap.Logger
	registry  prometheus.Registerer
	wallClock func() time.Time
	seed      uint64
	trace     func(time.Duration, dispatch.Event, []dispatch.Action)
	started   time.Time // by the wall clock

	onEntry     func(attribution.Entry)
	onLogAction func(attribution.Action)
	attribution *attributionWorker // nil: attribution is off

	costs    *costmodel.Model[objectapi.Kind]
	shards   *placement.Map
	verifier *sigv4.Verifier
	keys     atomic.Pointer[map[string]*accessKey]
	core     *core
	workers  []*loopWorker
	metrics  *metrics
	usage    usageRegistry
	nextID   atomic.Uint64

	nextWorker  int // index of the worker that gets the next connection; used by the first worker only
	draining    atomic.Bool
	clientConns atomic.Int64 // open client connections
	inFlight    atomic.Int64 // client requests without a response
	goroutines  sync.WaitGroup
	closeOnce   sync.Once
	flushOnce   sync.Once // of the attribution worker
}

// New builds a gateway and starts its event loops. The gateway accepts clients once Serve is called.
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
	g.verifier = &sigv4.Verifier{Region: cfg.Region, Skew: cfg.Limits.Skew.D(), Secret: g.secret}
	f, err := forwarder.New(forwarderConfig(&cfg, g.seed))
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	f.Trace = g.trace
	g.core = newCore(f)
	g.started = g.wallClock()
	g.nextID.Store(firstID())
	if cfg.Accounts.On {
		g.attribution, err = newAttributionWorker(cfg.Accounts, g.core.now, g.onEntry, g.onLogAction)
		if err != nil {
			return nil, fmt.Errorf("gateway: %w", err)
		}
	}
	g.metrics = newMetrics(g)
	if g.registry != nil {
		if err := g.registry.Register(g.metrics); err != nil {
			return nil, fmt.Errorf("gateway: metrics: %w", err)
		}
	}
	for i := range cfg.LoopCount() {
		loop, err := eventloop.NewLoopWith(i, loopOptions(g.cfg, g.core.now))
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

// discard releases what New has opened before it failed.
func (g *Gateway) discard() (err error) {
	for _, w := range g.workers {
		err = errors.Join(err, w.loop.Close())
	}
	if g.registry != nil {
		g.registry.Unregister(g.metrics)
	}
	return err
}

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
		ResponseMargin:    l.Margin.D(),
		MaxRequests:       l.Calls,
		Attribution:       cfg.Accounts.On,
	}
}

// firstID returns a random first request ID, so that a node's late report for an earlier run of this
// gateway does not name a request of this one.
func firstID() uint64 { return rand.Uint64() >> 24 << 20 }

// start starts the gateway's goroutines, which Close awaits.
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

// EndpointsOf converts the settings' nodes to a list for UpdateEndpoints.
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

// Now returns the time since the gateway was built. It is monotonic.
func (g *Gateway) Now() time.Duration { return g.core.now() }

// UpdateEndpoints updates the list of storage nodes. Times in it are on the scale of Now.
func (g *Gateway) UpdateEndpoints(kind dispatch.EndpointUpdateKind, nodes []forwarder.Node) {
	g.core.handle(nil, forwarder.EndpointUpdate{Kind: kind, Nodes: nodes})
}

// accessKey is a client's key with its permissions.
type accessKey struct {
	settings.Key
}

// mayAccess reports whether one of the key's patterns matches a bucket.
func (k *accessKey) mayAccess(bucket string) bool {
	return slices.ContainsFunc(k.Buckets, func(pattern string) bool {
		ok, _ := path.Match(pattern, bucket) // a malformed pattern matches nothing
		return ok
	})
}

// SetKeys replaces the access keys. Requests that were already authorized are not affected.
func (g *Gateway) SetKeys(keys []settings.Key) {
	m := make(map[string]*accessKey, len(keys))
	for _, k := range keys {
		m[k.ID] = &accessKey{k}
	}
	g.keys.Store(&m)
}

func (g *Gateway) secret(id string) (string, bool) {
	if k := (*g.keys.Load())[id]; k != nil {
		return k.Secret, true
	}
	return "", false
}

// InFlight returns the number of client requests that have no response yet.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// BufferedBytes returns the number of bytes in the gateway's own buffers, over all connections; 0
// once the gateway is closed.
func (g *Gateway) BufferedBytes() int {
	sums := make(chan int, len(g.workers))
	for _, w := range g.workers {
		w.loop.Post(func() {
			sum := 0
			w.loop.EachConn(func(c *eventloop.Conn) { sum += c.Pending() + c.Buffered() })
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

// Shard returns the shard that holds an object of a bucket.
func (g *Gateway) Shard(bucket, key string) int {
	spread := 0
	if i := g.cfg.BucketRule(bucket); i >= 0 {
		spread = g.cfg.Buckets[i].Spread
	}
	return int(g.shards.Volume(bucket, spread).Shard(key))
}
