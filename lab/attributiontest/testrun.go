package attributiontest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chalkstand/attribution"
	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/attributionlog"
	"chalkstand/internal/settings"
)

// maxFailures bounds the failures that a run collects.
const maxFailures = 20

// testRun is one test run while it goes on.
type testRun struct {
	seed        uint64
	rng         *rand.Rand
	node        *storagenode.Node
	data        *storagenode.Dataset
	epoch       time.Time
	clockOffset atomic.Int64 // of the gateway's wall clock, nanoseconds
	log         *attributionlog.Writer
	logPath     string
	transport   *http.Transport
	clients     sync.WaitGroup
	done        chan struct{} // closed when the scenario has been played

	afterFlood attribution.Window // of the scenario flood-stops

	mu         sync.Mutex
	gateway    *gateway.Gateway
	addr       string
	stop       context.CancelFunc       // of the gateway's Serve
	served     chan struct{}            // closed when the gateway's Serve has returned
	measured   map[string]time.Duration // total by volume, by the clients
	attributed map[string]time.Duration // total by volume, by the gateway
	failures   []string
}

func newTestRun(seed uint64, logPath string) *testRun {
	r := &testRun{
		seed:       seed,
		rng:        rand.New(rand.NewPCG(seed, 17)),
		data:       storagenode.NewDataset(""),
		epoch:      time.Now(),
		logPath:    logPath,
		transport:  newTransport(),
		done:       make(chan struct{}),
		measured:   map[string]time.Duration{},
		attributed: map[string]time.Duration{},
	}
	for _, v := range volumes {
		r.data.AddBucket(v, r.epoch)
		r.data.Store(v, smallKey, make([]byte, smallBytes))
	}
	r.data.Store(reviewVolume, largeKey, make([]byte, largeBytes))
	return r
}

// wallClock returns the gateway's wall-clock time.
func (r *testRun) wallClock() time.Time {
	return time.Now().Add(time.Duration(r.clockOffset.Load()))
}

// failf adds a failure.
func (r *testRun) failf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, fmt.Sprintf(format, args...))
	}
}

// startGateway starts a gateway, which becomes the current one.
func (r *testRun) startGateway(ctx context.Context) error {
	cfg, err := settings.Parse("attribution-test", []byte(siteText))
	if err != nil {
		return err
	}
	var g *gateway.Gateway
	ready := make(chan struct{}) // closed when g is set
	appendLog := func(a attribution.Action) {
		<-ready
		r.appendLog(g, a)
	}
	g, err = gateway.New(*cfg,
		gateway.WithSeed(r.seed),
		gateway.WithClock(r.wallClock),
		gateway.WithAttribution(r.addEntry),
		gateway.WithAttributionLog(appendLog))
	if err != nil {
		return err
	}
	close(ready)
	node := forwarder.Node{Addr: r.node.Addr(), Node: dispatch.Node{ID: "node"}}
	g.UpdateEndpoints(dispatch.Snapshot, []forwarder.Node{node})
	ln, err := gateway.Listen("127.0.0.1:0")
	if err != nil {
		return errors.Join(err, g.Close())
	}
	ctx, stop := context.WithCancel(ctx)
	served := make(chan struct{})
	r.mu.Lock()
	r.gateway, r.addr, r.stop, r.served = g, ln.Addr().String(), stop, served
	r.mu.Unlock()
	go func() {
		defer close(served)
		if err := g.Serve(ctx, ln); err != nil {
			r.failf("%v", err)
		}
	}()
	return nil
}

// closeGateway stops the gateway, which closes its attribution. It may be called again.
func (r *testRun) closeGateway() {
	r.stop()
	if err := r.gateway.Close(); err != nil {
		r.failf("%v", err)
	}
	<-r.served
}

func (r *testRun) appendLog(g *gateway.Gateway, a attribution.Action) {
	if err := r.log.Append(attributionlog.NewRecord(g.Run(), r.wallClock(), g.Now(), a)); err != nil {
		r.failf("%v", err)
	}
}

// addEntry checks that the components of a request's latency sum exactly, and adds it to its volume.
func (r *testRun) addEntry(e attribution.Entry) {
	var behind time.Duration
	for _, b := range e.Behind {
		behind += b.Time
	}
	if e.Parts.Total() != e.Ended-e.Started {
		r.failf("%s: components sum to %v of %v", e.Volume, e.Parts.Total(), e.Ended-e.Started)
	}
	queued := e.Parts[attribution.QueuedBehindOthers] + e.Parts[attribution.NodeQueue] + e.Parts[attribution.EventLoop]
	if behind > queued {
		r.failf("%s: waited %v behind others, of %v queued", e.Volume, behind, queued)
	}
	for component, d := range e.Parts {
		if d < 0 {
			r.failf("%s: %v of %v", e.Volume, d, attribution.Component(component))
		}
	}
	r.mu.Lock()
	r.attributed[e.Volume] += e.Parts.Total()
	r.mu.Unlock()
}

// idleTimeout bounds the wait for the requests in flight.
const idleTimeout = 10 * time.Second

// waitIdle waits until every request is answered and attributed.
func (r *testRun) waitIdle() {
	for end := time.Now().Add(idleTimeout); r.gateway.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.failf("%d requests are still in flight", r.gateway.InFlight())
			return
		}
	}
	r.gateway.FlushAttribution()
	r.aggregate(time.Minute) // returns after what was flushed before has been aggregated
}

// aggregateSince returns the attribution from the first whole second after a time on.
func (r *testRun) aggregateSince(at time.Duration) (w attribution.Window) {
	r.gateway.FlushAttribution()
	read := func(now time.Duration, c *attribution.Collector) {
		from := (at + time.Second - 1) / time.Second * time.Second
		w, _ = c.Aggregator().Window(now, max(now-from, time.Millisecond))
	}
	if err := r.gateway.Attribution(read); err != nil {
		r.failf("%v", err)
	}
	return w
}

// aggregate returns the attribution of the last span.
func (r *testRun) aggregate(span time.Duration) (w attribution.Window) {
	read := func(now time.Duration, c *attribution.Collector) {
		w, _ = c.Aggregator().Window(now, span)
	}
	if err := r.gateway.Attribution(read); err != nil {
		r.failf("%v", err)
	}
	return w
}
