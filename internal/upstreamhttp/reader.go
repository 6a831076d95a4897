// Package upstreamhttp reads the HTTP responses on one connection to a storage node. It is a state
// machine without I/O: its owner reports what was sent and passes in what was received, and gets
// steps that say what that means. A connection whose framing is in any doubt is broken and
// stays so.
package upstreamhttp

import "chalkstand/internal/http1"

// Status codes that decide on framing.
const (
	statusSwitchingProtocols = 101
	firstFinalStatus         = 200 // those below are interim responses
)

// Reader reads the responses on one connection. With its Limits set, the zero value is ready to use.
type Reader struct {
	Limits http1.Limits

	// Response is the present response's head from the steps Headers, BodyData, BufferedResponse
	// and ResponseEnd on. Its bytes are valid as long as the input, unless Buffer was called.
	Response http1.Response

	state       State
	method      string // of the request
	bufferLimit int    // a body of up to so many bytes is buffered
	head        http1.Head
	total       int            // bytes of head and body, of a buffered response of known length
	remaining   int64          // bytes of a streamed body of known length; untilClose
	chunks      *http1.Chunked // of a chunked body, else nil
	body        []byte         // of a chunked response that is buffered
	surplus     bool           // bytes came with the response's end that are not part of it
}

// untilClose is the value of Reader.remaining for a body that ends with its connection.
const untilClose = -1

// State returns the present state.
func (r *Reader) State() State { return r.state }

// RequestSent has to be called when a request is sent. A response's body of up to bufferLimit bytes
// is buffered. It returns false where the connection must not carry a request.
func (r *Reader) RequestSent(method string, bufferLimit int) bool {
	if r.state != Idle {
		return false
	}
	r.state = AwaitingHeaders
	r.method = method
	r.bufferLimit = bufferLimit
	r.head.Reset()
	return true
}

// ResponseTaken has to be called when the owner is done with the response: another request may be
// sent. If the response is not whole, the connection is broken instead.
func (r *Reader) ResponseTaken() {
	r.body = nil
	r.chunks = nil
	switch r.state {
	case Idle:
	case Complete:
		r.state = Idle
	default:
		r.state = Broken
	}
}

// Break marks the connection as broken.
func (r *Reader) Break() {
	r.state = Broken
	r.body = nil
	r.chunks = nil
}

// Reusable reports whether the connection may carry another request after the response that is
// complete: the node allows it, and no bytes came after the response that would be taken for the
// next one.
func (r *Reader) Reusable() bool {
	return r.state == Complete && !r.Response.Close && !r.surplus
}

// Next reads what it can of b, the bytes that were received and not yet consumed. It has to be
// called again with the rest until it returns NeedMore.
func (r *Reader) Next(b []byte) Step {
	switch r.state {
	case AwaitingHeaders:
		return r.readHead(b)
	case Buffered:
		if r.chunks != nil {
			return r.bufferChunks(b)
		}
		return r.bufferBody(b, 0)
	case Streaming:
		if r.chunks != nil {
			return r.streamChunks(b)
		}
		return r.streamBody(b)
	case HeadersReceived:
		return Step{Kind: NeedMore}
	case Broken:
		return Step{Kind: ProtocolError, Reason: "the connection is broken"}
	}
	if len(b) == 0 {
		return Step{Kind: NeedMore}
	}
	if r.state == Complete {
		return r.fail("bytes after the response")
	}
	return r.fail("a response without a request")
}

// Stream passes on the body of the response whose headers were received.
func (r *Reader) Stream() {
	if r.state == HeadersReceived {
		r.state = Streaming
	}
}

// Buffer collects the body of the response whose headers were received. It is meant for chunked
// responses, whose length is not known; one of known length that gets here is too large.
func (r *Reader) Buffer() Step {
	if r.state != HeadersReceived || r.chunks == nil {
		return r.fail(tooLarge)
	}
	r.state = Buffered
	r.Response.Headers = r.Response.Headers.Clone() // the input moves on
	return Step{Kind: NeedMore}
}

