// Package resp is a codec for RESP2, the serialization protocol of the platform's clients and
// storage nodes, as far as they use it: commands are arrays of bulk strings; replies are lines,
// bulk strings, or arrays of bulk strings. It is incremental, does no I/O and keeps nothing: what
// it returns are slices of its input. Every count and length is bounded, and an invalid one is
// found as soon as its line is there, before what it announces has come.
package resp

import (
	"fmt"
	"strconv"
)

// Bounds of what is read. Sizes are in bytes.
const (
	MaxArguments = 16       // of a command
	MaxItems     = 8        // of an array in a reply
	MaxBulk      = 64 << 10 // a bulk string
	MaxFrame     = 80 << 10 // a whole command or reply
	MaxLine      = 1 << 10  // a reply of one line
	maxDigits    = 24       // of a count or length
)

// maxNumber is the value at which counts and lengths saturate, far beyond their bounds.
const maxNumber = 1 << 40

// maxQuoted is how many bytes of invalid input an error quotes.
const maxQuoted = 24

// Error means that the input does not follow the protocol. What comes after it on a connection
// cannot be parsed.
type Error struct{ Expected, Got string }

func (e *Error) Error() string { return "expected " + e.Expected + ", got " + e.Got }

// newError returns an Error whose Got is formatted.
func newError(expected, gotFormat string, args ...any) *Error {
	return &Error{Expected: expected, Got: fmt.Sprintf(gotFormat, args...)}
}

// unexpected returns an Error that quotes the beginning of the input.
func unexpected(expected string, input []byte) *Error {
	return &Error{Expected: expected, Got: strconv.Quote(string(input[:min(len(input), maxQuoted)]))}
}
