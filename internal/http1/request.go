package http1

import "bytes"

// Request is a parsed request head. Its slices point into the buffer that it was parsed from.
type Request struct {
	Method, Target []byte
	Minor          int // minor version x of HTTP/1.x
	Headers        Headers
	Framing
	HasLength bool // The request has a Content-Length header.
	Close     bool // The connection closes after the response.
	Expect100 bool // The client waits for 100 Continue before it sends the body.
}

// ParseRequest parses the request head at the start of b into r and returns the head's length. It
// reuses the slice r.Headers. It returns 0 if b does not hold a complete head yet. The caller must
// skip empty lines before the request with SkipBlank.
func (h *HeadParser) ParseRequest(b []byte, limits Limits, r *Request) (int, *Error) {
	n, err := h.find(b, limits)
	if n == 0 || err != nil {
		return 0, err
	}
	*r = Request{Headers: r.Headers[:0]}
	line, rest, err := cutLine(b[:n])
	if err != nil {
		return 0, err
	}
	if len(line) > limits.Line {
		return 0, &Error{statusURITooLong, "the request line is too long"}
	}
	if err := r.parseRequestLine(line); err != nil {
		return 0, err
	}
	if r.Headers, err = parseHeaders(rest, r.Headers, limits); err != nil {
		return 0, err
	}
	return n, r.applyHeaders()
}

// SkipBlank returns the number of bytes that empty lines occupy at the start of b.
func SkipBlank(b []byte) int {
	n := 0
	for len(b)-n >= 2 && b[n] == '\r' && b[n+1] == '\n' {
		n += 2
	}
	return n
}

// parseRequestLine parses a request line, which is passed without its CRLF.
func (r *Request) parseRequestLine(line []byte) *Error {
	first := bytes.IndexByte(line, ' ')
	last := bytes.LastIndexByte(line, ' ')
	if first <= 0 || last <= first+1 {
		return badRequest("the request line is not METHOD TARGET VERSION")
	}
	r.Method = line[:first]
	r.Target = line[first+1 : last]
	for _, c := range r.Method {
		if !isTokenChar[c] {
			return badRequest("the method holds a character that is not allowed")
		}
	}
	for _, c := range r.Target {
		if c <= ' ' || c >= asciiDEL {
			return badRequest("the target holds a character that is not allowed")
		}
	}
	minor, err := parseVersion(line[last+1:])
	r.Minor = minor
	return err
}

// headerCounts counts the Host, Content-Length and Transfer-Encoding headers of a message. Each of
// them may occur at most once.
type headerCounts struct{ hosts, lengths, codings int }

// applyHeaders sets the fields of r that its headers determine. It returns an error if the headers
// contradict each other about the body's framing, or if Host is missing or repeated.
func (r *Request) applyHeaders() *Error {
	var counts headerCounts
	r.Close = r.Minor == 0
	for i := range r.Headers {
		if err := r.applyHeader(&r.Headers[i], &counts); err != nil {
			return err
		}
	}
	switch {
	case r.Chunked && r.HasLength:
		return badRequest("both Content-Length and Transfer-Encoding are given")
	case r.Chunked && r.Minor == 0:
		return badRequest("Transfer-Encoding in HTTP/1.0")
	case counts.hosts > 1:
		return badRequest("Host is given twice")
	case counts.hosts == 0 && r.Minor == 1:
		return badRequest("no Host is given")
	}
	return nil
}

// applyHeader sets the fields of r that one header determines. It ignores Upgrade and TE, because
// RFC 9110 lets a server ignore them.
func (r *Request) applyHeader(h *Header, counts *headerCounts) *Error {
	switch {
	case EqualFold(h.Name, "content-length"):
		if counts.lengths++; counts.lengths > 1 {
			return badRequest("Content-Length is given twice")
		}
		n, ok := ParseLength(h.Value)
		if !ok {
			return badRequest("Content-Length is not a number")
		}
		r.Length = n
		r.HasLength = true
	case EqualFold(h.Name, "transfer-encoding"):
		if counts.codings++; counts.codings > 1 {
			return badRequest("Transfer-Encoding is given twice")
		}
		if !EqualFold(h.Value, "chunked") {
			return &Error{statusNotImplemented, "the only transfer coding known here is chunked"}
		}
		r.Chunked = true
	case EqualFold(h.Name, "host"):
		counts.hosts++
	case EqualFold(h.Name, "connection"):
		r.Close = connectionCloses(h.Value, r.Close)
	case EqualFold(h.Name, "expect"):
		if !EqualFold(h.Value, "100-continue") {
			return &Error{statusExpectationFailed, "only 100-continue can be expected here"}
		}
		r.Expect100 = r.Minor == 1
	}
	return nil
}
