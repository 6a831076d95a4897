package gateway

import (
	"net/http"
	"strconv"
	"time"

	"chalkstand/attribution"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
)

// xmlHeader is the Content-Type header line of a response whose body is an XML document.
const xmlHeader = "Content-Type: application/xml\r\n"

// appendHead writes the status line and the gateway's own headers of a response to the worker's
// scratch buffer. The caller appends the other headers and the blank line that ends the head.
func (t *transaction) appendHead(status int) []byte {
	w := t.conn.worker
	if t.body != nil && !t.bodyComplete { // the parser would take the unread rest of the body for a request
		t.closeConn = true
	}
	if w.gateway.draining.Load() {
		t.closeConn = true
	}
	b := http1.AppendStatus(w.scratch[:0], status)
	b = http1.AppendHeader(b, "Server", "chalkstand")
	b = http1.AppendHeader(b, "Date", w.httpDate())
	b = http1.AppendHeader(b, "x-amz-request-id", t.id)
	if t.closeConn {
		b = http1.AppendHeader(b, "Connection", "close")
	} else if t.httpMinor == 0 {
		b = http1.AppendHeader(b, "Connection", "keep-alive")
	}
	t.status = status
	return b
}

// hasBody reports whether a response with this status may have a body and a Content-Length header.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// respond sends a complete response and finishes the transaction. The parameter extra holds
// additional header lines, each with its line end.
func (t *transaction) respond(status int, extra, body []byte) {
	if t.responded || t.headersSent {
		return // cannot happen: a transaction sends one response
	}
	b := t.appendHead(status)
	b = append(b, extra...)
	if hasBody(status) {
		b = http1.AppendLength(b, int64(len(body)))
	}
	t.writeResponse(b, body)
}

// writeResponse sends the head in b with the body, and finishes the transaction. The head is in the
// worker's scratch buffer, and writeResponse appends its final blank line.
func (t *transaction) writeResponse(b, body []byte) {
	b = append(b, "\r\n"...)
	if !t.headOnly {
		b = append(b, body...)
	}
	t.conn.worker.scratch = b[:0]
	t.headersSent = true
	t.conn.conn.Write(b)
	t.finish()
	t.conn.worker.limitBuffers()
}

// respondXML sends v as an XML document with status 200.
func (t *transaction) respondXML(v any) {
	t.respond(http.StatusOK, []byte(xmlHeader), objectapi.Marshal(v))
}

// respondError sends an error of the object API with the given status.
func (t *transaction) respondError(e *objectapi.Error, status int) {
	t.respond(status, []byte(xmlHeader), e.Document(t.resource, t.id))
}

// respondErrorCode sends an error of the object API with the status of its code.
func (t *transaction) respondErrorCode(e *objectapi.Error) { t.respondError(e, e.Status()) }

// respondSlowDown rejects the request with status 503. The gateway has not executed the request, and
// the client may retry it after the time retryAfter.
func (t *transaction) respondSlowDown(retryAfter time.Duration) {
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	h := http1.AppendHeader([]byte(xmlHeader), "Retry-After", strconv.FormatInt(max(seconds, 1), 10))
	h = http1.AppendHeader(h, "x-chalkstand-retry-after-ms", strconv.FormatInt(retryAfter.Milliseconds(), 10))
	e := objectapi.NewError(objectapi.CodeSlowDown, "Please reduce your request rate.")
	t.outcome = attribution.Rejected
	t.respond(http.StatusServiceUnavailable, h, e.Document(t.resource, t.id))
}

// respondFailure sends an error which tells the client that the request may or may not have been
// executed.
func (t *transaction) respondFailure(timedOut bool) {
	t.outcome = attribution.Failed
	if timedOut {
		e := objectapi.NewError(objectapi.CodeGatewayTimeout,
			"The storage node did not answer in time; whether the request was done is not known.")
		t.respondError(e, http.StatusGatewayTimeout)
		return
	}
	e := objectapi.NewError(objectapi.CodeInternalError,
		"We encountered an internal error; whether the request was done is not known.")
	t.respondError(e, http.StatusInternalServerError)
}

