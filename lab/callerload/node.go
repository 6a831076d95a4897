package callerload

import (
	"fmt"
	"time"

	"chalkstand/dispatch"
)

const (
	nodeCount      = 4
	nodeCores      = 2
	nodeQueueLimit = 64
	meanService    = 40 * time.Millisecond
	serviceSpread  = 0.25 // service times are within this share of their mean
	roundTrip      = 2 * time.Millisecond
)

// attempt is a request at a node.
type attempt struct {
	try    *try
	number int
	node   *node
	sentAt time.Duration
}

// node is a storage node with a queue in order of arrival.
type node struct {
	id     dispatch.NodeID
	factor float64
	busy   int
	queue  []*attempt
	served map[int]int  // units served by volume
	known  map[flow]int // part of served that a dispatcher knows of
}

// flow is a volume's requests through one dispatcher.
type flow struct{ volume, dispatcher int }

// peerUnits counts a served request. It returns the units that the node has served for the volume
// through other dispatchers since it last answered this one.
func (n *node) peerUnits(c *caller) float64 {
	f := flow{c.volume, c.dispatcher}
	n.served[c.volume]++
	others := n.served[c.volume] - n.known[f] - 1
	n.known[f] = n.served[c.volume]
	return float64(others)
}

func (s *simulation) startNodes() {
	var entries []dispatch.Node
	for i := range nodeCount {
		n := &node{
			id: dispatch.NodeID(fmt.Sprint("n", i)), factor: 1, served: map[int]int{}, known: map[flow]int{},
		}
		if i == 0 {
			n.factor = s.scenario.SlowNode
		}
		s.nodes[n.id] = n
		entries = append(entries, dispatch.Node{ID: n.id, Shard: dispatch.Shard(i)})
	}
	for i := range s.dispatchers {
		s.handle(i, dispatch.EndpointUpdate{Kind: dispatch.Snapshot, Nodes: entries})
	}
}

// sendAttempt brings a request to a node, which rejects it if its queue is full.
func (s *simulation) sendAttempt(a dispatch.SendAttempt) {
	t := s.tries[a.ID]
	t.attempt++
	sent := &attempt{try: t, number: t.attempt, node: s.nodes[a.Node], sentAt: s.now}
	t.current = sent
	if a.Deadline > 0 && a.Deadline < t.deadline {
		s.after(a.Deadline-s.now, func() { s.completeAttempt(sent, dispatch.TimedOut, false) })
	}
	s.after(roundTrip/2, func() { s.arriveAtNode(sent) })
}

func (s *simulation) arriveAtNode(a *attempt) {
	n := a.node
	switch {
	case n.busy < nodeCores:
		s.serve(a)
	case len(n.queue) < nodeQueueLimit:
		n.queue = append(n.queue, a)
	default:
		s.after(roundTrip/2, func() { s.completeAttempt(a, dispatch.Rejected, false) })
	}
}

// serve lets a core of the node work on an attempt. The node does the work also for a client that
// has left.
func (s *simulation) serve(a *attempt) {
	n := a.node
	n.busy++
	mean := float64(meanService) * n.factor
	service := time.Duration(mean * (1 + serviceSpread*(2*s.rng.Float64()-1)))
	s.after(service, func() {
		n.busy--
		s.work += service
		if a.try.over || a.try.current != a {
			s.wasted += service
		}
		s.after(roundTrip/2, func() { s.completeAttempt(a, dispatch.OK, true) })
		if len(n.queue) > 0 {
			next := n.queue[0]
			n.queue = n.queue[1:]
			s.serve(next)
		}
	})
}

// completeAttempt reports the end of an attempt to the dispatcher, once.
func (s *simulation) completeAttempt(a *attempt, result dispatch.AttemptResult, responded bool) {
	t := a.try
	if t.current != a {
		return
	}
	t.current = nil
	completed := dispatch.AttemptCompleted{
		ID: t.id, Attempt: a.number, Node: a.node.id, Result: result,
		Responded: responded, Latency: s.now - a.sentAt,
	}
	if responded {
		s.countServed(t)
		completed.PeerUnits = a.node.peerUnits(t.caller)
	}
	s.handle(t.caller.dispatcher, completed)
}
