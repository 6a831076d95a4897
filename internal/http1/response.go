package http1

// Response is a parsed response head. Its slices point into the buffer that it was parsed from.
type Response struct {
	Status  int
	Minor   int // minor version x of HTTP/1.x
	Headers Headers
	Framing
	Close bool // The connection closes after the response.
}

// Positions of the status code in a status line such as "HTTP/1.1 200 OK".
const (
	statusCodeStart = len("HTTP/1.1 ")
	statusCodeEnd   = len("HTTP/1.1 200")
)

// ParseResponse parses the response head at the start of b into r and returns the head's length. It
// reuses the slice r.Headers. It returns 0 if b does not hold a complete head yet. method is the
// method of the request, because a response to HEAD has no body.
func (h *HeadParser) ParseResponse(b []byte, limits Limits, method string, r *Response) (int, *Error) {
	n, err := h.find(b, limits)
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
	if r.Headers, err = parseHeaders(rest, r.Headers, limits); err != nil {
		return 0, err
	}
	return n, r.applyHeaders(method)
}

// parseStatusLine parses a status line, which is passed without its CRLF.
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

// applyHeaders sets the fields of r that its headers determine. It returns an error if the headers
// contradict each other about the body's framing. method is the method of the request.
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

// hasNoBody reports whether the request's method or the response's status code rules out a body,
// regardless of the response's headers.
func (r *Response) hasNoBody(method string) bool {
	return method == "HEAD" || r.Status < firstFinalStatus ||
		r.Status == statusNoContent || r.Status == statusNotModified
}

// applyHeader sets the fields of r that one header determines.
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
