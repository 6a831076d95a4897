package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"chalkstand/internal/eventloop"
)

// sweepInterval is the interval at which each worker checks its connections for idle and slow peers.
// Their time limits are much longer.
const sweepInterval = 100 * time.Millisecond

// tooManyConns is the response that a client gets when the gateway has reached its connection limit
// or is draining.
var tooManyConns = []byte("HTTP/1.1 503 Service Unavailable\r\n" +
	"Retry-After: 1\r\n" +
	"Content-Length: 0\r\n" +
	"Connection: close\r\n\r\n")

// Listen opens a TCP listener that can be passed to Serve.
func Listen(addr string) (*net.TCPListener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return ln.(*net.TCPListener), nil
}

// Serve accepts clients on the listeners until ctx ends or the gateway is closed. It takes ownership
// of the listeners and closes them before it returns. If a listener cannot be used, Serve returns an
// error at once.
func (g *Gateway) Serve(ctx context.Context, listeners ...*net.TCPListener) error {
	var opened []*eventloop.Listener
	defer func() { g.stopListening(opened) }()
	for i, ln := range listeners {
		l, err := g.listen(ln)
		if err != nil {
			closeListeners(listeners[i:])
		}
		if errors.Is(err, eventloop.ErrEnded) {
			return nil // Close has stopped the loops, which is a normal end of Serve
		}
		if err != nil {
			return fmt.Errorf("gateway: listener %v: %w", ln.Addr(), err)
		}
		opened = append(opened, l)
	}
	select {
	case <-ctx.Done():
	case <-g.core.done:
	}
	return nil
}

// listen makes the first worker's loop accept clients on a listener. It returns
// eventloop.ErrEnded if the gateway is closed.
func (g *Gateway) listen(ln *net.TCPListener) (*eventloop.Listener, error) {
	type result struct {
		listener *eventloop.Listener
		err      error
	}
	fd, err := eventloop.DuplicateFD(ln)
	if err != nil {
		return nil, err
	}
	_ = ln.Close() // DuplicateFD has duplicated the descriptor
	first := g.workers[0]
	listening := make(chan result, 1)
	first.loop.PostOrDrop(func() {
		l, err := first.loop.Listen(fd, first.newcomers.flow, g.accept)
		listening <- result{l, err}
	}, func() {
		_ = unix.Close(fd) // the loop has ended and does not close it
		listening <- result{err: eventloop.ErrEnded}
	})
	r := <-listening
	return r.listener, r.err
}

// stopListening closes the given listeners of the first worker's loop and waits until they are
// closed.
func (g *Gateway) stopListening(opened []*eventloop.Listener) {
	closed := make(chan struct{})
	g.workers[0].loop.PostOrDrop(func() {
		for _, l := range opened {
			l.Close()
		}
		close(closed)
	}, func() { close(closed) }) // a loop that has ended has closed its listeners
	<-closed
}

// closeListeners closes listeners that no loop has taken over. It ignores the errors of listeners
// that are already closed.
func closeListeners(listeners []*net.TCPListener) {
	for _, ln := range listeners {
		_ = ln.Close()
	}
}

// accept assigns a new connection to the next worker in round-robin order. It rejects the
// connection if the gateway is draining or has reached its connection limit. It runs on the first
// worker's loop.
func (g *Gateway) accept(fd int, _ unix.Sockaddr) {
	if int(g.clientConns.Load()) >= g.cfg.Limits.Conns || g.draining.Load() {
		g.metrics.connsRejected.Inc()
		_, _ = unix.Write(fd, tooManyConns) // the connection is closed even if the write fails
		_ = unix.Close(fd)
		return
	}
	g.clientConns.Add(1)
	w := g.workers[g.nextWorker%len(g.workers)]
	g.nextWorker++
	if w == g.workers[0] {
		w.addClient(fd)
	} else {
		w.loop.PostOrDrop(func() { w.addClient(fd) }, func() {
			_ = unix.Close(fd) // the worker's loop has ended because the gateway is closing
			g.clientConns.Add(-1)
		})
	}
}

// Close stops the gateway at once and waits until its goroutines have ended. Requests in flight get
// no response; a program that must answer them calls Drain first. A response that has begun is cut off by
// a reset of its connection. Close always returns nil.
func (g *Gateway) Close() error {
	g.closeOnce.Do(func() {
		for _, w := range g.workers {
			w.loop.Post(w.abortResponses)
		}
		g.core.stop()
		for _, w := range g.workers {
			w.loop.Stop()
		}
		if g.registry != nil {
			g.registry.Unregister(g.metrics)
		}
	})
	g.goroutines.Wait()
	if g.attribution != nil {
		g.flushOnce.Do(func() {
			for _, w := range g.workers { // the loops have ended, so nothing else uses the batches
				w.flushBatch()
			}
			close(g.attribution.batches)
		})
		<-g.attribution.done
	}
	return nil
}

// sweepPeriodically makes each worker check its connections every sweepInterval, until the gateway
// is closed.
func (g *Gateway) sweepPeriodically() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-g.core.done:
			return
		case <-t.C:
			for _, w := range g.workers {
				w.loop.Post(w.sweep)
			}
		}
	}
}
