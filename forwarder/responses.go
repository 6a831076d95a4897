// This file handles responses of nodes. The forwarder passes a response on to the client,
// or discards it and ends the attempt.

package forwarder

import (
	"chalkstand/attribution"
	"chalkstand/dispatch"
)

// onResponseHeaders moves a request to stageStreaming, because the client has received the
// headers of the response. No further attempt is possible, even if the body is cut off.
func (f *Forwarder) onResponseHeaders(e ResponseHeaders) {
	c := f.conns[e.Conn]
	if c == nil || c.request == nil ||
		c.request.stage != stageInFlight && c.request.stage != stageDetached {
		return
	}
	r := c.request
	r.stage = stageStreaming
	r.headersAt = f.now
	r.headersInfo = e.Info
	f.correctCost(r, e.Info.Units)
	r.attribution.span.Enter(f.now, attribution.ResponseBody)
	f.attributeNodeTiming(r, e.Info)
	f.stopTimer(r)
	if f.reserveStream(r) {
		f.reportStreamed(r)
	}
}

// onResponseCompleted ends a request with its node's response. If the response is not for
// the client, it ends only the attempt. It then returns the connection to the pool, or
// closes the connection if it cannot be reused.
func (f *Forwarder) onResponseCompleted(e ResponseCompleted) {
	c := f.conns[e.Conn]
	if c == nil || c.state != connBusy {
		return
	}
	r := c.request
	if r == nil { // cannot happen: a busy connection without a request is closed
		f.closeConn(c)
		return
	}
	f.completeResponse(c, r, e.Info)
	r.conn = nil
	c.request = nil
	if f.conns[c.id] != c {
		return // failAttempt has closed the connection of a request that cannot be replayed
	}
	if e.Reuse {
		f.putIdle(c)
	} else {
		f.closeConn(c)
	}
}

// completeResponse forwards a complete response to the client or discards it, depending on
// the request's stage and the node's result.
func (f *Forwarder) completeResponse(c *conn, r *request, info ResponseInfo) {
	switch {
	case r.stage == stageStreaming:
		f.reportStreamed(r)
		f.finish(r, ForwardResponse{ID: r.req.ID, Loop: r.loop, Conn: c.id})
	case r.stage == stageDetached && info.Result != dispatch.OK:
		f.emit(DiscardResponse{ID: r.req.ID, Loop: r.loop, Conn: c.id})
		f.finish(r, Fail{ID: r.req.ID, Loop: r.loop})
	case info.Result == dispatch.OK:
		f.correctCost(r, info.Units)
		r.attribution.span.Enter(f.now, attribution.Gateway)
		f.attributeNodeTiming(r, info)
		f.reportResult(r, dispatch.OK, info, true)
		f.finish(r, ForwardResponse{ID: r.req.ID, Loop: r.loop, Conn: c.id})
	default:
		f.emit(DiscardResponse{ID: r.req.ID, Loop: r.loop, Conn: c.id})
		f.failAttempt(r, info.Result, info)
	}
}

// reportStreamed reports a streamed response to the dispatcher as a successful attempt. The
// reported latency ends at the headers, because the client determines how long the body
// takes.
func (f *Forwarder) reportStreamed(r *request) {
	f.leaveNode(r)
	if r.resultReported {
		return
	}
	r.resultReported = true
	f.notify(dispatch.AttemptCompleted{
		ID:         r.req.ID,
		Attempt:    r.attempt,
		Result:     dispatch.OK,
		Responded:  true,
		Latency:    r.headersAt - r.attemptStartedAt,
		QuotaUsage: r.headersInfo.QuotaUsage,
		PeerUnits:  r.headersInfo.PeerUnits,
		LoadReport: r.headersInfo.LoadReport,
	})
}

// correctCost tells the dispatcher how far a request's actual cost differs from the cost
// that the dispatcher counts. It does nothing if units is 0 or negative, which means that
// the cost is not known.
func (f *Forwarder) correctCost(r *request, units float64) {
	if !(units > 0) || units == r.chargedUnits || r.conn == nil {
		return
	}
	f.notify(dispatch.CostCorrection{
		Volume: r.req.Volume,
		Node:   r.conn.node.ID,
		Units:  units - r.chargedUnits,
	})
	r.chargedUnits = units
}
