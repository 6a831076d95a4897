// Package endpoints parses the documents of the platform's discovery service: lists of storage
// nodes and changes to them. It does no I/O.
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

// Bounds of a document.
const (
	MaxDocument = 4 << 20 // bytes
	maxNodes    = 16384
	maxID       = 256     // bytes
	maxShard    = 1 << 24 // the largest number
	maxStarted  = 1e15    // milliseconds since the Unix epoch
)

// FormatError means that a document does not have the expected form.
type FormatError struct {
	Field    string // as in "servers[3].id"; empty for the document as a whole
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

// Names are the names of zones and machine kinds; the number of each is its index.
type Names struct{ Zones, Kinds []string }

// Document is a list of nodes: all of them in a snapshot, else those that have changed since an
// earlier version.
type Document struct {
	Version  int64
	Snapshot bool
	Nodes    []forwarder.Node
}

// documentJSON is a document as it is sent.
type documentJSON struct {
	Version *int64       `json:"version"`
	Full    bool         `json:"full"`
	Servers []serverJSON `json:"servers"`
}

// serverJSON is a storage node as it is sent.
type serverJSON struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	StartedMS float64 `json:"started_ms"`
}

// nodeStates maps the names of states that are sent.
var nodeStates = map[string]dispatch.NodeState{
	"Ready":       dispatch.Ready,
	"Terminating": dispatch.Draining,
	"Gone":        dispatch.Removed,
}

// Parse parses a document. An invalid entry makes the whole document invalid: a list without it
// would be another list. The error is a *FormatError, or one of package json. Start times are
// since the Unix epoch.
func Parse(text []byte, names Names) (Document, error) {
	if len(text) > MaxDocument {
		return Document{}, &FormatError{
			Expected: fmt.Sprintf("at most %d bytes", MaxDocument),
			Got:      strconv.Itoa(len(text)),
		}
	}
	var d documentJSON
	if err := json.Unmarshal(text, &d); err != nil {
		return Document{}, fmt.Errorf("discovery: %w", err)
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

// node returns the node that an entry describes, or the first of its fields that is invalid.
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
			Shard:   dispatch.Shard(s.Cell),
			State:   state,
			Started: time.Duration(s.StartedMS * float64(time.Millisecond)),
		},
	}, nil
}

// check returns the first field that is invalid. A removed node needs no address.
func (s *serverJSON) check(state dispatch.NodeState, known bool) *FormatError {
	switch {
	case s.ID == "" || len(s.ID) > maxID:
		return &FormatError{"id", fmt.Sprintf("1 to %d bytes", maxID), strconv.Itoa(len(s.ID))}
	case !known:
		return &FormatError{"state", "Ready, Terminating or Gone", fmt.Sprintf("%q", s.State)}
	case s.StartedMS < 0 || s.StartedMS > maxStarted:
		return &FormatError{"started_ms", "Unix time in milliseconds", fmt.Sprintf("%g", s.StartedMS)}
	case s.Cell < int(dispatch.AnyShard) || s.Cell > maxShard:
		return &FormatError{"cell", "a shard", strconv.Itoa(s.Cell)}
	}
	if state == dispatch.Removed {
		return nil
	}
	if _, err := netip.ParseAddrPort(s.Addr); err != nil {
		return &FormatError{"addr", "address:port", fmt.Sprintf("%q", s.Addr)}
	}
	return nil
}

// indexOrLen returns a name's index; len(names) for all names that are not in the list.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

// zoneNumber returns a zone's number. One that the settings do not name has a number of its own
// beyond theirs, as what may be retried within a zone must not be retried in another.
func zoneNumber(names []string, name string) int {
	i := indexOrLen(names, name)
	if i < len(names) {
		return i
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash.Hash never returns an error
	return i + int(h.Sum32())
}
