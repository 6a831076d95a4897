// Package eventloop runs sockets on event loops. Reading can be paused, what waits to be
// written is known, a handler hears when it has left, and whose turn it is to move
// bytes is said by package fairshare (docs/design/share.md). Each loop is one goroutine;
// all methods of its connections are called on it.
package eventloop

import (
	"chalkstand/fairshare"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// ReadSize is the most that one read takes from a socket, in bytes. It is also
// the most that a paused sink makes a stream hold (see Conn.Pending).
const ReadSize = 32 << 10

// ErrPeerClosed is the reason of OnClose when the peer ended the connection in order.
var ErrPeerClosed = errors.New("the peer ended the connection")

// Handler hears what happens on a connection. Every call is on its loop.
type Handler interface {
	// OnData gets all bytes not yet consumed and returns how many it consumed. The
	// rest is kept and shown again with what comes next, or after Resume.
	OnData(c *Conn, b []byte) int
	// OnDrained tells that all that waited to be written has left.
	OnDrained(c *Conn)
	// OnClose is the last call. err is nil when the connection was closed from here.
	OnClose(c *Conn, err error)
}

// PeerCloseHandler is a handler that hears at once that the peer has ended its side, also while the
// connection is paused or has not had its turn: what the peer sent before may not have been read.
type PeerCloseHandler interface {
	Handler
	OnPeerClosed(c *Conn)
}

// ReadableHandler is a handler that uses Conn.Readable.
type ReadableHandler interface {
	Handler
	// OnReadable tells that there is something to read on a paused connection.
	OnReadable(c *Conn)
}

// Flow is a volume's share of a loop.
type Flow = fairshare.Flow[*Conn]

// Options are a loop's settings.
type Options struct {
	FairShare fairshare.Config
	Quantum   int                  // bytes that one turn reads at most, in whole reads
	Slice     time.Duration        // turns go on for so long before new events are looked for
	Now       func() time.Duration // nil: since the loop was made
}

// DefaultOptions are the options of NewLoop.
var DefaultOptions = Options{FairShare: fairshare.Config{Window: 20 * time.Millisecond, Flows: 4096}, Quantum: 64 << 10, Slice: 200 * time.Microsecond}

// Loop is one event loop.
type Loop struct {
	Index int

	o      Options
	now    func() time.Duration
	epoll  int
	wakeFD int
	events [256]unix.EpollEvent
	conns  map[int]*Conn
	listen map[int]*Conn
	tasks  map[*task]struct{}
	buf    [ReadSize]byte
	sched  *fairshare.Scheduler[*Conn]
	first  *Flow // of connections that belong to none
	synced time.Duration
	past   history
	t      time.Duration // when the present events were told, or the last turn ended
	post   []func()
	alarm  struct {
		next func() (time.Duration, bool)
		ring func(now time.Duration)
	}
	mu     sync.Mutex
	queue  []func()
	spare  []func()
	ending bool // on the loop
	ended  bool // under mu: nothing may wake the loop any more
	done   chan struct{}
	count  atomic.Int64
}

// NewLoop opens a loop with the default options; Run runs it.
func NewLoop(index int) (*Loop, error) { return NewLoopWith(index, DefaultOptions) }

// NewLoopWith opens a loop.
func NewLoopWith(index int, o Options) (*Loop, error) {
	sched, err := fairshare.New[*Conn](o.FairShare, index)
	if err != nil {
		return nil, err
	}
	if o.Quantum < 1 || o.Slice <= 0 {
		return nil, fmt.Errorf("a turn of %d bytes and a slice of %v, want more than nothing", o.Quantum, o.Slice)
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err == nil {
		err = unix.EpollCtl(ep, unix.EPOLL_CTL_ADD, wake, &unix.EpollEvent{Fd: int32(wake), Events: unix.EPOLLIN})
	}
	if err != nil {
		unix.Close(ep)
		return nil, os.NewSyscallError("eventfd", err)
	}
	l := &Loop{
		Index: index, o: o, now: o.Now, epoll: ep, wakeFD: wake, conns: map[int]*Conn{}, listen: map[int]*Conn{}, tasks: map[*task]struct{}{},
		sched: sched, done: make(chan struct{}),
	}
	l.first = sched.Flow(l.now(), "(none)", fairshare.FlowConfig{Weight: 1}, nil)
	return l, nil
}

// Run handles events until Stop. It is to be called on a goroutine of its own.
func (l *Loop) Run() error {
	defer close(l.done)
	var err error
	for !l.ending && err == nil {
		var n int
		if n, err = l.wait(); err != nil {
			break
		}
		l.t = l.now()
		for _, ev := range l.events[:n] {
			l.event(ev)
		}
		l.settle()
		if l.alarm.next != nil {
			if at, ok := l.alarm.next(); ok && at <= l.t {
				l.alarm.ring(l.t)
			}
		}
		l.turns()
	}
	for _, c := range l.conns {
		c.shut(nil)
	}
	l.settle()
	l.endTasks()
	for fd := range l.listen {
		unix.Close(fd)
	}
	// What is given from here on would wait for ever, and a wake-up would go to a
	// descriptor that may be another socket's by then.
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.queue = nil
	return errors.Join(err, unix.Close(l.epoll), unix.Close(l.wakeFD))
}

// wait looks for events: without waiting while turns can be given, else until there
// is one, or a flow's limit lets it go on.
func (l *Loop) wait() (int, error) {
	runtime.Gosched() // a loop that is never idle must let others run that share its core
	n, err := l.poll(0)
	if n != 0 || err != nil || l.sched.Ready() || l.ending {
		return n, err
	}
	timeout := -1
	at, ok := l.sched.NextWake()
	if l.alarm.next != nil {
		if then, set := l.alarm.next(); set && (!ok || then < at) {
			at, ok = then, true
		}
	}
	if ok {
		if timeout = int((at - l.now() + time.Millisecond - 1) / time.Millisecond); timeout <= 0 {
			return 0, nil
		}
	}
	l.sync(l.t, 0) // others must know before this loop sleeps
	return l.poll(timeout)
}

// poll asks the kernel. Without a wait it does so without telling Go's scheduler.
func (l *Loop) poll(timeout int) (int, error) {
	var n int
	var err error
	if timeout == 0 {
		n, err = pollNow(l.epoll, l.events[:])
	} else {
		n, err = unix.EpollWait(l.epoll, l.events[:], timeout)
	}
	if err == unix.EINTR {
		return 0, nil
	}
	if err != nil {
		return 0, os.NewSyscallError("epoll_wait", err)
	}
	return n, nil
}

// event notes what a socket can do. What is to be done about it waits for its turn.
func (l *Loop) event(ev unix.EpollEvent) {
	fd := int(ev.Fd)
	if fd == l.wakeFD {
		l.Defer(l.woken) // it may close a descriptor and open another of the same number, of which an event is yet to be noted
		return
	}
	c := l.conns[fd]
	if c == nil {
		if c = l.listen[fd]; c == nil {
			return
		}
	}
	if ev.Events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		c.writable = true
	}
	if ev.Events&(unix.EPOLLRDHUP|unix.EPOLLERR|unix.EPOLLHUP) != 0 && !c.ended {
		c.ended = true
		if h, ok := c.Handler.(PeerCloseHandler); ok && !c.opening {
			l.Defer(func() {
				if c.fd >= 0 {
					h.OnPeerClosed(c)
				}
			})
		}
	}
	if ev.Events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		c.readable = true
	}
	if c.awaits && c.readable {
		c.awaits = false
		c.Handler.(ReadableHandler).OnReadable(c)
	}
	l.want(c)
}

