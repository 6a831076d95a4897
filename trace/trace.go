// Package trace records the events and actions of a dispatcher and replays them. A replay
// passes the recorded events to a new dispatcher with the same configuration and seed, which
// must return the same actions. A trace is a zstd stream of JSON lines: a header, then one
// line per event. A truncated trace replays up to its last complete line.
package trace

import (
	"errors"
	"fmt"
)

// Version is the version of the trace format.
const Version = 1

// ErrQueueFull is returned by Writer.Close if recording stopped early because events
// arrived faster than they could be written.
var ErrQueueFull = errors.New("trace: event queue is full, recording stopped early")

// ErrInvalidHeader is wrapped by the error that Replay returns if the input does not start
// with a trace header.
var ErrInvalidHeader = errors.New("invalid trace header")

// VersionError is wrapped by the error that Replay returns if the trace has a version other
// than Version.
type VersionError struct {
	Version int // version in the header of the trace
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d is not supported, expected %d", e.Version, Version)
}
