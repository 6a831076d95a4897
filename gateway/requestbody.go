package gateway

import (
	"errors"

	"chalkstand/attribution"
	"chalkstand/internal/http1"
	"chalkstand/internal/objectapi"
	"chalkstand/internal/payload"
	"chalkstand/internal/sigv4"
)

// maxObject is the maximum size in bytes of an object in one PUT, according to the specification of
// the object API.
const maxObject = 5 << 30

// receiveBody validates the headers that describe the request body. It then starts to buffer the body.
// If the operation can stream its body, and the body is larger than limits.replay or of unknown length,
// receiveBody executes the operation at once instead.
func (t *transaction) receiveBody(r *http1.Request, auth *sigv4.Auth) {
	limits := t.conn.worker.gateway.cfg.Limits
	if !r.HasLength && !r.Chunked && t.op.Kind != objectapi.CreateBucket {
		t.respondErrorCode(objectapi.NewError(objectapi.CodeMissingContentLength, "You must provide the Content-Length HTTP header."))
		return
	}
	body, err := payload.New(r, auth)
	if err != nil {
		t.closeConn = t.closeConn || !r.None()
		t.respondErrorCode(err)
		return
	}
	t.body = body
	maxLength := int64(limits.Document)
	if t.op.Kind.Streams() {
		maxLength = maxObject
	}
	if body.Length > maxLength {
		t.respondErrorCode(objectapi.NewError(objectapi.CodeEntityTooLarge, "Your proposed upload exceeds the maximum allowed size."))
		return
	}
	if t.op.Kind.Streams() && (body.Length < 0 || body.Length > int64(limits.Replay)) {
		t.execute(r)
		return
	}
	t.startBuffering(r)
}

// startBuffering reads the body into memory and then executes the operation.
func (t *transaction) startBuffering(r *http1.Request) {
	if !t.conn.worker.gateway.hasMemoryFor(max(t.body.Length, 0)) {
		t.closeConn = t.closeConn || !r.None()
		t.respondSlowDown(memoryRetryAfter)
		return
	}
	// The fields of r point into the input buffer, which is reused before the body is complete, so
	// they are copied here.
	request := &http1.Request{Method: []byte(t.method), Target: []byte(string(r.Target)), Headers: r.Headers.Clone()}
	t.onBody = func(t *transaction) { t.execute(request) }
	if t.body.Length > 0 {
		t.buffered = make([]byte, 0, t.body.Length)
		t.reserveBody(cap(t.buffered))
	}
	t.sendContinue()
	t.conn.setState(stateBufferingBody)
	t.enterComponent(attribution.RequestBody)
	if r.None() {
		t.conn.bufferBody(nil)
	}
}

// bufferBody reads a part of a request body into memory, and returns the number of bytes consumed.
// Once the body is complete it calls the transaction's onBody function.
func (c *clientConn) bufferBody(b []byte) int {
	t := c.current
	used, done, err := t.body.Feed(b, func(p []byte) { t.buffered = append(t.buffered, p...) })
	switch {
	case err != nil:
		t.rejectInvalidBody(err)
		return used
	case len(t.buffered) > c.worker.gateway.cfg.Limits.Document:
		t.closeConn = true
		t.rejectBody(objectapi.NewError(objectapi.CodeEntityTooLarge, "The document is larger than is taken here."))
		return used
	case !done:
		t.reserveBody(cap(t.buffered))
		c.worker.limitBuffers()
	default:
		t.bodyComplete = true
		c.setState(stateWaiting)
		t.enterComponent(attribution.Gateway)
		t.onBody(t)
	}
	return used
}

// sendContinue sends the interim response 100 Continue if the client waits for it.
func (t *transaction) sendContinue() {
	if t.continuePending {
		t.continuePending = false
		t.conn.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// rejectInvalidBody rejects a request whose body has invalid HTTP framing or does not match its
// signature, checksum or length.
func (t *transaction) rejectInvalidBody(err error) {
	t.closeConn = true
	var apiErr *objectapi.Error
	var httpErr *http1.Error
	switch {
	case errors.As(err, &apiErr):
		t.rejectBody(apiErr)
	case errors.As(err, &httpErr):
		t.rejectBody(objectapi.NewError(objectapi.CodeInvalidRequest, "The body is not valid HTTP: "+httpErr.Reason))
	}
}

// rejectBody cancels the transaction's node requests and responds with an error.
func (t *transaction) rejectBody(e *objectapi.Error) {
	t.cancelNodeRequests()
	t.respondErrorCode(e)
}
