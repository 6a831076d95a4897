package gateway

import (
	"context"
	"fmt"
	"time"

	"chalkstand/forwarder"
)

const (
	// drainPollInterval is the interval at which Drain checks whether all client connections are done.
	drainPollInterval = 5 * time.Millisecond
	// finalResponseShare is the part of the time of Drain, as a divisor, that is kept for the last responses.
	finalResponseShare = 10
	// The time for the last responses is at least minFinalResponseTime, also if the time of Drain is over.
	minFinalResponseTime = 200 * time.Millisecond
	maxFinalResponseTime = lingerTimeout
)

// Drain stops accepting connections and closes the idle ones. It waits until every request of which a
// part has arrived has its response, and until the kernel has accepted all responses.
//
// A tenth of the time that ctx leaves, from 0.2 s to 2 s, is kept for the requests that are still open then.
// They get their final responses: a rejection if a retry is harmless, and an error otherwise. Only a response
// whose head has been sent may still continue. Drain then returns an error that wraps the error of a context.
// If ctx ends earlier, the final responses are sent at once, and Drain returns at most 2 s after the end of ctx.
// After Drain the gateway accepts no further requests.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	for _, w := range g.workers {
		w.loop.Post(w.loop.StopListening)
	}
	finalTime := finalResponseTime(ctx)
	serving, cancel := contextUntil(ctx, finalTime)
	defer cancel()
	err := g.awaitClients(serving, (*loopWorker).drainClients)
	if err == nil {
		return nil
	}
	g.core.handle(nil, forwarder.Shutdown{})
	final, cancelFinal := context.WithTimeout(context.WithoutCancel(ctx), finalTime)
	defer cancelFinal()
	if finalErr := g.awaitClients(final, (*loopWorker).rejectAndDrainClients); finalErr != nil {
		return fmt.Errorf("%w; after the final responses: %w", err, finalErr)
	}
	return err
}

// finalResponseTime returns the part of the time of Drain that is kept for the final responses.
func finalResponseTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxFinalResponseTime
	}
	return min(max(time.Until(deadline)/finalResponseShare, minFinalResponseTime), maxFinalResponseTime)
}

// contextUntil returns a context that ends the given time before the deadline of ctx, if ctx has one.
func contextUntil(ctx context.Context, before time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-before))
}

// awaitClients waits until no client connection is busy and no request is open. It calls drain on the loop of each
// worker again and again, which returns the number of busy connections. If ctx ends first, awaitClients returns an
// error that wraps ctx.Err().
func (g *Gateway) awaitClients(ctx context.Context, drain func(*loopWorker) int) error {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for {
		busy, err := g.drainClients(ctx, drain)
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

// drainClients calls drain on the loop of each worker and returns the sum of the busy connections. If ctx ends
// first, it returns ctx.Err().
func (g *Gateway) drainClients(ctx context.Context, drain func(*loopWorker) int) (busy int, err error) {
	counts := make(chan int, len(g.workers))
	for _, w := range g.workers {
		w.loop.PostOrDrop(func() { counts <- drain(w) }, func() { counts <- 0 }) // a loop that has ended has no clients
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

// rejectAndDrainClients is like drainClients, but first rejects the requests of which only a part has arrived. The
// forwarder has ended the requests to nodes before.
func (w *loopWorker) rejectAndDrainClients() (busy int) {
	for c := range w.clients {
		switch {
		case c.inBackoff():
			c.endBackoff()
		case c.incomplete():
			c.rejectIncomplete()
		}
	}
	return w.drainClients()
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

// incomplete reports whether only a part of a request has arrived, and no node has received any of it.
func (c *clientConn) incomplete() bool {
	switch c.state {
	case stateBufferingBody:
		return true
	case stateReading:
		return c.partialHead && c.conn.BufferedOutput() == 0
	}
	return false
}
