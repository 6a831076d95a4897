package attributionlog

import (
	"errors"
	"fmt"

	"chalkstand/attribution"
)

// ErrFormat is the error for a file that is not an attribution log.
var ErrFormat = errors.New("this is not an attribution log")

// VersionError is the error for an attribution log of a version that this program cannot read.
type VersionError struct {
	Version string // version text in the header of the file
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %q; this program reads version %d", e.Version, attribution.Version)
}

// CorruptionError reports that a file is corrupt from a certain offset on. The records before this
// offset are intact.
type CorruptionError struct {
	File   string
	Offset int64 // position of the corrupt record in the file, in bytes
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: intact up to byte %d, then corrupt: %s", e.File, e.Offset, e.Reason)
}
