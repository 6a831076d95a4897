// Package respserver is the RESP2 server of the platform's protocol: clients send object commands
// in RESP2, and storage nodes speak RESP2, too. One event loop owns the sockets, the
// forwarder and the dispatcher, so that no request crosses goroutines. The server moves bytes and
// reports events to the forwarder; the dispatcher behind it decides what is sent, queued, rejected
// or retried, and which nodes are healthy.
package respserver

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"chalkstand/dispatch"
	"chalkstand/fairshare"
	"chalkstand/forwarder"
	"chalkstand/internal/eventloop"
	"chalkstand/internal/objectcommand"
	"chalkstand/internal/resp"
)

// Weights of the event loop's flows.
const (
	newConnsFlowWeight = 2
	clientsFlowWeight  = 4
	nodesFlowWeight    = 16
)

// sweepInterval is how often the time-outs of client connections are checked.
const sweepInterval = 20 * time.Millisecond

// noTimer is the time of a timer that is not set.
const noTimer = time.Duration(math.MaxInt64)

// Server is a running RESP2 server with its dispatcher. All its fields belong to its event loop.
// Times are durations since the Unix epoch, as now returns them.
type Server struct {
	cfg       Config
	log       *zap.Logger
	schema    *objectcommand.Schema
	loop      *eventloop.Loop
	forwarder *forwarder.Forwarder
	startTime time.Time
	epoch     time.Duration // Unix time of startTime

	events         []forwarder.Event // not yet handled, the oldest first
	handlingEvents bool
	forwarderTimer time.Duration
	nextSweep      time.Duration

	nodeConns          map[forwarder.ConnID]*nodeConn
	dials              []*nodeConn // being opened, the oldest first
	clients            []*client
	requests           map[dispatch.RequestID]*request
	requestsByClientID map[string]*request
	lastRequestID      dispatch.RequestID
	retainedBytes      int // of the arguments of open requests and of replies queued behind earlier ones
	maxRetainedBytes   int

	args        [][]byte   // reused for each command
	nodeReply   resp.Reply // reused for each reply of a node
	writeBuffer []byte     // reused for each message that is written

	flows struct{ newConns, clients, nodes *eventloop.Flow }

	discoveryAddr   netip.AddrPort
	endpointVersion int64
	watch           *watch
	previousWatch   *watch // at the previous address, until watch has received an update

	shuttingDown     bool
	shutdownStarted  time.Duration
	listenerClosedAt time.Duration // in a graceful shutdown; 0 while the listener is open
	stopped          bool          // the event loop is being stopped
}

// New opens the listener and the event loop of a server. Run serves on them.
func New(cfg Config, log *zap.Logger) (*Server, error) {
	fwd, err := forwarder.New(cfg.forwarderConfig())
	if err != nil {
		return nil, err
	}
	startTime := time.Now()
	s := &Server{
		cfg:                cfg,
		log:                log,
		schema:             objectcommand.NewSchema(cfg.Settings),
		forwarder:          fwd,
		startTime:          startTime,
		epoch:              time.Duration(startTime.UnixNano()),
		forwarderTimer:     noTimer,
		nodeConns:          map[forwarder.ConnID]*nodeConn{},
		requests:           map[dispatch.RequestID]*request{},
		requestsByClientID: map[string]*request{},
		maxRetainedBytes:   cfg.maxRetainedBytes(),
		discoveryAddr:      cfg.Discovery,
		endpointVersion:    cfg.Known.Version,
	}
	options := eventloop.DefaultOptions
	options.Now = func() time.Duration { return time.Since(s.startTime) }
	if s.loop, err = eventloop.NewLoopWith(0, options); err != nil {
		return nil, err
	}
	s.flows.newConns = s.loop.Flow("new", fairshare.FlowConfig{Weight: newConnsFlowWeight}, nil)
	s.flows.clients = s.loop.Flow("clients", fairshare.FlowConfig{Weight: clientsFlowWeight}, nil)
	s.flows.nodes = s.loop.Flow("nodes", fairshare.FlowConfig{Weight: nodesFlowWeight}, nil)
	if err := s.listen(); err != nil {
		return nil, errors.Join(err, s.loop.Close())
	}
	s.loop.SetTimer(s.nextTimer, s.onTimer)
	return s, nil
}

