// Package endpoints parses the documents of the platform's discovery service. A document is a list of
// storage nodes or a list of changes to it. The package does no I/O.
package endpoints

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"chalkstand/dispatch"
	"chalkstand/forwarder"
)

// A document must stay within these bounds.
const (
	MaxDocument = 4 << 20 // maximum size of a document in bytes
	maxNodes    = 16384
	maxID       = 256     // maximum length of a node's ID in bytes
	maxShard    = 1 << 24 // largest shard number
	maxStarted  = 1e15    // latest start time in milliseconds since the Unix epoch
)

// FormatError means that a document does not have the expected form.
type FormatError struct {
	Field    string // path of the field, such as "servers[3].id"; empty for the whole document
	Expected string
	Got      string
}

func (e *FormatError) Error() string {
	text := "discovery: "
	if e.Field != "" {
		text += e.Field + ": "
	}
	return text + "expected " + e.Expected + ", got " + e.Got
}

// Names holds the names of zones and machine kinds. The number of a zone or kind is the index of its
// name.
type Names struct{ Zones, Kinds []string }

// Document is a list of nodes. A snapshot contains all nodes. Any other document contains the nodes
// that have changed since an earlier version.
type Document struct {
	Version  int64
	Snapshot bool
	Nodes    []forwarder.Node
}

// documentJSON is the JSON form of a document.
type documentJSON struct {
	Version *int64       `json:"version"`
	Full    bool         `json:"full"`
	Servers []serverJSON `json:"servers"`
}

// serverJSON is the JSON form of a storage node.
type serverJSON struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Shard     int     `json:"cell"`
	State     string  `json:"state"`
	StartedMS float64 `json:"started_ms"`
}

// nodeStates maps the names of node states in documents to the dispatcher's states.
var nodeStates = map[string]dispatch.NodeState{
	"Ready":       dispatch.Ready,
	"Terminating": dispatch.Draining,
	"Gone":        dispatch.Removed,
}

// Parse parses a document. It rejects the whole document if one entry is invalid, because a list
// without that entry would be a different list. It returns a *FormatError or wraps an error of package
// json. The start times of the returned nodes are durations since the Unix epoch.
func Parse(text []byte, names Names) (Document, error) {
	if len(text) > MaxDocument {
		return Document{}, &FormatError{
			Expected: fmt.Sprintf("at most %d bytes", MaxDocument),
			Got:      strconv.Itoa(len(text)),
		}
	}
	var d documentJSON
	if err := json.Unmarshal(text, &d); err != nil {
		return Document{}, fmt.Errorf("discovery: invalid document: %w", err)
	}
	if d.Version == nil {
		return Document{}, &FormatError{Field: "version", Expected: "a number", Got: "none"}
	}
	if len(d.Servers) > maxNodes {
		return Document{}, &FormatError{
			Field:    "servers",
			Expected: fmt.Sprintf("at most %d", maxNodes),
			Got:      strconv.Itoa(len(d.Servers)),
		}
	}
	out := Document{Version: *d.Version, Snapshot: d.Full}
	for i := range d.Servers {
		n, err := d.Servers[i].node(names)
		if err != nil {
			err.Field = fmt.Sprintf("servers[%d].%s", i, err.Field)
			return Document{}, err
		}
		out.Nodes = append(out.Nodes, n)
	}
	return out, nil
}

// node returns the node that an entry describes, or an error for the first invalid field.
func (s *serverJSON) node(names Names) (forwarder.Node, *FormatError) {
	state, known := nodeStates[s.State]
	if err := s.check(state, known); err != nil {
		return forwarder.Node{}, err
	}
	return forwarder.Node{
		Addr: s.Addr,
		Node: dispatch.Node{
			ID:      dispatch.NodeID(s.ID),
			Zone:    zoneNumber(names.Zones, s.Zone),
			Kind:    indexOrLen(names.Kinds, s.Kind),
			Shard:   dispatch.Shard(s.Shard),
			State:   state,
			Started: time.Duration(s.StartedMS * float64(time.Millisecond)),
		},
	}, nil
}

// check returns an error for the first invalid field, or nil. A removed node needs no address.
func (s *serverJSON) check(state dispatch.NodeState, known bool) *FormatError {
	switch {
	case s.ID == "" || len(s.ID) > maxID:
		return &FormatError{"id", fmt.Sprintf("1 to %d bytes", maxID), strconv.Itoa(len(s.ID))}
	case !known:
		return &FormatError{"state", "Ready, Terminating or Gone", fmt.Sprintf("%q", s.State)}
	case s.StartedMS < 0 || s.StartedMS > maxStarted:
		return &FormatError{"started_ms", "a Unix time from 0 to 1e15 milliseconds", fmt.Sprintf("%g", s.StartedMS)}
	case s.Shard < int(dispatch.AnyShard) || s.Shard > maxShard:
		return &FormatError{"cell", "a shard number from -1 to 2^24", strconv.Itoa(s.Shard)}
	}
	if state == dispatch.Removed {
		return nil
	}
	if _, err := netip.ParseAddrPort(s.Addr); err != nil {
		return &FormatError{"addr", "address:port", fmt.Sprintf("%q", s.Addr)}
	}
	return nil
}

// indexOrLen returns the index of a name in names, or len(names) if names does not contain it.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// zoneNumber returns the number of a zone. If the settings do not name the zone, its number is a hash of
// the name beyond the numbers of the named zones. Unnamed zones need distinct numbers, because some
// requests may be retried only within their zone.
func zoneNumber(names []string, name string) int {
	i := indexOrLen(names, name)
	if i < len(names) {
		return i
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // Write on a hash.Hash never returns an error
	return i + int(h.Sum32())
}
