package http1

import "bytes"

var (
	crlf       = []byte("\r\n")
	doubleCRLF = []byte("\r\n\r\n")
)

// HeadParser parses the head of a message while the message is still being received. It remembers
// how many bytes it has searched for the end of the head, so that it does not search them again when
// more bytes arrive. The zero value is ready to use.
type HeadParser struct{ scanned int }

// Reset makes h forget the bytes that it has searched. The caller must call Reset before it passes
// the bytes of another message.
func (h *HeadParser) Reset() { h.scanned = 0 }

// find returns the length of the head at the start of b, including the empty line that ends the
// head. It returns 0 if b does not hold a complete head yet.
func (h *HeadParser) find(b []byte, limits Limits) (int, *Error) {
	from := max(h.scanned-(len(doubleCRLF)-1), 0)
	if i := bytes.Index(b[from:], doubleCRLF); i >= 0 {
		n := from + i + len(doubleCRLF)
		h.scanned = 0
		if n > limits.Head {
			return 0, &Error{statusHeaderFieldsTooLarge, "the head is too large"}
		}
		return n, nil
	}
	h.scanned = len(b)
	if len(b) >= limits.Head {
		return 0, &Error{statusHeaderFieldsTooLarge, "the head is too large"}
	}
	return 0, checkFirstLine(b, limits)
}

// checkFirstLine checks the first line of an incomplete head. It rejects a line that is too long or
// ends in a bare LF as soon as the input shows it, so that the caller does not wait for more input.
func checkFirstLine(b []byte, limits Limits) *Error {
	i := bytes.IndexByte(b, '\n')
	switch {
	case i < 0 && len(b) > limits.Line || i > limits.Line:
		return &Error{statusURITooLong, "the request line is too long"}
	case i == 0 || i > 0 && b[i-1] != '\r':
		return badRequest("a line ends in a bare LF")
	}
	return nil
}

// cutLine returns the first line of b without its CRLF, and the bytes of b after that line.
func cutLine(b []byte) (line, rest []byte, err *Error) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' {
		return nil, nil, badRequest("a line ends in a bare LF")
	}
	return b[:i-1], b[i+1:], nil
}

// parseVersion returns the minor version x of the version "HTTP/1.x", which must be 0 or 1.
func parseVersion(v []byte) (minor int, err *Error) {
	switch string(v) {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if len(v) == len("HTTP/1.1") && string(v[:5]) == "HTTP/" && v[6] == '.' {
		return 0, &Error{statusVersionNotSupported, "only HTTP/1.0 and 1.1 are spoken here"}
	}
	return 0, badRequest("the version is not HTTP/1.1")
}
