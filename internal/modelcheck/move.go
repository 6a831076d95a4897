package modelcheck

import (
	"fmt"
	"slices"
)

// Kind is a kind of move.
type Kind uint8

// The kinds of move.
const (
	StartRequest     Kind = iota // a client sends a request
	RunLoop0                     // event loop 0 performs its pending actions
	RunLoop1                     // event loop 1 does
	FireTimer                    // the forwarder's timer fires
	CompleteDial                 // a connection is established
	FailDial                     // a connection is refused
	RespondOK                    // a node responds with status 200
	RespondAndClose              // it responds with status 200 and closes the connection
	RespondError                 // it responds with status 500
	RespondReject                // it responds with status 503
	RespondStart                 // it sends the headers of a large response and half of the body
	RespondRest                  // it sends the rest of the body
	RespondInvalid               // it sends bytes that are not a response
	RespondTwice                 // it sends a response and the start of another
	ResetConn                    // a connection breaks
	CancelRequest                // a client disconnects
	StreamBody                   // the node starts to read a request's body
	FinishBody                   // the whole body has been sent
	DrainNode                    // discovery reports a node as draining
	RemoveNode                   // discovery reports a node as removed
	AddNode                      // discovery reports a new node
	RestartNode                  // discovery reports another process at a node's address
	RestartGateway               // the gateway restarts with a stale endpoint list
	RefreshEndpoints             // the gateway receives the current endpoint list
	AdvanceBefore                // time passes until just before the next deadline
	AdvanceTo                    // time passes until the next deadline
	kindCount
)

// target is what a kind of move acts on.
type target uint8

const (
	noTarget target = iota
	requestTarget
	connTarget
	nodeTarget
)

func (t target) String() string {
	return [...]string{"", "request", "connection", "node"}[t]
}

// kinds describes the kinds of move. The names are those in replays, which are stored: they
// are frozen. The weights are relative frequencies in a random walk.
var kinds = [kindCount]struct {
	name   string
	target target
	weight int
}{
	StartRequest:     {"arrive", requestTarget, 6},
	RunLoop0:         {"follow", noTarget, 12},
	RunLoop1:         {"follow-2", noTarget, 12},
	FireTimer:        {"fire", noTarget, 12},
	CompleteDial:     {"dial-ok", connTarget, 8},
	FailDial:         {"dial-fail", connTarget, 1},
	RespondOK:        {"served", connTarget, 6},
	RespondAndClose:  {"closing", connTarget, 1},
	RespondError:     {"errored", connTarget, 1},
	RespondReject:    {"full", connTarget, 1},
	RespondStart:     {"headed", connTarget, 3},
	RespondRest:      {"rest", connTarget, 4},
	RespondInvalid:   {"garbage", connTarget, 1},
	RespondTwice:     {"twice", connTarget, 1},
	ResetConn:        {"reset", connTarget, 1},
	CancelRequest:    {"leave", requestTarget, 1},
	StreamBody:       {"flow", requestTarget, 3},
	FinishBody:       {"body-sent", requestTarget, 3},
	DrainNode:        {"drain", nodeTarget, 1},
	RemoveNode:       {"remove", nodeTarget, 1},
	AddNode:          {"list", nodeTarget, 1},
	RestartNode:      {"renew", nodeTarget, 1},
	RestartGateway:   {"crash", noTarget, 1},
	RefreshEndpoints: {"truth", noTarget, 2},
	AdvanceBefore:    {"before", noTarget, 3},
	AdvanceTo:        {"reach", noTarget, 3},
}

// String returns the kind's name in replays.
func (k Kind) String() string { return kinds[k].name }

func (k Kind) target() target { return kinds[k].target }

// kindNames returns the names of all kinds.
func kindNames() []string {
	var names []string
	for k := range kindCount {
		names = append(names, k.String())
	}
	return names
}

// kindByName returns the kind of a name; false where there is none.
func kindByName(name string) (Kind, bool) {
	i := slices.Index(kindNames(), name)
	return Kind(max(i, 0)), i >= 0
}

// Move is one event in a world.
type Move struct {
	Kind Kind
	// Target is the number of a request or a connection, or the index of a node in the
	// scenario; 0 where the kind acts on none of these.
	Target uint32
}

// moveText returns a move as it stands in a replay.
func (w *World) moveText(m Move) string {
	switch m.Kind.target() {
	case nodeTarget:
		return fmt.Sprintf("%v %s", m.Kind, w.nodes[m.Target].id)
	case noTarget:
		return m.Kind.String()
	}
	return fmt.Sprintf("%v %d", m.Kind, m.Target)
}
