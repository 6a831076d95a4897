// Package http1 is the gateway's HTTP/1.1 codec. It parses messages incrementally from the bytes
// received so far, encodes messages, and does no I/O.
//
// The package rejects input that two HTTP implementations could interpret differently, because an
// attacker can use such input for request smuggling. Examples are conflicting or repeated lengths,
// a bare CR or LF, folded header lines, and spaces before the colon of a header.
package http1

import "fmt"

// Status codes of the responses to invalid requests.
const (
	statusBadRequest           = 400
	statusURITooLong           = 414
	statusExpectationFailed    = 417
	statusHeaderFieldsTooLarge = 431
	statusNotImplemented       = 501
	statusVersionNotSupported  = 505
)

// Status codes that determine whether a response has a body.
const (
	firstFinalStatus  = 200 // A response with a lower status code is an interim response.
	statusNoContent   = 204
	statusNotModified = 304
)

// Limits bounds the size of a message's head.
type Limits struct {
	Line    int // highest number of bytes in the request line or status line
	Headers int // highest number of header lines
	Head    int // highest number of bytes in the whole head, including the empty line that ends it
}

// DefaultLimits holds the limits that the gateway uses by default.
var DefaultLimits = Limits{Line: 8 << 10, Headers: 100, Head: 32 << 10}

// Error reports that a message is invalid. The caller must close the connection after an Error,
// because the end of the invalid message is unknown.
type Error struct {
	Status int    // status code of the response to an invalid request
	Reason string // explanation for the client, without a period at its end
}

func (e *Error) Error() string { return fmt.Sprintf("http: %d %s", e.Status, e.Reason) }

// badRequest returns an Error with status 400.
func badRequest(reason string) *Error { return &Error{Status: statusBadRequest, Reason: reason} }

// Framing describes how the receiver finds the end of a message's body.
type Framing struct {
	Length     int64 // length of the body in bytes; 0 if Chunked or UntilClose is set
	Chunked    bool  // The body uses the chunked transfer coding.
	UntilClose bool  // The body of this response ends when the server closes the connection.
}

// None reports whether the message has no body.
func (f Framing) None() bool { return f.Length == 0 && !f.Chunked && !f.UntilClose }