// want has a connection wait for its turn, if it has something to move.
func (l *Loop) want(c *Conn) {
	if !c.queued && c.due() {
		c.queued, c.from = true, l.t
		if c.starting {
			l.sched.PushNew(l.t, c.flow, c)
		} else {
			l.sched.Push(l.t, c.flow, c)
		}
	}
}

// turns gives turns for a slice of time.
func (l *Loop) turns() {
	for began := l.t; l.t-began < l.o.Slice; {
		c, f, ok := l.sched.Next(l.t)
		if !ok {
			break
		}
		until, _ := f.RateLimitedUntil()
		c.queued, c.held, c.paid = false, l.t-c.from, min(max(until-c.from, 0), l.t-c.from)
		n := c.turn()
		l.settle()
		before := l.t
		l.t = l.now()
		l.sched.Done(l.t, f, fairshare.Cost{Work: l.t - before, Bytes: n})
		l.past.add(f, before, l.t)
		l.want(c)
	}
	l.sync(l.t, syncEvery)
}

// syncEvery is how often loops tell each other what flows had.
const syncEvery = time.Millisecond

func (l *Loop) sync(now, every time.Duration) {
	if now-l.synced >= every {
		l.synced = now
		l.sched.Sync(now)
	}
}

// SetTimer has ring called when the time that next returns has come. Before Run only.
func (l *Loop) SetTimer(next func() (time.Duration, bool), ring func(now time.Duration)) {
	l.alarm.next, l.alarm.ring = next, ring
}

