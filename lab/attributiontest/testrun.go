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

// maxFailures is the maximum number of failures that a run records. It ignores further failures.
const maxFailures = 20

// testRun holds the state of a test run in progress.
type testRun struct {
	seed        uint64
	rng         *rand.Rand
	node        *storagenode.Node
	data        *storagenode.Dataset
	epoch       time.Time
	clockOffset atomic.Int64 // offset of the gateway's wall clock, in nanoseconds
	log         *attributionlog.Writer
	logPath     string
	transport   *http.Transport
	clients     sync.WaitGroup
	done        chan struct{} // closed when the run function of the scenario has returned

	afterFlood attribution.Window // attribution after the flood, set by the scenario flood-stops

	mu         sync.Mutex
	gateway    *gateway.Gateway
	addr       string
	stop       context.CancelFunc       // stops the gateway's Serve
	served     chan struct{}            // closed when the gateway's Serve has returned
	measured   map[string]time.Duration // total time that the clients measured for each volume
	attributed map[string]time.Duration // total time that the gateway attributed for each volume
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

// failf records a failed check of the run.
func (r *testRun) failf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, fmt.Sprintf(format, args...))
	}
}

// startGateway starts a gateway and makes it the current one of the run.
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
			r.failf("serve: %v", err)
		}
	}()
	return nil
}

// closeGateway stops the current gateway, which then writes its last attribution slots to the log.
// It may be called more than once.
func (r *testRun) closeGateway() {
	r.stop()
	if err := r.gateway.Close(); err != nil {
		r.failf("close the gateway: %v", err)
	}
	<-r.served
}

// appendLog writes an action of a gateway's collector to the attribution log.
func (r *testRun) appendLog(g *gateway.Gateway, a attribution.Action) {
	if err := r.log.Append(attributionlog.NewRecord(g.RunInfo(), r.wallClock(), g.Now(), a)); err != nil {
		r.failf("append to the attribution log: %v", err)
	}
}

// addEntry checks that the components of a request sum exactly to its latency, and adds the latency to
// the attributed time of the request's volume.
func (r *testRun) addEntry(e attribution.Entry) {
	var behind time.Duration
	for _, b := range e.Behind {
		behind += b.Time
	}
	if e.Parts.Total() != e.Ended-e.Started {
		r.failf("volume %s: got components with a sum of %v, want %v", e.Volume, e.Parts.Total(), e.Ended-e.Started)
	}
	queued := e.Parts[attribution.QueuedBehindOthers] + e.Parts[attribution.NodeQueue] + e.Parts[attribution.EventLoop]
	if behind > queued {
		r.failf("volume %s: got a wait of %v behind volumes, want at most the queued time of %v",
			e.Volume, behind, queued)
	}
	for component, d := range e.Parts {
		if d < 0 {
			r.failf("volume %s: got a time of %v in component %v, want 0 or more",
				e.Volume, d, attribution.Component(component))
		}
	}
	r.mu.Lock()
	r.attributed[e.Volume] += e.Parts.Total()
	r.mu.Unlock()
}

// idleTimeout is the maximum time that waitIdle waits for the requests in flight.
const idleTimeout = 10 * time.Second

// waitIdle waits until all requests have ended and the collector has aggregated their attribution.
func (r *testRun) waitIdle() {
	for end := time.Now().Add(idleTimeout); r.gateway.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.failf("got %d requests in flight at the end of the run, want 0", r.gateway.InFlight())
			return
		}
	}
	r.gateway.FlushAttribution()
	r.lastWindow(time.Minute) // returns only after the collector has aggregated the flushed entries
}

// windowSince returns the attribution since the time at, rounded up to a whole second.
func (r *testRun) windowSince(at time.Duration) (w attribution.Window) {
	r.gateway.FlushAttribution()
	read := func(now time.Duration, c *attribution.Collector) {
		from := (at + time.Second - 1) / time.Second * time.Second
		w, _ = c.Aggregator().Window(now, max(now-from, time.Millisecond))
	}
	if err := r.gateway.Attribution(read); err != nil {
		r.failf("read attribution: %v", err)
	}
	return w
}

// lastWindow returns the attribution of the given span up to now.
func (r *testRun) lastWindow(span time.Duration) (w attribution.Window) {
	read := func(now time.Duration, c *attribution.Collector) {
		w, _ = c.Aggregator().Window(now, span)
	}
	if err := r.gateway.Attribution(read); err != nil {
		r.failf("read attribution of the last span: %v", err)
	}
	return w
}
