// Package endpoints reads the documents of the platform's discovery: lists of storage
// nodes and their changes. It does no I/O.
package endpoints

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"
)

// Bounds of a document.
const (
	MaxDocument = 4 << 20 // bytes
	maxNodes    = 16384
	maxID       = 256 // bytes
)

// Names gives zones and kinds of machine their numbers.
type Names struct{ Zones, Kinds []string }

// Document is a list of nodes, or of changes to one.
type Document struct {
	Version  int64
	Snapshot bool
	Nodes    []forwarder.Node
}

type document struct {
	Version *int64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Started float64 `json:"started_ms"`
}

var states = map[string]dispatch.NodeState{"Ready": dispatch.Ready, "Terminating": dispatch.Draining, "Gone": dispatch.Removed}

// Parse reads a document. A bad entry makes the whole of it bad: a list with a part
// missing would be another list. Times of start are since the Unix epoch.
func Parse(text []byte, names Names) (Document, error) {
	var d document
	if len(text) > MaxDocument {
		return Document{}, fmt.Errorf("discovery: %d bytes, at most %d", len(text), MaxDocument)
	}
	if err := json.Unmarshal(text, &d); err != nil {
		return Document{}, fmt.Errorf("discovery: %w", err)
	}
	switch {
	case d.Version == nil:
		return Document{}, fmt.Errorf("discovery: version: missing")
	case len(d.Servers) > maxNodes:
		return Document{}, fmt.Errorf("discovery: %d servers, at most %d", len(d.Servers), maxNodes)
	}
	out := Document{Version: *d.Version, Snapshot: d.Full}
	for i, s := range d.Servers {
		n, err := s.node(names)
		if err != nil {
			return Document{}, fmt.Errorf("discovery: servers[%d].%w", i, err)
		}
		out.Nodes = append(out.Nodes, n)
	}
	return out, nil
}

func (s *server) node(names Names) (forwarder.Node, error) {
	state, known := states[s.State]
	switch {
	case s.ID == "" || len(s.ID) > maxID:
		return forwarder.Node{}, fmt.Errorf("id: expected 1 to %d bytes, got %d", maxID, len(s.ID))
	case !known:
		return forwarder.Node{}, fmt.Errorf("state: expected Ready, Terminating or Gone, got %q", s.State)
	case s.Started < 0 || s.Started > 1e15:
		return forwarder.Node{}, fmt.Errorf("started_ms: expected Unix time in milliseconds, got %g", s.Started)
	case s.Cell < -1 || s.Cell > 1<<24:
		return forwarder.Node{}, fmt.Errorf("cell: expected a shard, got %d", s.Cell)
	}
	if _, err := netip.ParseAddrPort(s.Addr); err != nil && state != dispatch.Removed {
		return forwarder.Node{}, fmt.Errorf("addr: %w", err)
	}
	return forwarder.Node{Addr: s.Addr, Node: dispatch.Node{
		ID: dispatch.NodeID(s.ID), Zone: zone(names.Zones, s.Zone),
		Kind: place(names.Kinds, s.Kind), Shard: dispatch.Shard(s.Cell), State: state,
		Started: time.Duration(s.Started * float64(time.Millisecond)),
	}}, nil
}

// place is a name's number; those that the settings don't name share one.
func place(names []string, s string) int {
	if i := slices.Index(names, s); i >= 0 {
		return i
	}
	return len(names)
}

// zone is a zone's number. One that the settings don't name has a number of its own behind theirs: what
// may be repeated within a zone must not be repeated in another.
func zone(names []string, s string) int {
	i := place(names, s)
	if i == len(names) {
		h := fnv.New32a()
		h.Write([]byte(s))
		i += int(h.Sum32())
	}
	return i
}
