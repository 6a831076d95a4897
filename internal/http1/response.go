package http1

// Response is a parsed response head. Its bytes belong to the buffer that was parsed.
type Response struct {
	Status  int
	Minor   int // of HTTP/1.x
	Headers Headers
	Framing
	Close bool // the connection closes after the response
}

// Parts of a status line such as "HTTP/1.1 200 OK".
const (
	statusCodeStart = len("HTTP/1.1 ")
	statusCodeEnd   = len("HTTP/1.1 200")
)

// ParseResponse parses one response head at the start of b into r, reusing its slices, and returns
// its length; 0 means that more input is needed. method is that of the request: it decides whether
// a body follows.
func (h *Head) ParseResponse(b []byte, lim Limits, method string, r *Response) (int, *Error) {
	n, err := h.find(b, lim)
	if n == 0 || err != nil {
		return 0, err
	}
	*r = Response{Headers: r.Headers[:0]}
	line, rest, err := cutLine(b[:n])
	if err != nil {
		return 0, err
	}
	if err := r.parseStatusLine(line); err != nil {
		return 0, err
	}
	if r.Headers, err = parseHeaders(rest, r.Headers, lim); err != nil {
		return 0, err
	}
	return n, r.applyHeaders(method)
}

// parseStatusLine parses a status line, without its CRLF.
func (r *Response) parseStatusLine(line []byte) (err *Error) {
	if len(line) < statusCodeEnd || line[statusCodeStart-1] != ' ' ||
		len(line) > statusCodeEnd && line[statusCodeEnd] != ' ' {
		return badRequest("the status line is not VERSION CODE REASON")
	}
	if r.Minor, err = parseVersion(line[:statusCodeStart-1]); err != nil {
		return err
	}
	code, ok := ParseLength(line[statusCodeStart:statusCodeEnd])
	if !ok || code < 100 || code > 599 {
		return badRequest("the status code is not a number from 100 to 599")
	}
	r.Status = int(code)
	return nil
}

// applyHeaders sets the fields that follow from headers, and checks that the body's framing is
// unambiguous.
func (r *Response) applyHeaders(method string) *Error {
	var counts headerCounts
	r.Close = r.Minor == 0
	for i := range r.Headers {
		if err := r.applyHeader(&r.Headers[i], &counts); err != nil {
			return err
		}
	}
	if r.Chunked && (counts.lengths > 0 || r.Minor == 0) {
		return badRequest("Transfer-Encoding beside Content-Length or in HTTP/1.0")
	}
	switch {
	case r.hasNoBody(method):
		r.Framing = Framing{}
	case !r.Chunked && counts.lengths == 0:
		r.UntilClose = true
		r.Close = true
	}
	return nil
}

// hasNoBody reports whether a response has no body, whatever its headers say.
func (r *Response) hasNoBody(method string) bool {
	return method == "HEAD" || r.Status < firstFinalStatus ||
		r.Status == statusNoContent || r.Status == statusNotModified
}

// applyHeader sets the field that follows from one header.
func (r *Response) applyHeader(h *Header, counts *headerCounts) *Error {
	switch {
	case EqualFold(h.Name, "content-length"):
		n, ok := ParseLength(h.Value)
		if counts.lengths++; counts.lengths > 1 || !ok {
			return badRequest("Content-Length is given twice or is not a number")
		}
		r.Length = n
	case EqualFold(h.Name, "transfer-encoding"):
		if counts.codings++; counts.codings > 1 || !EqualFold(h.Value, "chunked") {
			return badRequest("a transfer coding other than chunked")
		}
		r.Chunked = true
	case EqualFold(h.Name, "connection"):
		r.Close = connectionCloses(h.Value, r.Close)
	}
	return nil
}
