// Package eventloop runs sockets on epoll event loops. A connection can pause reading and reports how
// much output is unwritten. Package fairshare decides which connection gets the next time slice
// (docs/design/fair-sharing.md). Each loop runs on one goroutine, and all methods of its connections
// must be called on that goroutine.
package eventloop

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"chalkstand/fairshare"
)

// maxEvents is the maximum number of events that one poll returns.
const maxEvents = 256

// Options holds the settings of a loop.
type Options struct {
	FairShare    fairshare.Config
	Quantum      int                  // a time slice starts no further read after this many bytes
	PollInterval time.Duration        // time for which the loop serves connections between two polls for events
	BufferMemory *atomic.Int64        // counts the memory of the buffers of all loops that share it; may be nil
	Now          func() time.Duration // clock of the loop; nil selects the time since the loop was created
}

// DefaultOptions holds the options that NewLoop uses.
var DefaultOptions = Options{
	FairShare:    fairshare.Config{Window: 20 * time.Millisecond, Flows: 4096},
	Quantum:      64 << 10,
	PollInterval: 200 * time.Microsecond,
}

// check returns an error if the options are invalid.
func (o *Options) check() error {
	if o.Quantum < 1 || o.PollInterval <= 0 {
		return fmt.Errorf("eventloop: quantum %d bytes and poll interval %v must be greater than 0", o.Quantum, o.PollInterval)
	}
	return nil
}

// ErrEnded means that a loop has ended and accepts no further sockets.
var ErrEnded = errors.New("eventloop: the loop has ended")

// Loop is an event loop that serves the connections, listening sockets and tasks on it.
type Loop struct {
	Index int

	options    Options
	clock      func() time.Duration
	now        time.Duration // time of the last poll or of the end of the last time slice
	epollFD    int
	wakeFD     int // eventfd to which Post writes to wake the loop
	events     [maxEvents]unix.EpollEvent
	conns      map[int]*Conn // connections by descriptor
	listeners  map[int]*Conn // listening sockets by descriptor
	tasks      map[*task]struct{}
	readBuffer [ReadSize]byte
	buffers    bufferPool
	// bufferMemory is the size of the buffers of all connections on the loop.
	bufferMemory int
	deferred     []func()
	timer        timer
	stopping     bool // whether Run must return; only the loop's goroutine uses it
	ended        bool // whether the loop accepts no further sockets; only the loop's goroutine uses it

	scheduler   *fairshare.Scheduler[*Conn]
	defaultFlow *Flow // flow of the connections that AssignFlow has not assigned to a flow
	lastSync    time.Duration
	history     history

	mu      sync.Mutex
	posted  []postedCall
	spare   []postedCall // empty buffer that replaces posted when the loop takes the posted calls
	stopped bool         // whether the loop accepts no further posted calls

	done      chan struct{} // closed when Run returns
	connCount atomic.Int64
}

// NewLoop opens a loop with the default options. The caller then calls Run.
func NewLoop(index int) (*Loop, error) { return NewLoopWithOptions(index, DefaultOptions) }

// NewLoopWithOptions opens a loop with the given options. index is the number of the loop, from 0,
// among the loops that share the usage of their flows.
func NewLoopWithOptions(index int, o Options) (*Loop, error) {
	scheduler, err := fairshare.New[*Conn](o.FairShare, index)
	if err != nil {
		return nil, err
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	epollFD, wakeFD, err := openPoller()
	if err != nil {
		return nil, err
	}
	l := &Loop{
		Index:     index,
		options:   o,
		clock:     o.Now,
		epollFD:   epollFD,
		wakeFD:    wakeFD,
		conns:     map[int]*Conn{},
		listeners: map[int]*Conn{},
		tasks:     map[*task]struct{}{},
		scheduler: scheduler,
		done:      make(chan struct{}),
	}
	l.defaultFlow = scheduler.Flow(l.clock(), "(none)", fairshare.FlowConfig{Weight: 1}, nil)
	return l, nil
}

// openPoller opens an epoll instance and an eventfd that can wake it.
func openPoller() (epollFD, wakeFD int, err error) {
	epollFD, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return -1, -1, os.NewSyscallError("epoll_create", err)
	}
	wakeFD, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		closeFD(epollFD)
		return -1, -1, os.NewSyscallError("eventfd", err)
	}
	if err := watch(epollFD, wakeFD, wakeInterest); err != nil {
		closeFD(wakeFD)
		closeFD(epollFD)
		return -1, -1, os.NewSyscallError("epoll_ctl", err)
	}
	return epollFD, wakeFD, nil
}

