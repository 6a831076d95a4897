package http1

import "bytes"

// Request is a parsed request head. Its bytes belong to the buffer that was parsed.
type Request struct {
	Method, Target []byte
	Minor          int // of HTTP/1.x
	Headers        Headers
	Framing
	HasLength bool // there is a Content-Length
	Close     bool // the connection closes after the response
	Expect100 bool // the client waits for 100 Continue before it sends the body
}

// ParseRequest parses one request head at the start of b into r, reusing its
// slices, and returns its length; 0 means that more input is needed. The caller skips empty lines
// before the request with SkipBlank.
func (h *Head) ParseRequest(b []byte, lim Limits, r *Request) (int, *Error) {
	n, err := h.find(b, lim)
	if n == 0 || err != nil {
		return 0, err
	}
	*r = Request{Headers: r.Headers[:0]}
	line, rest, err := cutLine(b[:n])
	if err != nil {
		return 0, err
	}
	if len(line) > lim.Line {
		return 0, &Error{statusURITooLong, "the request line is too long"}
	}
	if err := r.parseRequestLine(line); err != nil {
		return 0, err
	}
	if r.Headers, err = parseHeaders(rest, r.Headers, lim); err != nil {
		return 0, err
	}
	return n, r.applyHeaders()
}

// SkipBlank returns how many bytes of empty lines are at the start of b.
func SkipBlank(b []byte) int {
	n := 0
	for len(b)-n >= 2 && b[n] == '\r' && b[n+1] == '\n' {
		n += 2
	}
	return n
}

// parseRequestLine parses a request line, without its CRLF.
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

// headerCounts counts the headers that may be there once.
type headerCounts struct{ hosts, lengths, codings int }

// applyHeaders sets the fields that follow from headers, and checks that the body's framing is
// unambiguous.
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

// applyHeader sets the field that follows from one header. Upgrade and TE need no support: RFC 9110
// lets a server ignore them.
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
