// Package respserver implements the RESP2 server of the platform's protocol. Clients send object
// commands in RESP2, and the server forwards them to storage nodes in RESP2. One event loop owns the
// sockets, the forwarder and the dispatcher, so that no request moves between goroutines. The server
// transfers bytes and reports events to the forwarder. The forwarder's dispatcher decides which
// requests are sent, queued, rejected or retried, and which nodes are healthy.
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

// The event loop shares its time between the flows by these weights.
const (
	newConnsFlowWeight = 2
	clientsFlowWeight  = 4
	nodesFlowWeight    = 16
)

// pollInterval bounds the time slice of a connection. It is short, because each of hundreds of clients may
// have input for its whole slice.
const pollInterval = 50 * time.Microsecond

// sweepInterval is the time between two checks of the timeouts of client connections.
const sweepInterval = 20 * time.Millisecond

// noTimer is the value of forwarderTimer while no timer is set.
const noTimer = time.Duration(math.MaxInt64)

// Server is a RESP2 server with its dispatcher. While Run is running, only the goroutine of the event
// loop uses the fields. Times are durations since the Unix epoch, as returned by now.
type Server struct {
	cfg       Config
	log       *zap.Logger
	schema    *objectcommand.Schema
	loop      *eventloop.Loop
	forwarder *forwarder.Forwarder
	startTime time.Time
	epoch     time.Duration // startTime as a duration since the Unix epoch

	events         []forwarder.Event // events that wait for the forwarder, oldest first
	handlingEvents bool
	forwarderTimer time.Duration
	nextSweep      time.Duration

	nodeConns          map[forwarder.ConnID]*nodeConn
	dials              []*nodeConn // connections that are being opened, oldest first
	clients            []*client
	requests           map[dispatch.RequestID]*request
	requestsByClientID map[string]*request
	lastRequestID      dispatch.RequestID
	recentIDs          *recentIDs

	limits        memoryLimits
	partialBytes  int // bytes of incomplete commands, summed over all clients
	retainedBytes int // bytes of the arguments of open requests and of replies that wait for earlier replies
	unsentBytes   int // bytes of replies that the kernel has not accepted, summed over all clients
	nodeBytes     int // bytes in the buffers of node connections, summed over all of them

	stats             stats
	loggedStats       stats // the statistics that were logged last
	nextStats         time.Duration
	nextMemoryWarning time.Duration

	args        [][]byte   // arguments of the current command; the slice is reused for each command
	nodeReply   resp.Reply // current reply of a node; the value is reused for each reply
	writeBuffer []byte     // message that is being written; the buffer is reused for each message

	flows struct{ newConns, clients, nodes *eventloop.Flow }

	discoveryAddr   netip.AddrPort
	endpointVersion int64
	watch           *watch
	previousWatch   *watch // watch at the previous address; it stays open until watch has received an update

	shuttingDown     bool
	shutdownStarted  time.Duration
	listenerClosedAt time.Duration // time at which a graceful shutdown closed the listener; 0 while it is open
	rejecting        bool          // whether the server rejects all requests shortly before the end of a graceful shutdown
	stopped          bool          // whether the server has started to stop the event loop
}

// New opens the listener and the event loop of a server. The server handles no connection until Run
// is called.
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
		recentIDs:          newRecentIDs(cfg.perHeapMB(recentIDsPerMB)),
		limits:             cfg.memoryLimits(),
		discoveryAddr:      cfg.Discovery,
		endpointVersion:    cfg.Known.Version,
	}
	options := eventloop.DefaultOptions
	options.PollInterval = pollInterval
	options.Now = func() time.Duration { return time.Since(s.startTime) }
	if s.loop, err = eventloop.NewLoopWithOptions(0, options); err != nil {
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

// listen opens the listening socket and adds it to the event loop.
func (s *Server) listen() error {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", s.cfg.Listen.String())
	if err != nil {
		return err
	}
	fd, err := eventloop.DuplicateFD(ln.(*net.TCPListener)) // fd is a duplicate, so closing ln does not affect it
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
	s.closeWatches() // the event loop has ended, so no other goroutine uses the watches
	return err
}

// Addr returns the configured listening address.
func (s *Server) Addr() string { return s.cfg.Listen.String() }

// now returns the current time as a duration since the Unix epoch. It adds the monotonic time since
// startTime to epoch, so changes of the system clock have no effect.
func (s *Server) now() time.Duration { return s.epoch + time.Since(s.startTime) }

// handle passes an event to the forwarder and performs the returned actions in order. If an action
// causes another event, handle queues that event and processes it after the current one.
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

// perform performs one action of the forwarder.
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
			s.stats.rejectedByDispatcher++
			s.finish(req, s.busyReply(a.RetryAfter))
		}
	case forwarder.Fail:
		if req := s.requests[a.ID]; req != nil {
			s.stats.failed++
			s.finish(req, s.failureReply(a.TimedOut))
		}
	case forwarder.SetTimer:
		s.forwarderTimer = a.At
	case forwarder.PollDiscovery:
		s.openWatch()
	}
}

// nextTimer returns the time on the event loop's clock at which the loop must call onTimer next.
func (s *Server) nextTimer() (time.Duration, bool) {
	at := min(s.forwarderTimer, s.nextSweep)
	if len(s.dials) > 0 {
		at = min(at, s.dials[0].dialDeadline)
	}
	return max(at-s.epoch, 0), true
}

// onTimer runs the work that is due. The event loop calls it at or after the time that nextTimer
// returned.
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

// sweep closes the client connections that have reached a timeout, logs statistics and advances a graceful
// shutdown.
func (s *Server) sweep(now time.Duration) {
	s.sweepClients(now)
	if now >= s.nextStats {
		s.nextStats = now + statsInterval
		s.logStats()
	}
	if s.shuttingDown {
		s.advanceShutdown(now)
	}
}
