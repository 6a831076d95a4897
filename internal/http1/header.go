package http1

import "bytes"

// Header is one header line. Its slices point into the buffer that it was parsed from.
type Header struct{ Name, Value []byte }

// Headers holds a message's header lines in the order in which they were received.
type Headers []Header

// Get returns the value of the first header with the given name, or nil if there is none. Names are
// compared without regard to ASCII case.
func (h Headers) Get(name string) []byte {
	for i := range h {
		if EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return nil
}

// Has reports whether a header with the given name exists. Names are compared without regard to
// ASCII case.
func (h Headers) Has(name string) bool {
	for i := range h {
		if EqualFold(h[i].Name, name) {
			return true
		}
	}
	return false
}

// Clone returns a copy of the headers that does not point into the parsed buffer.
func (h Headers) Clone() Headers {
	size := 0
	for _, header := range h {
		size += len(header.Name) + len(header.Value)
	}
	text := make([]byte, 0, size) // one buffer for all headers, because a head may have very many short ones
	clone := func(b []byte) []byte {
		from := len(text)
		text = append(text, b...)
		return text[from:len(text):len(text)]
	}
	out := make(Headers, len(h))
	for i, header := range h {
		out[i] = Header{Name: clone(header.Name), Value: clone(header.Value)}
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

// lower returns an upper-case ASCII letter in lower case, and every other byte unchanged.
func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + ('a' - 'A')
	}
	return c
}

// parseHeaders parses the header lines at the start of b up to the empty line that ends the head,
// and appends them to headers.
func parseHeaders(b []byte, headers Headers, limits Limits) (Headers, *Error) {
	for {
		line, rest, err := cutLine(b)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if len(rest) != 0 { // b ends with the first empty line that HeadParser.find found.
				return nil, badRequest("an empty line inside the head")
			}
			return headers, nil
		}
		if len(headers) == limits.Headers {
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

// parseHeaderLine parses one header line, which is passed without its CRLF.
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

// trimBlanks returns b without leading and trailing spaces and tabs. Unlike bytes.Trim, it returns
// an empty slice and not nil if nothing is left.
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

// connectionCloses reports whether the connection closes after this message, according to the value
// of its Connection header. It returns byDefault if the value holds neither close nor keep-alive.
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

// maxLengthDigits is the highest number of digits in a Content-Length. Any number of 18 digits fits
// an int64.
const maxLengthDigits = 18

// ParseLength parses the value of a Content-Length header, which must consist of 1 to 18 decimal
// digits. It returns false for any other value.
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

// asciiDEL is the only ASCII control character whose code is above those of the printable ones.
const asciiDEL = 0x7f

// isTokenChar reports for each byte whether RFC 9110 allows it in a token.
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
