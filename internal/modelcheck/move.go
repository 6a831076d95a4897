package modelcheck

import (
	"fmt"
	"slices"
)

// MoveKind is the kind of a move, for example the arrival of a request or the reset of a connection.
type MoveKind uint8

// These constants are the kinds of moves that can happen in a world.
const (
	StartRequest     MoveKind = iota // a client sends a request
	RunLoop0                         // event loop 0 performs its pending actions
	RunLoop1                         // event loop 1 performs its pending actions
	FireTimer                        // the forwarder's timer fires
	CompleteDial                     // a connection is established
	FailDial                         // a node refuses a connection
	RespondOK                        // a node responds with status 200
	RespondAndClose                  // a node responds with status 200 and closes the connection
	RespondError                     // a node responds with status 500
	RespondReject                    // a node responds with status 503
	RespondStart                     // a node sends the headers and half of the body of a large response
	RespondRest                      // a node sends the second half of the body of a large response
	RespondInvalid                   // a node sends bytes that are not an HTTP response
	RespondTwice                     // a node sends a response and the start of a second one
	ResetConn                        // a connection breaks
	CancelRequest                    // a client disconnects
	StreamBody                       // a node starts to read the body of a request
	FinishBody                       // the gateway has sent the whole body of a request
	DrainNode                        // discovery reports a node as draining
	RemoveNode                       // discovery reports a node as removed
	AddNode                          // discovery reports a new node
	RestartNode                      // discovery reports a new process at the address of a node
	RestartGateway                   // the gateway restarts with a stale endpoint list
	RefreshEndpoints                 // the gateway receives the current endpoint list
	ShutDownGateway                  // the gateway begins to shut down
	AdvanceBefore                    // the clock advances to just before the next deadline
	AdvanceTo                        // the clock advances to the next deadline
	kindCount
)

// target is the type of object that a kind of move acts on.
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

// kinds describes each kind of move. Stored replays contain the names, so the names must not
// change. The weights are the relative frequencies of the kinds in a random walk.
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
	ShutDownGateway:  {"shutdown", noTarget, 1},
	AdvanceBefore:    {"before", noTarget, 3},
	AdvanceTo:        {"reach", noTarget, 3},
}

// String returns the name that replays use for the kind.
func (k MoveKind) String() string { return kinds[k].name }

// target returns the type of object that the kind of move acts on.
func (k MoveKind) target() target { return kinds[k].target }

// kindNames returns the names of all kinds of moves.
func kindNames() []string {
	var names []string
	for k := range kindCount {
		names = append(names, k.String())
	}
	return names
}

// kindByName returns the kind of move with the given name, and false if no kind has that name.
func kindByName(name string) (MoveKind, bool) {
	i := slices.Index(kindNames(), name)
	return MoveKind(max(i, 0)), i >= 0
}

// Move is one event in a world, for example the arrival of a certain request.
type Move struct {
	Kind MoveKind
	// Target is the number of a request or connection, or the index of a node in the scenario.
	// It is 0 if the kind acts on none of these.
	Target uint32
}

// moveText returns the text of a move in a replay.
func (w *World) moveText(m Move) string {
	switch m.Kind.target() {
	case nodeTarget:
		return fmt.Sprintf("%v %s", m.Kind, w.nodes[m.Target].id)
	case noTarget:
		return m.Kind.String()
	}
	return fmt.Sprintf("%v %d", m.Kind, m.Target)
}
