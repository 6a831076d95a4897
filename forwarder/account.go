package forwarder

import (
	"chalkstand/attribution"
	"chalkstand/dispatch"
	"time"
)

// The accounts of requests: told to whoever asked for them, decided on by none.

// quantum is the shortest stretch of each node's history that waits are divided by.
// History reaches two minutes back at the least while the node is busy.
const quantum = 8 * time.Millisecond

func (n *node) occupancy() *attribution.Occupancy {
	if n.out == nil {
		n.out = attribution.NewOccupancy(quantum)
	}
	return n.out
}

// wasHeld puts the time since the last attempt, or the start, down to its causes, as
// the dispatcher tells them. The time in line is divided among those who had the node's
// places; what the dispatcher does not name is the key's turn or the pause between attempts.
func (x *Forwarder) wasHeld(c *call, h dispatch.QueueTime) {
	if !x.cfg.Attribution || c.stage != asked {
		return
	}
	before := c.span.Parts[attribution.QueuedUnknown]
	c.span.Enter(x.now, attribution.QueuedUnknown)
	left := c.span.Parts[attribution.QueuedUnknown] - before
	part := func(to attribution.Component, d time.Duration) time.Duration {
		d = c.span.Move(attribution.QueuedUnknown, to, min(d, left))
		left -= d
		return d
	}
	part(attribution.RateLimited, h.RateLimit)
	part(attribution.SlowStart, h.SlowStart)
	part(attribution.Ejected, h.Ejected)
	line := part(attribution.QueuedBehindOthers, h.Concurrency)
	if c.attempt < 0 {
		part(attribution.KeyOrder, left)
	} else {
		part(attribution.RetryBackoff, left)
	}
	if line <= 0 {
		return
	}
	n := x.holder(c)
	if n == nil { // its node has gone meanwhile: behind whom is not known
		c.behind = append(c.behind, attribution.Contribution{Time: line})
		return
	}
	for _, b := range n.occupancy().Between(x.now-line, x.now) {
		if b.Volume == string(c.req.Volume) {
			c.span.Move(attribution.QueuedBehindOthers, attribution.QueuedBehindOwn, b.Time)
		} else {
			c.behind = append(c.behind, b)
		}
	}
}

// holder is the node that a request is held for: the newest that serves its shard.
func (x *Forwarder) holder(c *call) *node {
	var best *node
	for _, n := range x.order {
		if n.State == dispatch.Ready && n.Shard == c.req.Shard && (best == nil || best.Started < n.Started) {
			best = n
		}
	}
	return best
}

// lost puts an attempt's time down as lost: it brought no answer.
func (x *Forwarder) lost(c *call) {
	c.span.Enter(x.now, attribution.QueuedUnknown)
	d := x.now - c.begun
	d -= c.span.Move(attribution.NodeUnknown, attribution.FailedAttempts, d)
	c.span.Move(attribution.Dialing, attribution.FailedAttempts, d)
	x.leaves(c)
}

// leaves takes a call from those that are out at its node.
func (x *Forwarder) leaves(c *call) {
	if n := c.occupies; n != nil {
		n.occupancy().Ended(x.now, string(c.req.Volume), c.req.Units)
		c.occupies = nil
	}
}

// sent notes that a call is out at a node, and who was there before it.
func (x *Forwarder) sent(c *call, n *node) {
	c.span.Enter(x.now, attribution.NodeUnknown)
	if x.cfg.Attribution {
		c.occupies = n
		c.ahead = n.occupancy().Sent(x.now, string(c.req.Volume), c.req.Units)
	}
}

// timed divides the present attempt's time at its node as the node tells: no more
// than passed. The wait in its queue goes to those who were there before.
func (x *Forwarder) timed(c *call, w ResponseInfo) {
	if !x.cfg.Attribution || !w.HasTiming || c.told {
		return
	}
	c.told = true
	queue := c.span.Move(attribution.NodeUnknown, attribution.NodeQueue, w.QueueTime)
	c.span.Move(attribution.NodeUnknown, attribution.NodeService, w.ServiceTime)
	c.behind = append(c.behind, attribution.Divide(c.ahead, queue)...)
}

// account gives a call's account, once.
func (x *Forwarder) account(c *call, o attribution.Outcome) {
	if !x.cfg.Attribution {
		return
	}
	c.span.Enter(x.now, attribution.Gateway)
	c.entry = c.span.Finish(string(c.req.Volume), o)
	c.entry.Behind = c.behind
	if unknown := c.entry.Parts[attribution.NodeUnknown]; unknown > 0 && !c.told {
		c.untold[0] = attribution.Unreported{Call: uint64(c.req.ID), Attempt: c.attempt, Unknown: unknown, Ahead: c.ahead}
		c.entry.Unreported = c.untold[:]
	}
	x.act(RequestAttributed{ID: c.req.ID, Loop: c.lane, Entry: &c.entry})
}

// outcome tells how a final answer ends a request; nil: its client has left.
func outcome(a Action) attribution.Outcome {
	switch a.(type) {
	case ForwardResponse:
		return attribution.Completed
	case Reject:
		return attribution.Rejected
	case Fail:
		return attribution.Failed
	case AbortResponse:
		return attribution.Aborted
	}
	return attribution.Canceled
}
