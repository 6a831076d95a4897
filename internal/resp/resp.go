// Package resp is a codec for the part of RESP2, the Redis serialization protocol, that the
// platform's clients and storage nodes use. A command is an array of bulk strings. A reply is a
// line, a bulk string, or an array of bulk strings.
//
// The codec works incrementally on the bytes received so far. It does no I/O and keeps no state, and
// the values that it returns are slices of its input. Every count and length is bounded. The codec
// rejects an invalid count or length as soon as it has read that line, before the announced bytes
// arrive.
package resp

import (
	"fmt"
	"strconv"
)

// Limits of the input that the codec accepts.
const (
	MaxArguments = 16       // words in a command, including the command's name
	MaxItems     = 8        // items in a reply that is an array
	MaxBulk      = 64 << 10 // bytes in the content of a bulk string
	MaxFrame     = 80 << 10 // bytes in a whole command or reply
	MaxLine      = 1 << 10  // bytes in a reply of one line
	maxDigits    = 24       // digits in a count or length
)

// maxNumber is the value that stands for every larger count or length in the input. It is far above
// the limits of counts and lengths, so that the larger value is still rejected.
const maxNumber = 1 << 40

// maxQuoted is the highest number of bytes of invalid input that an error quotes.
const maxQuoted = 24

// Error reports input that does not follow the protocol. The bytes that follow such input on the
// same connection cannot be parsed.
type Error struct{ Expected, Got string }

func (e *Error) Error() string { return "expected " + e.Expected + ", got " + e.Got }

// newError returns an Error whose Got is formatted from gotFormat and args.
func newError(expected, gotFormat string, args ...any) *Error {
	return &Error{Expected: expected, Got: fmt.Sprintf(gotFormat, args...)}
}

// unexpected returns an Error whose Got quotes the first maxQuoted bytes of the input.
func unexpected(expected string, input []byte) *Error {
	return &Error{Expected: expected, Got: strconv.Quote(string(input[:min(len(input), maxQuoted)]))}
}
