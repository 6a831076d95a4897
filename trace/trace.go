// Package trace records a dispatcher's events and actions, and replays them: the same
// settings, seed and events must give the same actions. A trace is a zstd stream of JSON
// lines, a header and one line for each event. A trace that was cut off replays up to its
// last whole line.
package trace

import (
	"errors"
	"fmt"
)

// Version is the version of the stored form.
const Version = 1

// ErrQueueFull is returned by Writer.Close where the trace ended early, because events
// came faster than they could be written.
var ErrQueueFull = errors.New("trace: the queue is full; the trace ends here")

// ErrInvalidHeader is wrapped by Replay's error for input that does not start with the
// header of a trace.
var ErrInvalidHeader = errors.New("no header of a trace")

// VersionError is returned by Replay for a trace of another version.
type VersionError struct {
	Version int // of the trace
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d is not supported, want %d", e.Version, Version)
}
