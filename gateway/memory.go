package gateway

import (
	"time"

	"go.uber.org/zap"

	"chalkstand/internal/bufferlimit"
)

const (
	// memoryRetryAfter is the time after which a client may repeat a request for which there was no memory.
	memoryRetryAfter = time.Second
	// memoryWarnInterval is the shortest time between two warnings that limits.memory is reached.
	memoryWarnInterval = time.Second
)

// reserveBody counts the memory of a transaction's buffered body.
func (t *transaction) reserveBody(bytes int) {
	t.conn.worker.bodyMemory += bytes - t.bodyMemory
	t.conn.worker.gateway.bufferMemory.Add(int64(bytes - t.bodyMemory))
	t.bodyMemory = bytes
}

// hasMemoryFor reports whether a body of the given size fits limits.memory beside all other buffers.
func (g *Gateway) hasMemoryFor(bytes int64) bool {
	return g.bufferMemory.Load()+bytes <= int64(g.cfg.Limits.Memory)
}

// limitBuffers releases buffers until all buffers of the gateway are within limits.memory. The connections
// whose buffers have waited for their peers at the greatest cost go first. A worker with less than an even
// share of the buffers releases none, because other workers hold more.
func (w *loopWorker) limitBuffers() {
	g := w.gateway
	for total := g.bufferMemory.Load(); total > int64(g.cfg.Limits.Memory); total = g.bufferMemory.Load() {
		own := int64(w.loop.BufferMemory() + w.bodyMemory)
		if own*int64(len(g.workers)) < total || !w.releaseCostliest() {
			return
		}
		g.metrics.buffersReleased.Inc()
		w.warnMemory(total)
	}
}

// releaseCostliest releases the buffers of the client whose buffers cost the most or, if no client holds
// any, of such a node connection. It reports whether there was one.
func (w *loopWorker) releaseCostliest() bool {
	now := w.gateway.core.now()
	if c, ok := bufferlimit.Costliest(w.eachClient, (*clientConn).bufferUsage, now); ok {
		c.releaseBuffers()
		return true
	}
	n, ok := bufferlimit.Costliest(w.eachNodeConn, (*nodeConn).bufferUsage, now)
	if ok {
		n.abort()
	}
	return ok
}

// warnMemory logs that limits.memory is reached, at most once per memoryWarnInterval.
func (w *loopWorker) warnMemory(total int64) {
	if now := w.gateway.core.now(); now >= w.nextMemoryWarning {
		w.nextMemoryWarning = now + memoryWarnInterval
		w.gateway.log.Warn("memory limit reached", zap.Int64("bytes", total),
			zap.Int("limit", w.gateway.cfg.Limits.Memory), zap.Int("connections", len(w.clients)))
	}
}

// eachClient calls yield for each client connection until yield returns false.
func (w *loopWorker) eachClient(yield func(*clientConn) bool) {
	for c := range w.clients {
		if !yield(c) {
			return
		}
	}
}

// eachNodeConn calls yield for each open connection to a node until yield returns false.
func (w *loopWorker) eachNodeConn(yield func(*nodeConn) bool) {
	for _, n := range w.conns {
		if n.conn != nil && !yield(n) {
			return
		}
	}
}

// bufferUsage returns the memory that the client makes the gateway hold: an incomplete head or body, or a
// response that the client does not read. Input that waits for a node's response does not count.
func (c *clientConn) bufferUsage() bufferlimit.Usage {
	usage := bufferlimit.Usage{Since: c.waitingSince}
	switch {
	case c.state == stateBufferingBody:
		usage.Bytes = c.conn.BufferMemory() + c.current.bodyMemory
	case c.state == stateReading || c.conn.BufferedOutput() > 0:
		usage.Bytes = c.conn.BufferMemory()
	}
	return usage
}

// bufferUsage returns the memory of the connection's buffers.
func (n *nodeConn) bufferUsage() bufferlimit.Usage {
	return bufferlimit.Usage{Bytes: n.conn.BufferMemory(), Since: n.sentAt}
}

// releaseBuffers rejects the request of which a part has arrived, or resets the connection if the client does
// not read a response.
func (c *clientConn) releaseBuffers() {
	if c.conn.BufferedOutput() > 0 {
		c.conn.Reset()
		return
	}
	c.rejectIncomplete()
}

// rejectIncomplete rejects the request of which a part has arrived. The rest of it is discarded.
func (c *clientConn) rejectIncomplete() {
	t := c.current
	if t == nil {
		t = c.newTransaction()
	}
	t.closeConn = true
	t.cancelNodeRequests()
	c.conn.DiscardInput()
	t.respondSlowDown(memoryRetryAfter)
}
