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
	ledger  *Ledger // may be nil
	epoch   time.Time
	started time.Time
	srv     *http.Server
	ln      net.Listener
	cores   chan struct{} // a token for each core in use; nil: no limit
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup // background goroutines, which end with ctx

	mu           sync.Mutex
	rng          *rand.Rand
	faults       []*activeFault
	log          []*LogEntry
	onArrival    func(LogEntry) // may be nil
	inflight     int
	waiting      int // requests queued or in service
	overloaded   bool
	pausedUntil  time.Time
	recentLoads  []recentLoad // of a node that has just started
	deferredWork time.Duration
	report       string // as sent
	reportedAt   time.Time
	nextReport   string // sent after the report delay
	nextReportAt time.Time
	lateTimings  []serverTiming
}

// Start starts a node that listens on addr ("127.0.0.1:0" for any port). epoch is the zero of its
// log's times. The ledger may be nil.
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
	n.tasks.Go(func() { _ = n.srv.Serve(listener) }) // returns once Stop closes the server
	if cfg.Deferred > 0 && cfg.DeferEvery > 0 {
		n.tasks.Go(n.runDeferredWork)
	}
	return n, nil
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// ID returns the node's name.
func (n *Node) ID() string { return n.cfg.ID }

// Started returns when the node was started, since the epoch.
func (n *Node) Started() time.Duration { return n.started.Sub(n.epoch) }

// Overloaded reports whether the node was stopped by an overload during its warm-up.
func (n *Node) Overloaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.overloaded
}

// Idle reports whether the node has no request in progress.
func (n *Node) Idle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inflight == 0
}

// Done is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.ctx.Done() }

// Stop stops the node at once: its listener and connections are closed. It waits for the node's
// background goroutines, not for requests.
func (n *Node) Stop() {
	n.shutdown()
	n.tasks.Wait()
}

// shutdown is Stop for the node's own goroutines, without waiting for them.
func (n *Node) shutdown() {
	n.cancel()
	_ = n.srv.Close() // a listener or connection that is closed already
}

// sleep reports whether a time has passed without the node being stopped.
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