// Run handles events until Stop is called. The caller must run it on a separate goroutine.
func (l *Loop) Run() error {
	defer close(l.done)
	var err error
	for !l.stopping && err == nil {
		var n int
		if n, err = l.wait(); err != nil {
			break
		}
		l.now = l.clock()
		for _, ev := range l.events[:n] {
			l.handleEvent(ev)
		}
		l.runDeferred()
		l.fireTimer()
		l.runSlices()
	}
	l.closeAll()
	// A function that is posted after this point would never run. The write that wakes the loop would
	// go to a descriptor number that another file may have by then.
	l.dropPosted()
	return errors.Join(err, l.closePoller())
}

// closeAll closes all connections and listening sockets and stops all tasks. After that, the loop
// accepts no further sockets.
func (l *Loop) closeAll() {
	l.ended = true
	for _, c := range l.conns {
		c.close(nil)
	}
	l.runDeferred()
	l.stopTasks()
	for _, c := range l.listeners {
		c.closeListener()
	}
}

// closePoller closes the epoll instance and the eventfd of the loop.
func (l *Loop) closePoller() error {
	return errors.Join(unix.Close(l.epollFD), unix.Close(l.wakeFD))
}

// Close closes a loop on which Run was never called, together with its sockets. Stop ends a running
// loop.
func (l *Loop) Close() error {
	l.closeAll()
	l.dropPosted()
	return l.closePoller()
}

// Stop ends the loop, which closes its connections, and waits until Run has returned.
func (l *Loop) Stop() {
	l.Post(func() { l.stopping = true })
	<-l.done
}

// wait polls for events and returns their number. It does not block while a connection is ready for a
// time slice. Otherwise it blocks until an event occurs, a rate limit ends or the timer is due.
func (l *Loop) wait() (int, error) {
	runtime.Gosched() // a loop that is never idle must yield to other goroutines on the same core
	n, err := l.poll(0)
	if n != 0 || err != nil || l.scheduler.Ready() || l.stopping {
		return n, err
	}
	timeout := -1 // in milliseconds; -1 waits without a time limit
	if at, ok := l.nextWake(); ok {
		timeout = int((at - l.clock() + time.Millisecond - 1) / time.Millisecond)
		if timeout <= 0 {
			return 0, nil
		}
	}
	l.syncUsage(0) // other loops need this loop's usage before it sleeps
	return l.poll(timeout)
}

// handleEvent records whether a socket is readable, writable or closed by its peer, and schedules the
// socket. The reads and writes themselves wait for a time slice.
func (l *Loop) handleEvent(ev unix.EpollEvent) {
	fd := int(ev.Fd)
	if fd == l.wakeFD {
		// Posted functions may close a descriptor and open another with the same number. They run
		// after all events of this poll. Otherwise a later event of the old descriptor would be
		// recorded for the new connection.
		l.Defer(l.runPosted)
		return
	}
	c := l.conns[fd]
	if c == nil {
		c = l.listeners[fd]
	}
	if c == nil {
		return
	}
	if ev.Events&writableEvents != 0 {
		c.writable = true
	}
	if ev.Events&peerClosedEvents != 0 && !c.peerClosed {
		c.peerClosed = true
		l.notifyPeerClosed(c)
	}
	if ev.Events&readableEvents != 0 {
		if !c.readable {
			c.unreadSince = l.now
		}
		c.readable = true
	}
	if c.readInterest && c.readable {
		c.readInterest = false
		c.Handler.(ReadableHandler).OnReadable(c)
	}
	l.schedule(c)
}

// notifyPeerClosed calls OnPeerClosed after the current batch of events if the connection's handler is
// a PeerCloseHandler.
func (l *Loop) notifyPeerClosed(c *Conn) {
	h, ok := c.Handler.(PeerCloseHandler)
	if !ok || c.connecting {
		return
	}
	l.Defer(func() {
		if c.fd >= 0 {
			h.OnPeerClosed(c)
		}
	})
}

// Conns returns the number of connections on the loop. It may be called on any goroutine.
func (l *Loop) Conns() int { return int(l.connCount.Load()) }

// BufferMemory returns the size of the buffers of all connections on the loop. It must be called on the
// loop.
func (l *Loop) BufferMemory() int { return l.bufferMemory }

// EachConn calls f for every connection of the loop. It must be called on the loop.
func (l *Loop) EachConn(f func(*Conn)) {
	for _, c := range l.conns {
		f(c)
	}
}
