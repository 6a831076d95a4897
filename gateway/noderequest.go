package gateway

import (
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/http1"
)

// nodeRequest is one request to a node, from StartRequest to its result. The forwarder may make
// several attempts for it.
type nodeRequest struct {
	transaction *transaction // that needs it
	worker      *loopWorker  // nil until it is started
	id          dispatch.RequestID
	completed   bool // it has its result or was canceled
	nodeFailed  bool // the last attempt's response was an internal error of the node
	method      string
	head        []byte       // request line and headers, without the header that names the attempt
	body        []byte       // buffered, for a further attempt
	source      bodySource   // of a streamed body; nil: body is all
	maxBuffered int          // a response body up to this is buffered, in bytes
	sink        responseSink // of a larger one; nil: it is a protocol error
	onResult    func(nodeResult)

	volumeRate    float64 // of its volume's plan, units per second
	readsObject   bool    // its cost depends on the object's size
	sizeUnknown   bool    // its cost was estimated
	streamedBytes int64   // of the response body, passed to the sink
}

// bodySource is the origin of a streamed request body.
type bodySource interface {
	// startBody is called when the request's head has been written to n.
	startBody(n *nodeConn)
	// bodyDrained is called when all that was written has been sent.
	bodyDrained()
}

// responseSink receives a streamed response.
type responseSink interface {
	// responseHeaders receives the head. The forwarder makes no further attempt from here on.
	responseHeaders(n *nodeConn, r *http1.Response)
	// responseData receives a part of the body, and reports whether more may follow at once. If
	// not, the sink calls resumeReading of the connection later.
	responseData(b []byte) bool
}

type resultKind int

const (
	resultBuffered resultKind = iota // a complete response, in resp and body
	resultStreamed                   // a complete response, passed to the sink
	resultRejected                   // not executed; may be retried after retryAfter
	resultFailed                     // unknown whether it was executed
	resultAborted                    // the response passed to the sink is incomplete
)

// nodeResult is the result of a nodeRequest. resp and body are valid during onResult only.
type nodeResult struct {
	kind       resultKind
	resp       *http1.Response
	body       []byte
	retryAfter time.Duration // of resultRejected
	timedOut   bool          // of resultFailed
}
