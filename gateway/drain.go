package gateway

import (
	"context"
	"errors"
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

// openClients counts the client connections that a drain waits for.
type openClients struct {
	busy      int // a request has arrived in part, or has no response that the kernel has accepted completely
	lingering int // the last response is written, and the client may still be sending
}

func (o *openClients) add(other openClients) {
	o.busy += other.busy
	o.lingering += other.lingering
}

// Drain stops accepting connections and closes the idle ones. It waits until every request of which a
// part has arrived has its response, until the kernel has accepted all responses, and until clients that
// were still sending have had the time to read theirs.
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
	open, done := g.awaitClients(serving, (*loopWorker).drainClients)
	if done {
		return nil
	}
	err := g.drainError(serving, open)
	g.core.handle(nil, forwarder.Shutdown{})
	final, cancelFinal := context.WithTimeout(context.WithoutCancel(ctx), finalTime)
	defer cancelFinal()
	open, done = g.awaitClients(final, (*loopWorker).rejectAndDrainClients)
	if finalErr := g.drainError(final, open); !done && finalErr != nil {
		return errors.Join(err, fmt.Errorf("after the final responses: %w", finalErr))
	}
	return err
}

// drainError returns an error that wraps ctx.Err() if requests are open at the end of ctx.
func (g *Gateway) drainError(ctx context.Context, open openClients) error {
	inFlight := g.inFlight.Load()
	if open.busy == 0 && inFlight == 0 {
		return nil
	}
	return fmt.Errorf("gateway: %d requests still in flight on %d connections: %w", inFlight, open.busy, ctx.Err())
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

// awaitClients waits until no client connection and no request is open. It calls drain on the loop of each worker
// again and again. If ctx ends first, it returns false and the last known count of open connections.
func (g *Gateway) awaitClients(ctx context.Context, drain func(*loopWorker) openClients) (open openClients, done bool) {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for {
		count, complete := g.drainClients(ctx, drain)
		if !complete {
			return open, false
		}
		open = count
		if open == (openClients{}) && g.inFlight.Load() == 0 {
			return open, true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return open, false
		}
	}
}

// drainClients calls drain on the loop of each worker and returns the sum of the results. It returns false if ctx
// ends before every loop has returned one.
func (g *Gateway) drainClients(ctx context.Context, drain func(*loopWorker) openClients) (sum openClients, complete bool) {
	results := make(chan openClients, len(g.workers))
	for _, w := range g.workers {
		// A loop that has ended has no clients.
		w.loop.PostOrDrop(func() { results <- drain(w) }, func() { results <- openClients{} })
	}
	for range g.workers {
		select {
		case open := <-results:
			sum.add(open)
		case <-ctx.Done():
			return sum, false
		}
	}
	return sum, true
}

// drainClients closes the idle client connections and counts the other ones.
func (w *loopWorker) drainClients() (open openClients) {
	for c := range w.clients {
		switch {
		case c.idle():
			c.conn.Close()
		case c.busy():
			open.busy++
		default:
			open.lingering++
		}
	}
	return open
}

// rejectAndDrainClients is like drainClients, but first rejects the requests of which only a part has arrived. The
// forwarder has ended the requests to nodes before.
func (w *loopWorker) rejectAndDrainClients() openClients {
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

// abortResponses resets the connections of clients that have not got all of a response. The end of a connection
// without a reset could be taken for the end of the response.
func (w *loopWorker) abortResponses() {
	for c := range w.clients {
		t := c.current
		switch {
		case t != nil && t.headersSent:
			t.cancelNodeRequests()
			t.abortStream()
		case c.conn.BufferedOutput() > 0:
			c.conn.Reset()
		}
	}
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