// respondResult turns the result of a node request into the response to the client.
func (t *transaction) respondResult(r nodeResult) {
	if t.responded {
		return
	}
	switch r.kind {
	case resultBuffered:
		t.proxyResponse(r)
	case resultStreamed:
		t.endStream()
	case resultAborted:
		t.abortStream()
	case resultRejected:
		t.respondSlowDown(r.retryAfter)
	case resultFailed:
		t.respondFailure(r.timedOut)
	}
}

// proxyResponse sends a node's buffered response to the client.
func (t *transaction) proxyResponse(r nodeResult) {
	if t.responded || t.headersSent {
		return
	}
	b := t.appendHead(r.resp.Status)
	b = appendNodeHeaders(b, r.resp.Headers)
	switch {
	case t.headOnly: // the node's Content-Length is the length of the body that a GET would return
		if v := r.resp.Headers.Get("content-length"); v != nil {
			b = http1.AppendHeader(b, "Content-Length", v)
		}
	case hasBody(r.resp.Status):
		b = http1.AppendLength(b, int64(len(r.body)))
	}
	t.writeResponse(b, r.body)
}

// responseHeaders sends the head of a node's response that is streamed to the client. It implements
// responseSink.
func (t *transaction) responseHeaders(n *nodeConn, r *http1.Response) {
	b := t.appendHead(r.Status)
	b = appendNodeHeaders(b, r.Headers)
	switch {
	case !r.Chunked && !r.UntilClose:
		b = http1.AppendLength(b, r.Length)
	case t.httpMinor == 1:
		t.chunkedResponse = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default: // an HTTP/1.0 client finds the end of the body by the end of the connection
		t.closeConn = true
	}
	b = append(b, "\r\n"...)
	t.conn.worker.scratch = b[:0]
	t.headersSent = true
	t.streamingFrom = n
	t.conn.setState(stateResponding)
	t.conn.conn.Write(b)
}

// responseData sends a part of a streamed body to the client. It returns false while the client does
// not read, which stops reading from the node. It implements responseSink.
func (t *transaction) responseData(p []byte) bool {
	conn := t.conn.conn
	if t.chunkedResponse {
		b := http1.AppendChunk(t.conn.worker.scratch[:0], p)
		t.conn.worker.scratch = b[:0]
		conn.Write(b)
	} else {
		conn.Write(p)
	}
	if conn.BufferedOutput() == 0 {
		t.conn.lastProgress = t.conn.worker.now()
		return true
	}
	t.wasStalled = true
	t.clientStall.start(t.now())
	return false
}

// endStream finishes the transaction of a streamed response once the response is complete.
func (t *transaction) endStream() {
	if t.responded {
		return
	}
	if t.chunkedResponse {
		t.conn.conn.Write([]byte(http1.LastChunk))
	}
	t.finish()
}

// abortStream resets the client's connection when a streamed response cannot be completed. The reset
// keeps the client from treating the incomplete response as a complete one.
func (t *transaction) abortStream() {
	if t.responded {
		return
	}
	t.status = 0
	t.outcome = attribution.Aborted
	t.markResponded()
	t.endSpan()
	t.conn.conn.Reset()
}

// appendNodeHeaders appends the headers of a node's response to the client's response. It skips the
// headers that apply to the node's connection only, and those that the gateway sets itself.
func appendNodeHeaders(b []byte, hs http1.Headers) []byte {
	for _, h := range hs {
		if isGatewayHeader(h.Name) {
			continue
		}
		b = append(b, h.Name...)
		b = append(b, ": "...)
		b = append(b, h.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

// isGatewayHeader reports whether a header of a node's response is not forwarded to the client. The
// gateway sets such a header itself, consumes it, or each hop sets it anew.
func isGatewayHeader(name []byte) bool {
	for _, n := range [...]string{
		"content-length", "transfer-encoding", "connection", "keep-alive", "trailer", "date", "server",
		loadHeader, timingHeader, "x-amz-request-id", "retry-after",
	} {
		if http1.EqualFold(name, n) {
			return true
		}
	}
	return false
}