// listen opens the listening socket on the event loop.
func (s *Server) listen() error {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", s.cfg.Listen.String())
	if err != nil {
		return err
	}
	fd, err := eventloop.Detach(ln.(*net.TCPListener)) // a duplicate, so that ln can be closed
	if err := errors.Join(err, ln.Close()); err != nil {
		return err
	}
	_, err = s.loop.Listen(fd, s.flows.newConns, s.accept)
	return err
}

// Run serves until a graceful shutdown is complete.
func (s *Server) Run() error {
	s.handle(forwarder.EndpointUpdate{Kind: dispatch.Cached, Nodes: s.cfg.Known.Nodes})
	err := s.loop.Run()
	s.closeWatches() // nothing else touches them: the loop has ended
	return err
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.cfg.Listen.String() }

// now returns the Unix time at the server's start, advanced by the monotonic clock.
func (s *Server) now() time.Duration { return s.epoch + time.Since(s.startTime) }

// handle passes an event to the forwarder and performs the actions that it returns, in order. An
// event that arises while an action is performed is handled after the present one.
func (s *Server) handle(event forwarder.Event) {
	s.events = append(s.events, event)
	if s.handlingEvents {
		return
	}
	s.handlingEvents = true
	for handled := 0; handled < len(s.events); {
		next := s.events[handled]
		handled++
		for _, action := range s.forwarder.Handle(s.now(), next) {
			s.perform(action)
		}
	}
	clear(s.events)
	s.events = s.events[:0]
	s.handlingEvents = false
}

// perform carries out an action of the forwarder.
func (s *Server) perform(action forwarder.Action) {
	switch a := action.(type) {
	case forwarder.Dial:
		s.dial(a)
	case forwarder.SendRequest:
		conn, req := s.nodeConns[a.Conn], s.requests[a.ID]
		if conn != nil && req != nil {
			conn.send(req, a.Deadline)
		}
	case forwarder.CloseConn:
		if conn := s.nodeConns[a.Conn]; conn != nil {
			delete(s.nodeConns, a.Conn)
			conn.conn.Close()
		}
	case forwarder.ForwardResponse:
		req, conn := s.requests[a.ID], s.nodeConns[a.Conn]
		if req != nil && conn != nil {
			s.writeBuffer = resp.AppendBulk(s.writeBuffer[:0], conn.value)
			s.finish(req, s.writeBuffer)
		}
	case forwarder.Reject:
		if req := s.requests[a.ID]; req != nil {
			s.finish(req, s.busyReply(a.RetryAfter))
		}
	case forwarder.Fail:
		if req := s.requests[a.ID]; req != nil {
			s.finish(req, s.failureReply(a.TimedOut))
		}
	case forwarder.SetTimer:
		s.forwarderTimer = a.At
	case forwarder.PollDiscovery:
		s.openWatch()
	}
}

// nextTimer returns the next time at which onTimer is to be called, by the event loop's clock.
func (s *Server) nextTimer() (time.Duration, bool) {
	at := min(s.forwarderTimer, s.nextSweep)
	if len(s.dials) > 0 {
		at = min(at, s.dials[0].dialDeadline)
	}
	return max(at-s.epoch, 0), true
}

// onTimer is called by the event loop at the time that nextTimer returned, or later.
func (s *Server) onTimer(time.Duration) {
	now := s.now()
	s.expireDials(now)
	if now >= s.forwarderTimer {
		s.forwarderTimer = noTimer
		s.handle(forwarder.TimerFired{})
	}
	if now >= s.nextSweep {
		s.nextSweep = now + sweepInterval
		s.sweep(now)
	}
}

// sweep closes the client connections whose time is over and advances a graceful shutdown.
func (s *Server) sweep(now time.Duration) {
	s.sweepClients(now)
	if s.shuttingDown {
		s.advanceShutdown(now)
	}
}