// Flow finds or makes the flow of a name; account, which may be nil, joins it with
// those of other loops. On the loop only, as all of the scheduler.
func (l *Loop) Flow(name string, t fairshare.FlowConfig, a *fairshare.SharedUsage) *Flow {
	return l.sched.Flow(l.now(), name, t, a)
}

// Delay returns how long a flow's limit makes what comes now wait, where each before it
// takes so many bytes.
func (l *Loop) Delay(f *Flow, each int) time.Duration { return l.sched.Delay(l.now(), f, each) }

// Flows calls f for every flow.
func (l *Loop) Flows(f func(*Flow)) { l.sched.Flows(f) }

// Stop ends the loop, closing its connections, and waits for it.
func (l *Loop) Stop() {
	l.Post(func() { l.ending = true })
	<-l.done
}

// Post runs f on the loop, after what was given before. It may be called anywhere.
// After the loop's end it does nothing.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.queue = append(l.queue, f)
	if len(l.queue) == 1 {
		unix.Write(l.wakeFD, one)
	}
}

// one is what an eventfd is made to count up by.
var one = binary.NativeEndian.AppendUint64(nil, 1)

func (l *Loop) woken() {
	var b [8]byte
	unix.Read(l.wakeFD, b[:])
	l.mu.Lock()
	q := l.queue
	l.queue = l.spare[:0]
	l.mu.Unlock()
	for i, f := range q {
		f()
		q[i] = nil
		l.settle()
	}
	l.mu.Lock()
	l.spare = q
	l.mu.Unlock()
	l.t = l.now() // what these took is nobody's turn
}

// Conns returns how many connections the loop holds. It may be called anywhere.
func (l *Loop) Conns() int { return int(l.count.Load()) }

// EachConn calls f for every connection. On the loop only.
func (l *Loop) EachConn(f func(*Conn)) {
	for _, c := range l.conns {
		f(c)
	}
}

// settle does what was put off until after the present event.
func (l *Loop) settle() {
	for len(l.post) > 0 {
		f := l.post[0]
		l.post = l.post[1:]
		f()
	}
	l.post = nil
}

// Defer runs f on the loop after the present event. On the loop only.
func (l *Loop) Defer(f func()) { l.post = append(l.post, f) }

// acceptBatch bounds how many connections one turn accepts.
const acceptBatch = 4

// acceptSome takes what waits to be accepted, a few at a time.
func (c *Conn) acceptSome() {
	for range acceptBatch {
		nfd, sa, err := unix.Accept4(c.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			c.accept(nfd, sa)
		case unix.EINTR, unix.ECONNABORTED: // that peer has left; the next may be there
		default:
			c.readable = false
			c.short = err != unix.EAGAIN
			return
		}
	}
}