// PeerClosed has to be called when the node has closed its side. The result is ResponseEnd where
// that is how the response ends, and ProtocolError otherwise.
func (r *Reader) PeerClosed() Step {
	if r.state == Streaming && r.chunks == nil && r.remaining < 0 {
		r.state = Complete
		r.Response.Close = true
		return Step{Kind: ResponseEnd}
	}
	return r.fail("connection closed by the node")
}

const tooLarge = "the response is larger than may be buffered"

// fail breaks the connection.
func (r *Reader) fail(reason string) Step {
	r.Break()
	return Step{Kind: ProtocolError, Reason: reason}
}

// complete ends a response with a step that consumes its last bytes of b.
func (r *Reader) complete(s Step, b []byte) Step {
	r.state = Complete
	r.surplus = len(b) > s.Consumed
	return s
}

// readHead reads a response's head. Interim responses are skipped.
func (r *Reader) readHead(b []byte) Step {
	n, err := r.head.ParseResponse(b, r.Limits, r.method, &r.Response)
	if err != nil {
		return r.fail(err.Reason)
	}
	if n == 0 {
		return Step{Kind: NeedMore}
	}
	res := &r.Response
	if res.Status == statusSwitchingProtocols {
		return r.fail("the node changed the protocol unasked")
	}
	if res.Status < firstFinalStatus {
		r.head.Reset()
		s := r.Next(b[n:])
		s.Consumed += n
		return s
	}
	r.remaining = res.Length
	r.chunks = nil
	switch {
	case res.Chunked:
		r.chunks = &http1.Chunked{}
	case res.UntilClose:
		r.remaining = untilClose
	case res.Length <= int64(r.bufferLimit):
		r.total = n + int(res.Length)
		r.state = Buffered
		return r.bufferBody(b, n)
	}
	r.state = HeadersReceived
	return Step{Kind: Headers, Consumed: n}
}

// bufferBody waits until a response of known length is whole. Until then all of it stays in the
// owner's buffer. headLength is the length of the head where it was parsed from this very b, or 0.
func (r *Reader) bufferBody(b []byte, headLength int) Step {
	if len(b) < r.total {
		return Step{Kind: NeedMore}
	}
	if headLength == 0 {
		// Parsed again, as the buffer may have moved and Response points into it.
		headLength, _ = r.head.ParseResponse(b, r.Limits, r.method, &r.Response)
	}
	return r.complete(Step{Kind: BufferedResponse, Consumed: r.total, Body: b[headLength:r.total]}, b)
}

// bufferChunks collects a chunked body.
func (r *Reader) bufferChunks(b []byte) Step {
	used := 0
	for {
		step, data, n, err := r.chunks.Next(b[used:])
		if err != nil {
			return r.fail(err.Reason)
		}
		if len(r.body)+len(data) > r.bufferLimit {
			return r.fail(tooLarge)
		}
		r.body = append(r.body, data...)
		used += n
		if step == http1.Done {
			return r.complete(Step{Kind: BufferedResponse, Consumed: used, Body: r.body}, b)
		}
		if n == 0 {
			return Step{Kind: NeedMore, Consumed: used}
		}
	}
}

// streamBody returns the next piece of a body that is not chunked.
func (r *Reader) streamBody(b []byte) Step {
	switch {
	case r.remaining == 0:
		return r.complete(Step{Kind: ResponseEnd}, b)
	case len(b) == 0:
		return Step{Kind: NeedMore}
	case r.remaining < 0:
		return Step{Kind: BodyData, Consumed: len(b), Body: b}
	}
	b = b[:min(int64(len(b)), r.remaining)]
	r.remaining -= int64(len(b))
	return Step{Kind: BodyData, Consumed: len(b), Body: b, Last: r.remaining == 0}
}

// streamChunks returns the next piece of a chunked body.
func (r *Reader) streamChunks(b []byte) Step {
	used := 0
	for used < len(b) {
		step, data, n, err := r.chunks.Next(b[used:])
		if err != nil {
			return r.fail(err.Reason)
		}
		used += n
		switch {
		case step == http1.Done:
			return r.complete(Step{Kind: ResponseEnd, Consumed: used}, b)
		case len(data) > 0:
			return Step{Kind: BodyData, Consumed: used, Body: data}
		case n == 0:
			return Step{Kind: NeedMore, Consumed: used}
		}
	}
	return Step{Kind: NeedMore, Consumed: used}
}
