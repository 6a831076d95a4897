package http1

import "bytes"

// Header is one header line. Its bytes belong to the buffer that was parsed.
type Header struct{ Name, Value []byte }

// Headers are the header lines in the order received.
type Headers []Header

// Get returns the first value of the name, or nil. ASCII case is ignored.
func (h Headers) Get(name string) []byte {
	for i := range h {
		if EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return nil
}

// Has reports whether there is a header of the name. ASCII case is ignored.
func (h Headers) Has(name string) bool {
	for i := range h {
		if EqualFold(h[i].Name, name) {
			return true
		}
	}
	return false
}

// Clone returns a copy that does not share the parsed buffer.
func (h Headers) Clone() Headers {
	out := make(Headers, len(h))
	for i, header := range h {
		out[i] = Header{Name: bytes.Clone(header.Name), Value: bytes.Clone(header.Value)}
	}
	return out
}

// EqualFold reports whether b and s are equal under ASCII case folding.
func EqualFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(s[i]) {
			return false
		}
	}
	return true
}

// lower returns the lower case of an ASCII letter, and other bytes as they are.
func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + ('a' - 'A')
	}
	return c
}

// parseHeaders parses the header lines of a head, with the empty line that ends it, and appends
// them to headers.
func parseHeaders(b []byte, headers Headers, lim Limits) (Headers, *Error) {
	for {
		line, rest, err := cutLine(b)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if len(rest) != 0 { // Head.find stops at the first empty line
				return nil, badRequest("an empty line inside the head")
			}
			return headers, nil
		}
		if len(headers) == lim.Headers {
			return nil, &Error{statusHeaderFieldsTooLarge, "too many header lines"}
		}
		header, err := parseHeaderLine(line)
		if err != nil {
			return nil, err
		}
		headers = append(headers, header)
		b = rest
	}
}

// parseHeaderLine parses one header line, without its CRLF.
func parseHeaderLine(line []byte) (Header, *Error) {
	if isBlank(line[0]) {
		return Header{}, badRequest("a folded header line")
	}
	i := 0
	for i < len(line) && isTokenChar[line[i]] {
		i++
	}
	if i == 0 || i == len(line) || line[i] != ':' {
		return Header{}, badRequest("a header line is not NAME: VALUE")
	}
	value := trimBlanks(line[i+1:])
	for _, c := range value {
		if c < ' ' && c != '\t' || c == asciiDEL {
			return Header{}, badRequest("a header value holds a control character")
		}
	}
	return Header{Name: line[:i], Value: value}, nil
}

// trimBlanks returns b without leading and trailing spaces and tabs. Unlike bytes.Trim, it does not
// make an empty value nil.
func trimBlanks(b []byte) []byte {
	for len(b) > 0 && isBlank(b[0]) {
		b = b[1:]
	}
	for len(b) > 0 && isBlank(b[len(b)-1]) {
		b = b[:len(b)-1]
	}
	return b
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// connectionCloses reports whether a Connection header's value says that the connection closes
// after this message. byDefault is the result where the value says neither.
func connectionCloses(value []byte, byDefault bool) bool {
	closes := byDefault
	for len(value) > 0 {
		option, rest, _ := bytes.Cut(value, []byte(","))
		option = bytes.Trim(option, " \t")
		if EqualFold(option, "close") {
			return true
		}
		if EqualFold(option, "keep-alive") {
			closes = false
		}
		value = rest
	}
	return closes
}

// maxLengthDigits bounds a Content-Length so that it fits an int64.
const maxLengthDigits = 18

// ParseLength parses a Content-Length: 1 to 18 digits and nothing else.
func ParseLength(v []byte) (int64, bool) {
	if len(v) == 0 || len(v) > maxLengthDigits {
		return 0, false
	}
	var n int64
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

// asciiDEL is the one control character beyond the printable ones.
const asciiDEL = 0x7f

// isTokenChar holds the characters of a token in RFC 9110.
var isTokenChar = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c] = true
		t[c-('a'-'A')] = true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()