// Listen accepts on fd, a listening socket that the loop takes over. Accepting takes
// turns, which count for a flow: whoever opens connections without end has no more of
// the loop than that flow.
func (l *Loop) Listen(fd int, f *Flow, accept func(fd int, sa unix.Sockaddr)) error {
	if err := unix.SetNonblock(fd, true); err != nil {
		return os.NewSyscallError("setnonblock", err)
	}
	c := &Conn{loop: l, fd: fd, flow: f, accept: accept, starting: true}
	ev := unix.EpollEvent{Fd: int32(fd), Events: unix.EPOLLIN | unix.EPOLLET&0xffffffff}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		return os.NewSyscallError("epoll_ctl", err)
	}
	l.listen[fd] = c
	return nil
}

// RetryAccept accepts again where descriptors or memory had run out. On the loop only.
func (l *Loop) RetryAccept() {
	for _, c := range l.listen {
		if c.short {
			c.short, c.readable = false, true
			l.want(c)
		}
	}
}

// StopListening stops accepting on all listening sockets, after it has accepted what waits there: the
// close would reset it. On the loop only.
func (l *Loop) StopListening() {
	for fd, c := range l.listen {
		for c.readable = true; c.readable; {
			c.acceptSome()
		}
		unix.Close(fd)
		c.fd = -1
		delete(l.listen, fd)
	}
}

// Add puts a connected, non-blocking socket on the loop. On the loop only. The kernel
// is told once of all that is of interest, and tells of changes: what a connection
// can do is remembered here, so that one that waits for its turn costs nothing.
func (l *Loop) Add(fd int, h Handler) (*Conn, error) {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{Handler: h, loop: l, fd: fd, flow: l.first}
	ev := unix.EpollEvent{Fd: int32(fd), Events: unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET&0xffffffff}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		unix.Close(fd)
		return nil, os.NewSyscallError("epoll_ctl", err)
	}
	l.conns[fd] = c
	l.count.Add(1)
	return c, nil
}

// ConnectHandler is a handler that uses Loop.Connect.
type ConnectHandler interface {
	Handler
	// OnOpen tells that the connection is there.
	OnOpen(c *Conn)
}

// Connect opens a connection on the loop itself, without a goroutine and with one descriptor.
// h hears OnOpen, or OnClose with the reason why not; how long that may take is for the caller to
// bound, with Close. On the loop only.
func (l *Loop) Connect(to netip.AddrPort, h ConnectHandler) (*Conn, error) {
	var sa unix.Sockaddr
	family := unix.AF_INET
	if to.Addr().Unmap().Is4() {
		sa = &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
	} else {
		family, sa = unix.AF_INET6, &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS && err != unix.EINTR {
		unix.Close(fd)
		return nil, os.NewSyscallError("connect", err)
	}
	c, err := l.Add(fd, h)
	if err == nil {
		c.opening = true
	}
	return c, err
}

// opened asks the kernel how the opening of a connection ended.
func (c *Conn) opened() {
	e, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && e != 0 {
		err = unix.Errno(e)
	}
	if err != nil {
		c.shut(os.NewSyscallError("connect", err))
		return
	}
	c.opening = false
	c.Handler.(ConnectHandler).OnOpen(c)
}

// Dial connects in the background and calls done on the loop, with the socket or
// an error. The wait is bounded by timeout.
func (l *Loop) Dial(addr string, timeout time.Duration, done func(fd int, err error)) {
	go func() {
		fd, err := dial(addr, timeout)
		l.Post(func() { done(fd, err) })
	}()
}

func dial(addr string, timeout time.Duration) (int, error) {
	nc, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return -1, err
	}
	defer nc.Close()
	return Detach(nc.(*net.TCPConn))
}

// Detach takes the descriptor out of a net.Conn or listener, non-blocking.
func Detach(nc interface{ File() (*os.File, error) }) (int, error) {
	f, err := nc.File()
	if err != nil {
		return -1, err
	}
	defer f.Close()
	fd, err := unix.FcntlInt(f.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, os.NewSyscallError("dup", err)
	}
	runtime.KeepAlive(f)
	return fd, unix.SetNonblock(fd, true)
}
