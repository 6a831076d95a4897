package attributionlog

import (
	"errors"
	"fmt"

	"chalkstand/attribution"
)

// ErrFormat is returned for a file that is not an attribution log.
var ErrFormat = errors.New("this is not an attribution log")

// VersionError is returned for a log of another version.
type VersionError struct {
	Version string // as it stands in the file
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %q; this program reads version %d", e.Version, attribution.Version)
}

// CorruptionError says where a file stops being whole. The records before it can be read.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: whole up to byte %d; there %s", e.File, e.Offset, e.Reason)
}
