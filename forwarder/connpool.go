// This file holds the connection pool. The pool owns the connections to nodes and limits
// their number, age and idle time. A connection carries one request at a time.

package forwarder

import (
	"slices"
	"time"

	"chalkstand/dispatch"
)

// connState is the state of a connection in the pool.
type connState int

const (
	connDialing connState = iota
	connIdle
	connBusy
)

// conn is a connection to a node.
type conn struct {
	id           ConnID
	node         *node
	loop         LoopID
	state        connState
	request      *request // request that the connection carries or is being dialed for, or nil
	createdAt    time.Duration
	idleSince    time.Duration
	idleTimerSet bool
}

// takeIdle removes a connection of the given loop from a node's idle connections and
// returns it, or returns nil if no connection is usable. It prefers the most recently used
// connection, so that the others reach the idle timeout. It does not reuse a connection
// before ReuseDelay has passed: if a faulty node sends extra bytes after a response, these
// must not be read as the response to the next request.
func (f *Forwarder) takeIdle(n *node, loop LoopID) *conn {
	for i := len(n.idleConns) - 1; i >= 0; i-- {
		c := n.idleConns[i]
		if c.loop != loop || f.now-c.idleSince < f.cfg.ReuseDelay {
			continue
		}
		if f.now-c.createdAt >= f.cfg.MaxConnAge || f.now-c.idleSince >= f.cfg.IdleTimeout {
			f.closeConn(c)
			continue
		}
		n.idleConns = slices.Delete(n.idleConns, i, i+1)
		return c
	}
	return nil
}

// dial starts to open a connection to a node. If a connection limit is reached, dial first
// closes an idle connection, which may belong to any loop. If none is idle, dial returns
// nil.
func (f *Forwarder) dial(n *node, loop LoopID) *conn {
	if n.connCount >= f.cfg.MaxConnsPerNode {
		if len(n.idleConns) == 0 {
			return nil
		}
		f.closeConn(n.idleConns[0])
	}
	if f.cfg.MaxConns > 0 && len(f.conns) >= f.cfg.MaxConns && !f.evictIdle() {
		return nil
	}
	f.lastConnID++
	c := &conn{id: f.lastConnID, node: n, loop: loop, createdAt: f.now}
	f.conns[c.id] = c
	n.connCount++
	f.emit(Dial{Conn: c.id, Loop: loop, Node: n.ID, Addr: n.Addr, Timeout: f.cfg.DialTimeout})
	return c
}

// evictIdle closes the connection that has been idle the longest among all nodes. It
// returns false if no connection is idle.
func (f *Forwarder) evictIdle() bool {
	var oldest *conn
	for _, n := range f.sortedNodes {
		if len(n.idleConns) > 0 && (oldest == nil || n.idleConns[0].idleSince < oldest.idleSince) {
			oldest = n.idleConns[0]
		}
	}
	if oldest == nil {
		return false
	}
	f.closeConn(oldest)
	return true
}

// putIdle adds a connection to its node's idle connections. If the connection cannot carry
// another request, putIdle closes it instead.
func (f *Forwarder) putIdle(c *conn) {
	if c.node.State != dispatch.Ready || f.now-c.createdAt >= f.cfg.MaxConnAge || f.conns[c.id] == nil {
		f.closeConn(c)
		return
	}
	c.state = connIdle
	c.request = nil
	c.idleSince = f.now
	c.node.idleConns = append(c.node.idleConns, c)
	if !c.idleTimerSet {
		c.idleTimerSet = true
		f.timers.Add(f.now+f.cfg.IdleTimeout, timer{conn: c})
	}
}

// onIdleTimeout closes a connection that has been idle for IdleTimeout. If the connection
// was used since the timer was set, onIdleTimeout sets the timer again.
func (f *Forwarder) onIdleTimeout(c *conn) {
	c.idleTimerSet = false
	switch {
	case f.conns[c.id] != c || c.state != connIdle:
	case f.now-c.idleSince >= f.cfg.IdleTimeout:
		f.closeConn(c)
	default:
		c.idleTimerSet = true
		f.timers.Add(c.idleSince+f.cfg.IdleTimeout, timer{conn: c})
	}
}

// closeConn emits CloseConn for a connection and removes it from the pool.
func (f *Forwarder) closeConn(c *conn) {
	if f.conns[c.id] != c {
		return
	}
	f.emit(CloseConn{Conn: c.id, Loop: c.loop})
	f.removeConn(c)
}

// removeConn removes a closed connection from the pool.
func (f *Forwarder) removeConn(c *conn) {
	if f.conns[c.id] != c {
		return
	}
	delete(f.conns, c.id)
	c.node.connCount--
	if i := slices.Index(c.node.idleConns, c); i >= 0 {
		c.node.idleConns = slices.Delete(c.node.idleConns, i, i+1)
	}
}

func (f *Forwarder) onDialCompleted(e DialCompleted) {
	c := f.conns[e.Conn]
	if c == nil || c.state != connDialing {
		if e.OK {
			f.emit(CloseConn{Conn: e.Conn}) // the forwarder has already removed this connection
		}
		return
	}
	r := c.request
	if !e.OK {
		c.request = nil
		f.removeConn(c)
		if r != nil {
			f.failAttempt(r, dispatch.ConnectFailed, ResponseInfo{})
			r.conn = nil
		}
		return
	}
	switch {
	case r == nil:
		f.putIdle(c)
	case c.node.State != dispatch.Ready:
		// The node started draining after the dispatcher had chosen it. Nothing was sent, so
		// the dispatcher can choose another node.
		r.conn = nil
		c.request = nil
		f.closeConn(c)
		f.failAttempt(r, dispatch.NotSent, ResponseInfo{})
	case f.dedupWindowExpired(r):
		r.conn = nil
		c.request = nil
		f.putIdle(c)
		f.failAttempt(r, dispatch.NotSent, ResponseInfo{})
	default:
		f.send(c, r)
	}
}

func (f *Forwarder) onConnectionLost(e ConnectionLost) {
	c := f.conns[e.Conn]
	if c == nil {
		return
	}
	f.removeConn(c)
	r := c.request
	if r == nil {
		return
	}
	c.request = nil
	r.conn = nil
	switch r.stage {
	case stageDialing:
		f.failAttempt(r, dispatch.ConnectFailed, ResponseInfo{})
	case stageInFlight:
		f.onInFlightLost(r, c.node, e)
	case stageStreaming:
		f.reportStreamed(r)
		f.finish(r, AbortResponse{ID: r.req.ID, Loop: r.loop})
	case stageDetached:
		f.finish(r, Fail{ID: r.req.ID, Loop: r.loop})
	}
}

// onInFlightLost handles the loss of the connection of an attempt in flight. It ends the
// attempt, or continues it on another connection if nothing was written.
func (f *Forwarder) onInFlightLost(r *request, n *node, e ConnectionLost) {
	switch {
	case e.Stale && n.State == dispatch.Ready && f.now < r.timer.At() && !f.dedupWindowExpired(r):
		// The node had closed the idle connection, or the connection had received input that
		// is not a response. Each repetition uses up one idle connection, so the retries end.
		f.leaveNode(r)
		r.stage = stageDialing
		f.assignConn(r, n)
	case e.Stale:
		f.failAttempt(r, dispatch.NotSent, ResponseInfo{})
	case e.Unsent:
		f.failAttempt(r, dispatch.ConnectFailed, ResponseInfo{})
	default:
		f.failAttempt(r, dispatch.ConnectionReset, ResponseInfo{})
	}
}
