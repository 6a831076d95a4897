// This file maintains the list of nodes from endpoint updates. It also closes idle
// connections to nodes that are no longer used.

package forwarder

import (
	"slices"
	"strings"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

// node is a storage node together with its connections.
type node struct {
	Node
	connCount        int                    // connections in any state: dialing, idle or busy
	streamCount      int                    // requests that count toward MaxStreamsPerNode
	occupancyHistory *attribution.Occupancy // created by occupancy on the first use
	idleConns        []*conn                // idle connections, the most recently used last
}

// onEndpointUpdate applies an update to the list of nodes and passes it to the dispatcher.
func (f *Forwarder) onEndpointUpdate(e EndpointUpdate) {
	update := dispatch.EndpointUpdate{Kind: e.Kind}
	if e.Kind == dispatch.Snapshot || e.Kind == dispatch.Cached {
		for _, n := range f.sortedNodes {
			n.State = dispatch.Removed
		}
	}
	for _, entry := range e.Nodes {
		f.updateNode(entry)
		update.Nodes = append(update.Nodes, entry.Node)
	}
	slices.SortFunc(f.sortedNodes, func(a, b *node) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	f.sortedNodes = slices.DeleteFunc(f.sortedNodes, func(n *node) bool {
		if n.State != dispatch.Ready {
			f.closeIdleConns(n)
		}
		unused := n.State == dispatch.Removed && n.connCount == 0
		if unused {
			delete(f.nodes, n.ID)
		}
		return unused
	})
	f.notify(update)
}

// updateNode adds or updates the node that an entry describes. If the entry has no address,
// the node keeps its previous address.
func (f *Forwarder) updateNode(entry Node) {
	n := f.nodes[entry.ID]
	if n == nil {
		n = &node{}
		f.nodes[entry.ID] = n
		f.sortedNodes = append(f.sortedNodes, n)
	}
	if entry.Addr == "" {
		entry.Addr = n.Addr
	}
	if n.Addr != entry.Addr || n.Started != entry.Started { // the node is now a different process
		f.closeIdleConns(n)
	}
	n.Node = entry
}

// closeIdleConns closes all idle connections to a node.
func (f *Forwarder) closeIdleConns(n *node) {
	for len(n.idleConns) > 0 {
		f.closeConn(n.idleConns[len(n.idleConns)-1])
	}
}
