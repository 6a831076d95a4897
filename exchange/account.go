package exchange

import (
	"chalkstand/accounts"
	"chalkstand/choice"
	"time"
)

// The accounts of requests: told to whoever asked for them, decided on by none.

// quantum is the shortest stretch of each node's history that waits are divided by.
// History reaches two minutes back at the least while the node is busy.
const quantum = 8 * time.Millisecond

func (n *node) occupancy() *accounts.Occupancy {
	if n.out == nil {
		n.out = accounts.NewOccupancy(quantum)
	}
	return n.out
}

// wasHeld puts the time since the last attempt, or the start, down to its causes, as
// choice tells them. The time in line is divided among those who had the node's
// places; what choice does not name is the key's turn or the pause between attempts.
func (x *Exchange) wasHeld(c *call, h choice.Held) {
	if !x.cfg.Accounts || c.stage != asked {
		return
	}
	before := c.span.Parts[accounts.Held]
	c.span.To(x.now, accounts.Held)
	left := c.span.Parts[accounts.Held] - before
	part := func(to accounts.Cause, d time.Duration) time.Duration {
		d = c.span.Move(accounts.Held, to, min(d, left))
		left -= d
		return d
	}
	part(accounts.Limit, h.Limit)
	part(accounts.ColdNode, h.Cold)
	part(accounts.Suspect, h.Suspect)
	line := part(accounts.Others, h.Line)
	if c.attempt < 0 {
		part(accounts.Turn, left)
	} else {
		part(accounts.Pause, left)
	}
	if line <= 0 {
		return
	}
	n := x.holder(c)
	if n == nil { // its node has gone meanwhile: behind whom is not known
		c.behind = append(c.behind, accounts.Blame{Time: line})
		return
	}
	for _, b := range n.occupancy().Between(x.now-line, x.now) {
		if b.Volume == string(c.req.Volume) {
			c.span.Move(accounts.Others, accounts.Own, b.Time)
		} else {
			c.behind = append(c.behind, b)
		}
	}
}

// holder is the node that a request is held for: the newest that serves its shard.
func (x *Exchange) holder(c *call) *node {
	var best *node
	for _, n := range x.order {
		if n.State == choice.Serving && n.Shard == c.req.Shard && (best == nil || best.Started < n.Started) {
			best = n
		}
	}
	return best
}

// lost puts an attempt's time down as lost: it brought no answer.
func (x *Exchange) lost(c *call) {
	c.span.To(x.now, accounts.Held)
	d := x.now - c.begun
	d -= c.span.Move(accounts.NodeTime, accounts.Lost, d)
	c.span.Move(accounts.Connect, accounts.Lost, d)
	x.leaves(c)
}

// leaves takes a call from those that are out at its node.
func (x *Exchange) leaves(c *call) {
	if n := c.occupies; n != nil {
		n.occupancy().Ended(x.now, string(c.req.Volume), c.req.Units)
		c.occupies = nil
	}
}

// sent notes that a call is out at a node, and who was there before it.
func (x *Exchange) sent(c *call, n *node) {
	c.span.To(x.now, accounts.NodeTime)
	if x.cfg.Accounts {
		c.occupies = n
		c.ahead = n.occupancy().Sent(x.now, string(c.req.Volume), c.req.Units)
	}
}

// timed divides the present attempt's time at its node as the node tells: no more
// than passed. The wait in its queue goes to those who were there before.
func (x *Exchange) timed(c *call, w Word) {
	if !x.cfg.Accounts || !w.Timed || c.told {
		return
	}
	c.told = true
	queue := c.span.Move(accounts.NodeTime, accounts.NodeQueue, w.Queue)
	c.span.Move(accounts.NodeTime, accounts.NodeWork, w.Work)
	c.behind = append(c.behind, accounts.Divide(c.ahead, queue)...)
}

// account gives a call's account, once.
func (x *Exchange) account(c *call, o accounts.Outcome) {
	if !x.cfg.Accounts {
		return
	}
	c.span.To(x.now, accounts.Gateway)
	c.entry = c.span.Account(string(c.req.Volume), o)
	c.entry.Behind = c.behind
	if unknown := c.entry.Parts[accounts.NodeTime]; unknown > 0 && !c.told {
		c.untold[0] = accounts.Untold{Call: uint64(c.req.ID), Attempt: c.attempt, Unknown: unknown, Ahead: c.ahead}
		c.entry.Untold = c.untold[:]
	}
	x.act(Accounted{ID: c.req.ID, Lane: c.lane, Entry: &c.entry})
}

// outcome tells how a final answer ends a request; nil: its client has left.
func outcome(a Action) accounts.Outcome {
	switch a.(type) {
	case Deliver:
		return accounts.Answered
	case Refuse:
		return accounts.Refused
	case Fail:
		return accounts.Failed
	case Cut:
		return accounts.Cut
	}
	return accounts.Left
}
