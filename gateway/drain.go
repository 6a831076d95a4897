package gateway

import (
	"context"
	"fmt"
	"time"
)

// drainPollInterval is the interval at which Drain checks whether all client connections are done.
const drainPollInterval = 5 * time.Millisecond

// Drain stops accepting connections and closes the idle ones. It waits until every request of which a
// part has arrived has its response, and until the kernel has accepted all responses. If ctx ends
// first, Drain returns an error that wraps ctx.Err().
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	for _, w := range g.workers {
		w.loop.Post(w.loop.StopListening)
	}
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for {
		busy, err := g.drainClients(ctx)
		if err != nil {
			return fmt.Errorf("gateway: %d requests still in flight: %w", g.inFlight.Load(), err)
		}
		if busy == 0 && g.inFlight.Load() == 0 {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("gateway: %d requests still in flight on %d connections: %w", g.inFlight.Load(), busy, ctx.Err())
		}
	}
}

// drainClients closes the idle client connections of all workers and returns the number of busy ones.
// If ctx ends first, it returns ctx.Err().
func (g *Gateway) drainClients(ctx context.Context) (busy int, err error) {
	counts := make(chan int, len(g.workers))
	for _, w := range g.workers {
		w.loop.PostOrDrop(func() { counts <- w.drainClients() }, func() { counts <- 0 }) // a loop that has ended has no clients
	}
	for range g.workers {
		select {
		case n := <-counts:
			busy += n
		case <-ctx.Done():
			return busy, ctx.Err()
		}
	}
	return busy, nil
}

// drainClients closes the idle client connections and returns the number of busy ones.
func (w *loopWorker) drainClients() (busy int) {
	for c := range w.clients {
		switch {
		case c.idle():
			c.conn.Close()
		case c.busy():
			busy++
		}
	}
	return busy
}

// idle reports whether the gateway can close the connection without harm: no part of a request has
// arrived, and the kernel has accepted the last response. The check for unread input is the last one
// because it needs a system call.
func (c *clientConn) idle() bool {
	return c.state == stateReading && c.conn.BufferedOutput() == 0 && c.conn.NoUnreadInput()
}

// busy reports whether a request on the connection has arrived in part, has no complete response, or
// has a response that the kernel has not accepted completely.
func (c *clientConn) busy() bool { return c.state != stateLingering || c.conn.BufferedOutput() > 0 }
