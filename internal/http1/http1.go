// Package http1 is the gateway's HTTP/1.1 codec: bytes to messages and back,
// incremental, without I/O. It is strict where leniency lets two readers of the
// same bytes disagree (request smuggling): conflicting or repeated lengths, bare
// CR or LF, folded lines and spaces before a colon are rejected.
package http1

import "fmt"

// Status codes of errors.
const (
	statusBadRequest           = 400
	statusURITooLong           = 414
	statusExpectationFailed    = 417
	statusHeaderFieldsTooLarge = 431
	statusNotImplemented       = 501
	statusVersionNotSupported  = 505
)

// Status codes that decide on framing.
const (
	firstFinalStatus  = 200 // those below are interim responses
	statusNoContent   = 204
	statusNotModified = 304
)

// Limits are the bounds of a message's head.
type Limits struct {
	Line    int // bytes of the request or status line
	Headers int // number of header lines
	Head    int // bytes of the whole head, with its ending
}

// DefaultLimits are the limits of the gateway's default settings.
var DefaultLimits = Limits{Line: 8 << 10, Headers: 100, Head: 32 << 10}

// Error means that a message is invalid: the status to respond with and the reason, as a sentence.
// The framing of its connection is in doubt: it has to be closed.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http: %d %s", e.Status, e.Reason) }

// badRequest returns an Error with status 400.
func badRequest(reason string) *Error { return &Error{Status: statusBadRequest, Reason: reason} }

// Framing tells where a message's body ends.
type Framing struct {
	Length     int64 // of the body, in bytes; 0 with Chunked or UntilClose
	Chunked    bool
	UntilClose bool // a response whose body ends with its connection
}

// None reports whether there is no body.
func (f Framing) None() bool { return f.Length == 0 && !f.Chunked && !f.UntilClose }
