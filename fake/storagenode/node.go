package storagenode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// readHeaderTimeout bounds how long a client may take to send a request's headers.
const readHeaderTimeout = 30 * time.Second

// Node is a running fake storage node.
type Node struct {
	cfg     Config
	data    *Dataset
	ledger  *Ledger   // may be nil
	epoch   time.Time // time at which the times in the log are 0
	started time.Time
	srv     *http.Server
	ln      net.Listener
	cores   chan struct{} // contains an element for each core in use; nil: no limit
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup // background goroutines, which end when ctx is canceled

	mu           sync.Mutex
	rng          *rand.Rand
	faults       []*activeFault
	log          []*LogEntry
	onArrival    func(LogEntry) // may be nil
	inflight     int            // number of requests that have not ended
	admitted     int            // number of requests that wait for a core or occupy one
	overloaded   bool
	pausedUntil  time.Time
	recentLoads  []recentLoad   // requests of the last OverloadWindow, while the node warms up
	deferredWork time.Duration  // service time of the deferred work at one core
	report       string         // the load report that responses carry
	reportedAt   time.Time      // the node updates nextReport once ReportEvery has passed since this time
	nextReport   string         // replaces report after ReportDelay
	nextReportAt time.Time      // when nextReport was set
	lateTimings  []serverTiming // timings that the node has not reported yet
}

// Start starts a node that listens on addr. The address "127.0.0.1:0" selects a free port. The times in the
// node's log count from epoch. The ledger may be nil.
func Start(addr string, cfg Config, data *Dataset, ledger *Ledger, epoch time.Time) (*Node, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", cfg.ID, err)
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	data.setLogger(cfg.Logger)
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg:     cfg,
		data:    data,
		ledger:  ledger,
		epoch:   epoch,
		started: time.Now(),
		ln:      ln,
		ctx:     ctx,
		cancel:  cancel,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 11)),
	}
	if cfg.Cores > 0 {
		n.cores = make(chan struct{}, cfg.Cores)
	}
	n.srv = &http.Server{Handler: n, ReadHeaderTimeout: readHeaderTimeout, ConnContext: withConn}
	listener := &linkListener{Listener: ln, link: &sharedLink{rate: cfg.Link}, sendBuffer: cfg.SendBuffer}
	n.tasks.Go(func() { _ = n.srv.Serve(listener) }) // Serve returns when Stop closes the server
	if cfg.Deferred > 0 && cfg.DeferEvery > 0 {
		n.tasks.Go(n.runDeferredWork)
	}
	return n, nil
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// ID returns the node's name.
func (n *Node) ID() string { return n.cfg.ID }

// Started returns the time from the epoch to the start of the node.
func (n *Node) Started() time.Duration { return n.started.Sub(n.epoch) }

// Overloaded reports whether the node has stopped because of an overload during its warm-up.
func (n *Node) Overloaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.overloaded
}

// Idle reports whether all requests have ended.
func (n *Node) Idle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inflight == 0
}

// Done returns a channel that is closed when the node stops.
func (n *Node) Done() <-chan struct{} { return n.ctx.Done() }

// Stop closes the node's listener and connections at once. It waits for the node's background
// goroutines, but not for requests.
func (n *Node) Stop() {
	n.shutdown()
	n.tasks.Wait()
}

// shutdown closes the node's listener and connections like Stop, but does not wait. The node's background
// goroutines call it, because Stop waits for them.
func (n *Node) shutdown() {
	n.cancel()
	_ = n.srv.Close() // Close only fails if the listener or a connection is already closed
}

// sleep waits for the time d. It returns false if the node stops before that.
func (n *Node) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// Shard returns the shard that the node holds.
func (n *Node) Shard() int { return n.cfg.Shard }
