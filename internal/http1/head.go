package http1

import "bytes"

var (
	crlf       = []byte("\r\n")
	doubleCRLF = []byte("\r\n\r\n")
)

// Head parses heads from input that grows, without scanning bytes twice. The zero value is ready to
// use.
type Head struct{ scanned int }

// Reset has to be called when the input is another than before.
func (h *Head) Reset() { h.scanned = 0 }

// find returns the length of the head at the start of b, with the empty line that ends it; 0 means
// that more input is needed.
func (h *Head) find(b []byte, lim Limits) (int, *Error) {
	from := max(h.scanned-(len(doubleCRLF)-1), 0)
	if i := bytes.Index(b[from:], doubleCRLF); i >= 0 {
		n := from + i + len(doubleCRLF)
		h.scanned = 0
		if n > lim.Head {
			return 0, &Error{statusHeaderFieldsTooLarge, "the head is too large"}
		}
		return n, nil
	}
	h.scanned = len(b)
	if len(b) >= lim.Head {
		return 0, &Error{statusHeaderFieldsTooLarge, "the head is too large"}
	}
	return 0, checkFirstLine(b, lim)
}

// checkFirstLine checks the part of an incomplete head that is there: a first line that is too long,
// or not HTTP at all, needs no more input.
func checkFirstLine(b []byte, lim Limits) *Error {
	i := bytes.IndexByte(b, '\n')
	switch {
	case i < 0 && len(b) > lim.Line || i > lim.Line:
		return &Error{statusURITooLong, "the request line is too long"}
	case i == 0 || i > 0 && b[i-1] != '\r':
		return badRequest("a line ends in a bare LF")
	}
	return nil
}

// cutLine returns the first line of b, without its CRLF, and the rest.
func cutLine(b []byte) (line, rest []byte, err *Error) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' {
		return nil, nil, badRequest("a line ends in a bare LF")
	}
	return b[:i-1], b[i+1:], nil
}

// parseVersion returns the minor version of an HTTP/1.x version.
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
