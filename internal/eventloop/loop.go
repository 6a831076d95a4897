// Package eventloop runs sockets on epoll event loops. Reading can be paused, the amount of
// unwritten output is known, and package fairshare decides which connection has the next time
// slice (docs/design/fair-sharing.md). Each loop is one goroutine; all methods of its connections
// are to be called on it.
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

// maxEvents is how many events one poll returns at most.
const maxEvents = 256

// Options are a loop's settings.
type Options struct {
	FairShare    fairshare.Config
	Quantum      int                  // bytes that one time slice reads at most, in whole reads
	PollInterval time.Duration        // how long connections are served between two polls for events
	Now          func() time.Duration // the clock; nil: time since the loop was made
}

// DefaultOptions are the options of NewLoop.
var DefaultOptions = Options{
	FairShare:    fairshare.Config{Window: 20 * time.Millisecond, Flows: 4096},
	Quantum:      64 << 10,
	PollInterval: 200 * time.Microsecond,
}

// check returns an error for options that no loop can run with.
func (o *Options) check() error {
	if o.Quantum < 1 || o.PollInterval <= 0 {
		return fmt.Errorf("eventloop: quantum of %d bytes and slice of %v, want more than 0", o.Quantum, o.PollInterval)
	}
	return nil
}

// ErrEnded means that a loop has ended, so that nothing can be put on it.
var ErrEnded = errors.New("eventloop: the loop has ended")

// Loop is one event loop.
type Loop struct {
	Index int

	options    Options
	clock      func() time.Duration
	now        time.Duration // the clock when the last events came or the last time slice ended
	epollFD    int
	wakeFD     int // an eventfd, which Post writes to
	events     [maxEvents]unix.EpollEvent
	conns      map[int]*Conn // by descriptor
	listeners  map[int]*Conn // by descriptor
	tasks      map[*task]struct{}
	readBuffer [ReadSize]byte
	deferred   []func()
	timer      timer
	stopping   bool // on the loop
	ended      bool // on the loop: it closes what it holds

	scheduler   *fairshare.Scheduler[*Conn]
	defaultFlow *Flow // of connections to which none was assigned
	lastSync    time.Duration
	history     history

	mu      sync.Mutex
	posted  []postedCall
	spare   []postedCall // a buffer for posted; on the loop it needs no lock
	stopped bool         // nothing may wake the loop any more

	done      chan struct{} // closed when Run returns
	connCount atomic.Int64
}

// NewLoop opens a loop with the default options; Run runs it.
func NewLoop(index int) (*Loop, error) { return NewLoopWith(index, DefaultOptions) }

// NewLoopWith opens a loop. index is its number among the loops that share flows' usage, from 0.
func NewLoopWith(index int, o Options) (*Loop, error) {
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

// openPoller opens an epoll instance and an eventfd that wakes it.
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

// Run handles events until Stop. It has to be called on a goroutine of its own.
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
	// A function posted from here on would never run, and a wake-up would go to a descriptor
	// that may be another file's by then.
	l.dropPosted()
	return errors.Join(err, l.closePoller())
}

// closeAll ends connections, tasks and listening sockets. Nothing can be put on the loop any more.
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

// closePoller closes the loop's own descriptors.
func (l *Loop) closePoller() error {
	return errors.Join(unix.Close(l.epollFD), unix.Close(l.wakeFD))
}

// Close closes a loop on which Run was not called, and what was put on it. A loop that runs is
// ended by Stop.
func (l *Loop) Close() error {
	l.closeAll()
	l.dropPosted()
	return l.closePoller()
}

// Stop ends the loop, closing its connections, and waits for it.
func (l *Loop) Stop() {
	l.Post(func() { l.stopping = true })
	<-l.done
}

// wait polls for events and returns how many there are. It does not block while time slices can
// be given; else it blocks until there is an event, a rate limit ends, or the timer is due.
func (l *Loop) wait() (int, error) {
	runtime.Gosched() // a loop that is never idle must let others run that share its core
	n, err := l.poll(0)
	if n != 0 || err != nil || l.scheduler.Ready() || l.stopping {
		return n, err
	}
	timeout := -1 // milliseconds
	if at, ok := l.nextWake(); ok {
		timeout = int((at - l.clock() + time.Millisecond - 1) / time.Millisecond)
		if timeout <= 0 {
			return 0, nil
		}
	}
	l.syncUsage(0) // other loops need it before this one sleeps
	return l.poll(timeout)
}

// handleEvent notes what a socket can do. The work itself waits for a time slice.
func (l *Loop) handleEvent(ev unix.EpollEvent) {
	fd := int(ev.Fd)
	if fd == l.wakeFD {
		// Posted functions may close a descriptor and open another of the same number. They run
		// after the batch, or a later event of it would be noted for the wrong connection.
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
		c.readable = true
	}
	if c.readInterest && c.readable {
		c.readInterest = false
		c.Handler.(ReadableHandler).OnReadable(c)
	}
	l.schedule(c)
}

// notifyPeerClosed calls OnPeerClosed after the present batch of events, if the handler has it.
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

// Conns returns how many connections the loop holds. It may be called from any goroutine.
func (l *Loop) Conns() int { return int(l.connCount.Load()) }

// EachConn calls f for every connection. On the loop only.
func (l *Loop) EachConn(f func(*Conn)) {
	for _, c := range l.conns {
		f(c)
	}
}
