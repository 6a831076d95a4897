// Package netloop runs sockets on event loops, on gnet's poller. It adds what
// gnet's own connections lack and bounded memory needs: reading can be paused,
// what waits to be written is known, and a handler hears when it has left
// (docs/design/loops.md). Each loop is one goroutine; all methods of its
// connections are called on it.
package netloop

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"github.com/panjf2000/gnet/v2/pkg/queue"
	"golang.org/x/sys/unix"
)

// ReadSize is the most that one read takes from a socket, in bytes. It is also
// the most that a paused sink makes a stream hold (see Conn.Pending).
const ReadSize = 32 << 10

// ErrLeft is the reason of OnClose when the peer ended the connection in order.
var ErrLeft = errors.New("the peer ended the connection")

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

// Loop is one event loop.
type Loop struct {
	Index int

	poller *netpoll.Poller
	conns  map[int]*Conn
	listen map[int]func(fd int, sa unix.Sockaddr)
	buf    [ReadSize]byte
	again  []*Conn // resumed with bytes kept
	post   []func()
	mu     sync.Mutex
	queue  []func()
	spare  []func()
	ended  bool // under mu: nothing may wake the poller any more
	done   chan struct{}
	count  atomic.Int64
}

// NewLoop opens a loop; Run runs it.
func NewLoop(index int) (*Loop, error) {
	p, err := netpoll.OpenPoller()
	if err != nil {
		return nil, fmt.Errorf("opening a poller: %w", err)
	}
	return &Loop{Index: index, poller: p, conns: map[int]*Conn{},
		listen: map[int]func(int, unix.Sockaddr){}, done: make(chan struct{})}, nil
}

// Run handles events until Stop. It is to be called on a goroutine of its own.
func (l *Loop) Run() error {
	defer close(l.done)
	err := l.poller.Polling(func(fd int, ev netpoll.IOEvent, _ netpoll.IOFlags) error {
		l.event(fd, ev)
		l.settle()
		return nil
	})
	for _, c := range l.conns {
		c.shut(nil)
	}
	l.settle()
	for fd := range l.listen {
		unix.Close(fd)
	}
	// What is given from here on would wait for ever, and a wake-up would go to a
	// descriptor that may be another socket's by then.
	l.mu.Lock()
	l.ended = true
	l.queue = nil
	l.mu.Unlock()
	err2 := l.poller.Close()
	if errors.Is(err, gneterrors.ErrEngineShutdown) {
		err = nil
	}
	return errors.Join(err, err2)
}

// Stop ends the loop, closing its connections, and waits for it.
func (l *Loop) Stop() {
	l.mu.Lock()
	if !l.ended {
		l.poller.Trigger(queue.HighPriority, func(any) error { return gneterrors.ErrEngineShutdown }, nil)
	}
	l.mu.Unlock()
	<-l.done
}

// Do runs f on the loop, after what was given before. It may be called anywhere.
// After the loop's end it does nothing.
func (l *Loop) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.queue = append(l.queue, f)
	if len(l.queue) == 1 {
		l.poller.Trigger(queue.HighPriority, l.runQueue, nil)
	}
}

func (l *Loop) runQueue(any) error {
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
	return nil
}

// Conns returns how many connections the loop holds. It may be called anywhere.
func (l *Loop) Conns() int { return int(l.count.Load()) }

// Each calls f for every connection. On the loop only.
func (l *Loop) Each(f func(*Conn)) {
	for _, c := range l.conns {
		f(c)
	}
}

func (l *Loop) event(fd int, ev netpoll.IOEvent) {
	if accept := l.listen[fd]; accept != nil {
		l.accept(fd, accept)
		return
	}
	c := l.conns[fd]
	if c == nil {
		return
	}
	if ev&(netpoll.WriteEvents|netpoll.ErrEvents) != 0 && !c.flush() {
		return
	}
	if ev&(netpoll.ReadEvents|netpoll.ErrEvents) != 0 && c.fd >= 0 && !c.paused {
		c.read()
	}
}

// settle shows kept bytes to handlers that resumed. A handler may resume others.
func (l *Loop) settle() {
	for len(l.again) > 0 || len(l.post) > 0 {
		if len(l.post) > 0 {
			f := l.post[0]
			l.post = l.post[1:]
			f()
			continue
		}
		c := l.again[0]
		l.again = l.again[1:]
		c.queued = false
		if c.fd >= 0 && !c.paused && len(c.in) > 0 {
			c.offer(nil)
		}
	}
}

// Soon runs f on the loop after the present event. On the loop only.
func (l *Loop) Soon(f func()) { l.post = append(l.post, f) }

// acceptBatch bounds how many connections one event accepts.
const acceptBatch = 64

func (l *Loop) accept(fd int, f func(int, unix.Sockaddr)) {
	for range acceptBatch {
		nfd, sa, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return // EAGAIN; others (a peer that left, no descriptors) come again with the next event
		}
		f(nfd, sa)
	}
}

// Listen accepts on fd, a listening socket that the loop takes over.
func (l *Loop) Listen(fd int, accept func(fd int, sa unix.Sockaddr)) error {
	if err := unix.SetNonblock(fd, true); err != nil {
		return os.NewSyscallError("setnonblock", err)
	}
	l.listen[fd] = accept
	return l.poller.AddRead(&netpoll.PollAttachment{FD: fd}, false)
}

// Unlisten stops accepting on all listening sockets. On the loop only.
func (l *Loop) Unlisten() {
	for fd := range l.listen {
		l.poller.Delete(fd)
		unix.Close(fd)
		delete(l.listen, fd)
	}
}

// Add puts a connected, non-blocking socket on the loop. On the loop only.
func (l *Loop) Add(fd int, h Handler) (*Conn, error) {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{Handler: h, loop: l, fd: fd}
	if err := l.poller.AddRead(&netpoll.PollAttachment{FD: fd}, false); err != nil {
		unix.Close(fd)
		return nil, err
	}
	c.polled = wantRead
	l.conns[fd] = c
	l.count.Add(1)
	return c, nil
}

// Dial connects in the background and calls done on the loop, with the socket or
// an error. The wait is bounded by timeout.
func (l *Loop) Dial(addr string, timeout time.Duration, done func(fd int, err error)) {
	go func() {
		fd, err := dial(addr, timeout)
		l.Do(func() { done(fd, err) })
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
