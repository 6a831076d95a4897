// Package upstreamhttp reads the answers that come on one connection to a storage node.
// It is a state machine without I/O: its owner tells what was sent and what came,
// and hears what that means. A connection of whose framing there is any doubt is
// broken and stays so.
package upstreamhttp

import (
	"chalkstand/internal/http1"
)

// State is where a connection's answers stand.
type State uint8

// The states.
const (
	Idle            State = iota // no request is out
	AwaitingHeaders              // waits for an answer's head
	HeadersReceived              // a head is there that the owner must decide on
	Buffered                     // an answer is collected
	Streaming                    // an answer's body is passed on piece by piece
	Complete                     // the answer is whole; its owner has yet to take it
	Broken                       // nothing more is read
)

var stateNames = [...]string{"resting", "heading", "deciding", "holding", "passing", "complete", "broken"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Kind is what a step of reading brought.
type Kind uint8

// The kinds of step.
const (
	NeedMore         Kind = iota // more bytes are needed
	Headers                      // a head whose body is not collected at once: Stream or Collect
	BodyData                     // a piece of the body that is passed on
	BufferedResponse             // a collected answer is whole
	ResponseEnd                  // an answer that was passed on is whole
	ProtocolError                // what came is no answer: the connection is broken
)

// Step is what reading brought.
type Step struct {
	Kind Kind
	Used int    // bytes that are consumed
	Body []byte // of Data and Whole; it belongs to the buffer that was read
	Last bool   // with Data: nothing of the body follows
	Why  string // of Fault
}

// Reader reads one connection. The zero value, with its limits set, is resting.
type Reader struct {
	Limits http1.Limits

	// Response is the answer's head from Head, Data, Whole or End on. Its bytes are
	// valid as long as the buffer that was read.
	Response http1.Response

	state   State
	method  string
	collect int // an answer's body up to this is collected
	scan    http1.Head
	need    int   // bytes of head and body together, while collecting
	left    int64 // of a body framed by its length; -1: it ends with the connection
	chunk   *http1.Chunked
	held    []byte // of a chunked answer that is collected
	more    bool   // bytes came with the end of the answer that are not part of it
}

// State returns the present state.
func (r *Reader) State() State { return r.state }

// RequestSent tells that a request went out. An answer's body of up to collect bytes is
// collected. A connection that is not resting must carry none: it reports false.
func (r *Reader) RequestSent(method string, collect int) bool {
	if r.state != Idle {
		return false
	}
	r.state, r.method, r.collect = AwaitingHeaders, method, collect
	r.scan.Reset()
	return true
}

// ResponseTaken tells that the answer was taken, or thrown away: another request may go
// out. An answer that is not whole cannot be: the connection is then broken.
func (r *Reader) ResponseTaken() {
	r.held, r.chunk = nil, nil
	if r.state == Complete {
		r.state = Idle
	} else if r.state != Idle {
		r.state = Broken
	}
}

// Break ends reading.
func (r *Reader) Break() { r.state, r.held, r.chunk = Broken, nil, nil }

// Reusable tells whether the connection may carry another request after the answer
// that is complete: the node lets it, and nothing came with the answer's end that
// would be taken for the next answer.
func (r *Reader) Reusable() bool { return r.state == Complete && !r.Response.Close && !r.more }

// whole ends an answer of which used of b was the last.
func (r *Reader) whole(s Step, b []byte) Step {
	r.state, r.more = Complete, len(b) > s.Used
	return s
}

func (r *Reader) fault(why string) Step {
	r.Break()
	return Step{Kind: ProtocolError, Why: why}
}

// Next reads what it can of b, the bytes that have come and were not consumed. It
// is called again with the rest until it needs more.
func (r *Reader) Next(b []byte) Step {
	switch r.state {
	case AwaitingHeaders:
		return r.head(b)
	case Buffered:
		if r.chunk != nil {
			return r.holdChunks(b)
		}
		return r.hold(b, 0)
	case Streaming:
		return r.pass(b)
	case HeadersReceived:
		return Step{Kind: NeedMore}
	case Broken:
		return Step{Kind: ProtocolError, Why: "the connection is broken"}
	}
	if len(b) == 0 {
		return Step{Kind: NeedMore}
	}
	if r.state == Complete {
		return r.fault("more came than the answer")
	}
	return r.fault("an answer came without a request")
}

func (r *Reader) head(b []byte) Step {
	n, err := r.scan.ParseResponse(b, r.Limits, r.method, &r.Response)
	if err != nil {
		return r.fault(err.Reason)
	}
	if n == 0 {
		return Step{Kind: NeedMore}
	}
	h := &r.Response
	if h.Status < 200 {
		if h.Status == 101 {
			return r.fault("the node changed the protocol unasked")
		}
		r.scan.Reset()
		s := r.Next(b[n:])
		s.Used += n
		return s
	}
	r.left, r.chunk = h.Length, nil
	if h.Chunked {
		r.chunk = &http1.Chunked{}
	} else if h.UntilClose {
		r.left = -1
	}
	if !h.Chunked && !h.UntilClose && h.Length <= int64(r.collect) {
		r.need, r.state = n+int(h.Length), Buffered
		return r.hold(b, n)
	}
	r.state = HeadersReceived
	return Step{Kind: Headers, Used: n}
}

// Stream has the body of the answer that is being decided on passed on.
func (r *Reader) Stream() {
	if r.state == HeadersReceived {
		r.state = Streaming
	}
}

// Buffer has it collected. That is for answers in chunks, whose length is not
// known; one that is known to be larger is a fault.
func (r *Reader) Buffer() Step {
	if r.state != HeadersReceived || r.chunk == nil {
		return r.fault("the answer is larger than may be held")
	}
	r.state = Buffered
	r.Response.Headers = r.Response.Headers.Clone() // the buffer moves on
	return Step{Kind: NeedMore}
}

// hold waits until the whole answer is in b; it stays in the connection's buffer
// until then. n is the length of its head, where that was parsed from this very b.
func (r *Reader) hold(b []byte, n int) Step {
	if len(b) < r.need {
		return Step{Kind: NeedMore}
	}
	if n == 0 { // again: the buffer may have moved since
		n, _ = r.scan.ParseResponse(b, r.Limits, r.method, &r.Response)
	}
	return r.whole(Step{Kind: BufferedResponse, Used: r.need, Body: b[n:r.need]}, b)
}

func (r *Reader) holdChunks(b []byte) Step {
	used := 0
	for {
		step, data, n, err := r.chunk.Next(b[used:])
		if err != nil {
			return r.fault(err.Reason)
		}
		if len(r.held)+len(data) > r.collect {
			return r.fault("the answer is larger than may be held")
		}
		r.held = append(r.held, data...)
		used += n
		if step == http1.Done {
			return r.whole(Step{Kind: BufferedResponse, Used: used, Body: r.held}, b)
		}
		if n == 0 {
			return Step{Kind: NeedMore, Used: used}
		}
	}
}

// pass brings the next piece of a body.
func (r *Reader) pass(b []byte) Step {
	used := 0
	for {
		switch {
		case r.chunk != nil:
			if len(b) == used {
				return Step{Kind: NeedMore, Used: used}
			}
			step, data, n, err := r.chunk.Next(b[used:])
			if err != nil {
				return r.fault(err.Reason)
			}
			used += n
			switch {
			case step == http1.Done:
				return r.whole(Step{Kind: ResponseEnd, Used: used}, b)
			case len(data) > 0:
				return Step{Kind: BodyData, Used: used, Body: data}
			case n == 0:
				return Step{Kind: NeedMore, Used: used}
			}
		case r.left == 0:
			return r.whole(Step{Kind: ResponseEnd}, b)
		case len(b) == 0:
			return Step{Kind: NeedMore}
		case r.left > 0:
			b = b[:min(int64(len(b)), r.left)]
			r.left -= int64(len(b))
			return Step{Kind: BodyData, Used: len(b), Body: b, Last: r.left == 0}
		default:
			return Step{Kind: BodyData, Used: len(b), Body: b}
		}
	}
}

// PeerClosed tells that the node has closed its side. End: that was how the answer ends.
// Otherwise nothing whole came.
func (r *Reader) PeerClosed() Step {
	if r.state == Streaming && r.chunk == nil && r.left < 0 {
		r.state = Complete
		r.Response.Close = true
		return Step{Kind: ResponseEnd}
	}
	return r.fault("the connection ended")
}
