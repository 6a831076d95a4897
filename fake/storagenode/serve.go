package storagenode

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"chalkstand/internal/objectapi"
)

// ServeHTTP implements http.Handler.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := n.recordArrival(r)
	stopWatch := n.watchDisconnect(r, e)
	defer func() {
		stopWatch()
		n.recordEnd(e)
	}()
	f := n.matchFault(r)
	if n.failEarly(w, r, e, f) {
		return
	}
	op, opErr := parseOperation(r)
	if opErr != nil {
		n.update(e, func(x *LogEntry) {
			x.ParseError = opErr.Error()
			x.Status = opErr.Status()
		})
		n.writeResponse(w, r, e, errorResponse(opErr, r.URL.Path), nil)
		return
	}
	n.update(e, func(x *LogEntry) { x.Op = op.Kind })
	if !n.simulateWork(op, e, f) {
		if n.canceled(r) {
			resetConnection(w)
			return
		}
		n.reject(w, e)
		return
	}
	resp := n.openBody(r, n.execute(op, r, e))
	defer resp.close()
	if f.kind() == LoseResponse {
		n.stall(r, f)
		resetConnection(w)
		return
	}
	n.update(e, func(x *LogEntry) { x.Status = resp.status })
	n.writeResponse(w, r, e, resp, f)
}

// failEarly applies a fault that prevents the execution of the operation. It returns false if f is another
// kind of fault or nil.
func (n *Node) failEarly(w http.ResponseWriter, r *http.Request, e *LogEntry, f *activeFault) bool {
	switch f.kind() {
	case Reject:
		n.reject(w, e)
	case ResetConnection:
		resetConnection(w)
	case Stall:
		n.stall(r, f)
		resetConnection(w)
	case ServerError:
		n.update(e, func(x *LogEntry) { x.Status = http.StatusInternalServerError })
		err := objectapi.NewError(objectapi.CodeInternalError, "We encountered an internal error.")
		n.writeResponse(w, r, e, errorResponse(err, r.URL.Path), nil)
	default:
		return false
	}
	return true
}

// canceled reports whether the client has disconnected or the node has stopped.
func (n *Node) canceled(r *http.Request) bool { return r.Context().Err() != nil || n.ctx.Err() != nil }

// reject sends a response with status 503, which tells the client that the request was not executed.
func (n *Node) reject(w http.ResponseWriter, e *LogEntry) {
	n.update(e, func(x *LogEntry) { x.Status = http.StatusServiceUnavailable })
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(objectapi.NewError(objectapi.CodeSlowDown, "Please reduce your request rate.").Document("", "0"))
}

// writeResponse sends a response. It applies the faults TruncateResponse and StallInResponse. It ignores
// errors of sending, because they mean that the client has disconnected.
func (n *Node) writeResponse(w http.ResponseWriter, r *http.Request, e *LogEntry, resp response, f *activeFault) {
	h := w.Header()
	for k, v := range resp.header {
		h.Set(k, v)
	}
	h.Set("endpoint-load-metrics", n.loadReport(r.Header))
	if t := n.timings(e); t != "" {
		h.Set("Server-Timing", t)
	}
	length := resp.contentLength()
	if resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(resp.status)
	if r.Method == http.MethodHead || length == 0 {
		return
	}
	body := &bodyReader{Reader: resp.content()}
	kind := f.kind()
	if kind != TruncateResponse && kind != StallInResponse {
		n.copyBody(w, r, body, length)
		return
	}
	_, _ = io.CopyN(w, body, length/2)
	_ = http.NewResponseController(w).Flush()
	if kind == TruncateResponse {
		resetConnection(w)
		return
	}
	n.stall(r, f)
	if !n.canceled(r) {
		n.copyBody(w, r, body, length)
	}
}

// copyBody sends the rest of a body whose total length is given. If reading fails or ends early, it resets the
// connection, so that the client detects the incomplete response.
func (n *Node) copyBody(w http.ResponseWriter, r *http.Request, body *bodyReader, length int64) {
	_, err := io.Copy(w, body)
	if body.err == nil && err == nil && body.read < length {
		body.err = io.ErrUnexpectedEOF
	}
	if body.err != nil {
		_ = n.data.internalError(r.URL.Path, body.err) // only for the log: the response has already started
		resetConnection(w)
	}
}

// bodyReader records the read errors of a body, so that they can be distinguished from errors of sending it.
type bodyReader struct {
	io.Reader
	read int64 // number of bytes read so far
	err  error // error of the last failed read, except io.EOF
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read += int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// openBody opens the body of a response and returns the response with it. If the body cannot be opened, it returns an
// internal error as the response. It also opens the body of a response to HEAD, which is not sent, so that HEAD and
// GET have the same status.
func (n *Node) openBody(r *http.Request, resp response) response {
	if resp.blob == nil || resp.length == 0 {
		return resp
	}
	opened, err := resp.blob.open(resp.offset, resp.length)
	if err != nil {
		return errorResponse(n.data.internalError(r.URL.Path, err), r.URL.Path)
	}
	resp.opened = opened
	return resp
}

// response is a response of the object API. Its body is a document or a range of a blob.
type response struct {
	status int
	header map[string]string
	body   []byte        // document; not used if blob is set
	blob   *blob         // blob with the content; nil if the body is a document
	offset int64         // start of the range in blob
	length int64         // length of the range in bytes
	opened io.ReadCloser // reader of the range; nil before openBody is called
}

func xmlResponse(v any) response {
	return response{
		status: http.StatusOK,
		header: map[string]string{"Content-Type": "application/xml"},
		body:   objectapi.Marshal(v),
	}
}

func errorResponse(err *objectapi.Error, resource string) response {
	return response{
		status: err.Status(),
		header: map[string]string{"Content-Type": "application/xml"},
		body:   err.Document(resource, "0"),
	}
}

func (p *response) contentLength() int64 {
	if p.blob != nil {
		return p.length
	}
	return int64(len(p.body))
}

// content returns a reader of the body. openBody must have been called.
func (p *response) content() io.Reader {
	if p.opened != nil {
		return p.opened
	}
	return bytes.NewReader(p.body)
}

// close closes the body. It ignores errors, because closing files that were only read loses no data.
func (p *response) close() {
	if p.opened != nil {
		_ = p.opened.Close()
	}
}
