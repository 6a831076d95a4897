// Package upstreamhttp reads the HTTP responses on one connection to a storage node. Its Reader is a
// state machine without I/O. The owner of the connection reports each request that it sends, passes
// in the bytes that it receives, and gets back steps that describe the response. When the end of a
// response cannot be determined with certainty, the Reader marks the connection as broken for good.
package upstreamhttp

import "chalkstand/internal/http1"

// Status codes that determine how a response is read.
const (
	statusSwitchingProtocols = 101
	firstFinalStatus         = 200 // A response with a lower status code is an interim response.
)

// Reader reads the responses on one connection. The zero value is ready to use once Limits is set.
type Reader struct {
	Limits http1.Limits

	// Response is the head of the current response. It is set from the first step of kind Headers or
	// BufferedResponse on. Its slices point into the input that was passed to Next, except after a
	// call of BufferBody, which copies the headers.
	Response http1.Response

	state       State
	method      string // method of the request that was sent last
	bufferLimit int    // length in bytes of the longest body that the Reader buffers
	head        http1.HeadParser
	total       int            // bytes of head and body together, for a buffered response of known length
	remaining   int64          // bytes of a streamed body that were not read yet, or untilClose
	chunks      *http1.Chunked // decoder of a chunked body; nil for any other body
	body        []byte         // data of a chunked body that is being buffered
	surplus     bool           // The input held more bytes after the end of the response.
}

// untilClose is the value of Reader.remaining for a body that ends when the node closes the
// connection.
const untilClose = -1

// State returns the state of the current request and its response on the connection.
func (r *Reader) State() State { return r.state }

// RequestSent records that the owner sends a request with the given method. The Reader buffers a
// body of at most bufferLimit bytes. RequestSent returns false if the connection must not carry a
// request now.
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

// ResponseTaken records that the owner no longer needs the current response, so that the connection
// may carry another request. If the response is incomplete, ResponseTaken breaks the connection.
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

// MarkBroken marks the connection as broken.
func (r *Reader) MarkBroken() {
	r.state = Broken
	r.body = nil
	r.chunks = nil
}

// Reusable reports whether the connection may carry another request after the current response. The
// response must be complete and must not announce that the connection closes. No bytes may have
// been received after it, because the Reader would take them for the next response.
func (r *Reader) Reusable() bool {
	return r.state == Complete && !r.Response.Close && !r.surplus
}

// Next reads one step of the response from b, which holds all bytes that were received and not yet
// consumed. The owner must call Next again with the remaining bytes until Next returns a step of
// kind NeedMore.
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

// StreamBody makes Next return the body of the current response in pieces. The owner calls it after a
// step of kind Headers.
func (r *Reader) StreamBody() {
	if r.state == HeadersReceived {
		r.state = Streaming
	}
}

// BufferBody makes Next collect the body of the current response and return it as a whole. The owner
// calls it after a step of kind Headers. BufferBody breaks the connection if the response is not
// chunked: Next buffers a short response of known length at once, so that a response of known length
// which reaches BufferBody is too large.
func (r *Reader) BufferBody() Step {
	if r.state != HeadersReceived || r.chunks == nil {
		return r.fail(tooLarge)
	}
	r.state = Buffered
	r.Response.Headers = r.Response.Headers.Clone() // The owner may overwrite the consumed input.
	return Step{Kind: NeedMore}
}

// PeerClosed records that the node has closed the connection. It returns a step of kind ResponseEnd
// if the close ends the current response, and one of kind ProtocolError otherwise.
func (r *Reader) PeerClosed() Step {
	if r.state == Streaming && r.chunks == nil && r.remaining < 0 {
		r.state = Complete
		r.Response.Close = true
		return Step{Kind: ResponseEnd}
	}
	return r.fail("connection closed by the node")
}

const tooLarge = "the response is larger than may be buffered"

// fail breaks the connection and returns a step of kind ProtocolError with the given reason.
func (r *Reader) fail(reason string) Step {
	r.MarkBroken()
	return Step{Kind: ProtocolError, Reason: reason}
}

// complete marks the response as complete and returns s, the step that consumes its last bytes. It
// records in r.surplus whether b holds more bytes after them.
func (r *Reader) complete(s Step, b []byte) Step {
	r.state = Complete
	r.surplus = len(b) > s.Consumed
	return s
}

// readHead reads the head of a response. It skips interim responses.
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
		return r.fail("the node switched protocols without a request to do so")
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

// bufferBody returns a response of known length once b holds all of it. Until then the whole
// response stays in the owner's buffer. headLength is the length of the head if r.Response was
// parsed from this slice b, and 0 if it was parsed from an earlier input.
func (r *Reader) bufferBody(b []byte, headLength int) Step {
	if len(b) < r.total {
		return Step{Kind: NeedMore}
	}
	if headLength == 0 {
		// The head is parsed again, because r.Response points into the earlier input, and the owner
		// may have moved its buffer since.
		headLength, _ = r.head.ParseResponse(b, r.Limits, r.method, &r.Response)
	}
	return r.complete(Step{Kind: BufferedResponse, Consumed: r.total, Body: b[headLength:r.total]}, b)
}

// bufferChunks decodes the chunks in b into r.body, and returns the response once the body is
// complete.
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

// streamBody returns the bytes in b of a streamed body that is not chunked.
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

// streamChunks decodes the chunks in b up to the first data of a streamed chunked body, and returns
// this data.
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
