// Package gateway is the storage gateway as a library: clients speak the object
// API to it over HTTP, and it schedules their reads and writes across storage
// nodes. It keeps no package-level state, handles no signal and ends no process.
package gateway

import (
	"chalkstand/attribution"
	"chalkstand/costmodel"
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/settings"
	"chalkstand/internal/sigv4"
	"chalkstand/placement"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Settings are those of the settings file.
type Settings = settings.Settings

// Option changes how a Gateway is built.
type Option func(*Gateway)

// WithLogger has the gateway log to l. The default is silence.
func WithLogger(l *zap.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithRegistry registers the gateway's metrics. The default is none.
func WithRegistry(r prometheus.Registerer) Option { return func(g *Gateway) { g.registry = r } }

// WithClock sets the wall clock by which signatures are checked.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.wall = now } }

// WithSeed fixes the seed of the dispatcher's random choices.
func WithSeed(seed uint64) Option { return func(g *Gateway) { g.seed = seed } }

// WithTrace has f called with each input of the dispatcher and what it answered,
// in order, one at a time. f must not block.
func WithTrace(f func(now time.Duration, ev dispatch.Event, acts []dispatch.Action)) Option {
	return func(g *Gateway) { g.trace = f }
}

// WithAttribution has f given the account of each client request that needed a node,
// one at a time, soon after its end; accounts are kept whatever the settings say.
// f must not block.
func WithAttribution(f func(attribution.Entry)) Option {
	return func(g *Gateway) { g.onEntry, g.cfg.Accounts.On = f, true }
}

// WithAttributionLog has f given the slots of the accounts as they close (Closed) and
// later corrections of these (Fixed), in order, one at a time.
func WithAttributionLog(f func(attribution.Action)) Option {
	return func(g *Gateway) { g.onLogAction = f }
}

// Gateway is one running gateway.
type Gateway struct {
	cfg      *Settings
	log      *zap.Logger
	registry prometheus.Registerer
	wall     func() time.Time
	seed     uint64
	trace    func(time.Duration, dispatch.Event, []dispatch.Action)
	started  time.Time // by the wall clock

	onEntry     func(attribution.Entry)
	onLogAction func(attribution.Action)
	attribution *attributionWorker // nil: no accounts are kept

	costs       *costmodel.Tariff
	shards      *placement.Map
	verifier    *sigv4.Verifier
	keys        atomic.Pointer[map[string]*accessKey]
	core        *core
	workers     []*loopWorker
	metrics     *metrics
	nextID      atomic.Uint64
	usage       usageRegistry
	nextWorker  int // of the lane that takes the next connection; lane 0 only
	goroutines  sync.WaitGroup
	draining    atomic.Bool
	clientConns atomic.Int64 // client connections
	inFlight    atomic.Int64 // client requests in hand
	closeOnce   sync.Once
	flushOnce   sync.Once // of the books
}

type accessKey struct {
	settings.Key
}

// New builds a gateway. It serves after Serve.
func New(cfg Settings, opts ...Option) (*Gateway, error) {
	g := &Gateway{cfg: &cfg, log: zap.NewNop(), wall: time.Now, seed: rand.Uint64()}
	for _, o := range opts {
		o(g)
	}
	var err error
	if g.costs, err = cfg.Tariff(); err != nil {
		return nil, fmt.Errorf("gateway: operations: %w", err)
	}
	g.shards = placement.New(cfg.Shards)
	g.SetKeys(cfg.Keys)
	g.verifier = &sigv4.Verifier{Region: cfg.Region, Skew: cfg.Limits.Skew.D(), Secret: g.secret}
	l := cfg.Limits
	x, err := forwarder.New(forwarder.Config{
		Dispatch: cfg.Choice(), Seed: g.seed, MaxConnsPerNode: l.ConnsPerNode, MaxStreamsPerNode: l.Streams, IdleTimeout: l.NodeIdle.D(),
		MaxConnAge: l.NodeAge.D(), DialTimeout: l.Connect.D(), ResponseMargin: l.Margin.D(), MaxRequests: l.Calls, Attribution: cfg.Accounts.On,
	})
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	x.Trace = g.trace
	g.core = newCore(x)
	g.started = g.wall()
	g.nextID.Store(rand.Uint64() >> 24 << 20) // a late report must not meet a request of another life
	if cfg.Accounts.On {
		if g.attribution, err = newAttributionWorker(cfg.Accounts, g.core.now, g.onEntry, g.onLogAction); err != nil {
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
			return nil, fmt.Errorf("gateway: %w", err)
		}
		g.workers = append(g.workers, newLoopWorker(g, loop))
	}
	g.core.workers = g.workers
	for _, l := range g.workers {
		g.goroutines.Go(func() {
			if err := l.loop.Run(); err != nil {
				g.log.Error("event loop ended", zap.Error(err))
			}
		})
	}
	g.goroutines.Go(g.core.run)
	g.goroutines.Go(g.sweepPeriodically)
	if g.attribution != nil {
		go g.attribution.run()
	}
	if len(cfg.Nodes) > 0 {
		g.UpdateEndpoints(dispatch.Snapshot, EndpointsOf(cfg.Nodes))
	}
	return g, nil
}

// EndpointsOf turns the settings' nodes into a list for SetNodes.
func EndpointsOf(ns []settings.Node) []forwarder.Node {
	var list []forwarder.Node
	for _, n := range ns {
		e := forwarder.Node{Addr: n.Addr, Node: dispatch.Node{ID: dispatch.NodeID(n.ID), Shard: dispatch.Shard(n.Shard), Zone: n.Zone, Kind: n.Kind}}
		if n.State == "draining" {
			e.State = dispatch.Draining
		}
		list = append(list, e)
	}
	return list
}

// Now returns the gateway's own time: since it was built, never going back.
func (g *Gateway) Now() time.Duration { return g.core.now() }

// UpdateEndpoints tells the gateway of its storage nodes. Times in it are on Now's scale.
func (g *Gateway) UpdateEndpoints(kind dispatch.EndpointUpdateKind, nodes []forwarder.Node) {
	g.core.handle(nil, forwarder.EndpointUpdate{Kind: kind, Nodes: nodes})
}

// SetKeys replaces the access keys. Requests already taken keep theirs.
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

// Serve accepts clients on the listeners, which it takes over, until ctx ends or
// the gateway is closed. It returns at once when a listener cannot be used.
func (g *Gateway) Serve(ctx context.Context, listeners ...*net.TCPListener) error {
	for _, ln := range listeners {
		fd, err := eventloop.Detach(ln)
		if err != nil {
			return fmt.Errorf("gateway: listener %v: %w", ln.Addr(), err)
		}
		ln.Close()
		first := g.workers[0]
		failed := make(chan error, 1)
		first.loop.Post(func() { failed <- first.loop.Listen(fd, first.newcomers.flow, g.accept) })
		if err := <-failed; err != nil {
			return fmt.Errorf("gateway: listener: %w", err)
		}
	}
	select {
	case <-ctx.Done():
	case <-g.core.done:
	}
	return nil
}

// accept runs on the first loop and spreads connections over all.
func (g *Gateway) accept(fd int, sa unix.Sockaddr) {
	if int(g.clientConns.Load()) >= g.cfg.Limits.Conns || g.draining.Load() {
		g.metrics.connsRejected.Inc()
		unix.Write(fd, tooManyConns)
		unix.Close(fd)
		return
	}
	g.clientConns.Add(1)
	l := g.workers[g.nextWorker%len(g.workers)]
	g.nextWorker++
	if l == g.workers[0] {
		l.addClient(fd)
	} else {
		l.loop.Post(func() { l.addClient(fd) })
	}
}

var tooManyConns = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

// Drain stops accepting and waits until every request taken has its answer, or
// ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	for _, l := range g.workers {
		l.loop.Post(func() {
			l.loop.StopListening()
			l.closeIdle()
		})
	}
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for g.inFlight.Load() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("gateway: %d requests still in hand: %w", g.inFlight.Load(), ctx.Err())
		}
	}
	return nil
}

// Close ends the gateway at once. What it held is the clients' to retry.
func (g *Gateway) Close() error {
	g.closeOnce.Do(func() {
		g.core.stop()
		for _, l := range g.workers {
			l.loop.Stop()
		}
		if g.registry != nil {
			g.registry.Unregister(g.metrics)
		}
	})
	g.goroutines.Wait()
	if g.attribution != nil {
		g.flushOnce.Do(func() {
			for _, l := range g.workers { // their loops have ended
				l.flushBatch()
			}
			close(g.attribution.batches)
		})
		<-g.attribution.done
	}
	return nil
}

// sweepEvery is how often connections are looked over for clients that are idle
// or slow. Their limits are much longer.
const sweepEvery = 100 * time.Millisecond

func (g *Gateway) sweepPeriodically() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-g.core.done:
			return
		case <-t.C:
			for _, l := range g.workers {
				l.loop.Post(l.sweep)
			}
		}
	}
}

// Listen opens a listener for Serve.
func Listen(addr string) (*net.TCPListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return ln.(*net.TCPListener), nil
}

// InFlight returns how many client requests are taken and not yet answered.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// BufferedBytes returns how many bytes wait in the gateway's own buffers, of all
// connections.
func (g *Gateway) BufferedBytes() int {
	n := make(chan int, len(g.workers))
	for _, l := range g.workers {
		l.loop.Post(func() {
			sum := 0
			l.loop.EachConn(func(c *eventloop.Conn) { sum += c.Pending() + c.Buffered() })
			n <- sum
		})
	}
	sum := 0
	for range g.workers {
		select {
		case x := <-n:
			sum += x
		case <-g.core.done:
			return 0
		}
	}
	return sum
}

// Shard returns the shard that an object of a bucket belongs to.
func (g *Gateway) Shard(bucket, key string) int {
	spread := 0
	if i := g.cfg.BucketRule(bucket); i >= 0 {
		spread = g.cfg.Buckets[i].Spread
	}
	return int(g.shards.Volume(bucket, spread).Shard(key))
}
