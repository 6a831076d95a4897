package gateway

import (
	"time"

	"chalkstand/dispatch"
	"chalkstand/internal/http1"
)

// nodeRequest is one request to a node, from the event StartRequest to the result. The forwarder may
// make several attempts for one request.
type nodeRequest struct {
	transaction *transaction // the client request that this node request serves
	worker      *loopWorker  // nil until startRequest is called
	id          dispatch.RequestID
	completed   bool // the request has its result or was canceled
	nodeFailed  bool // the last attempt's response was an internal error of the node
	method      string
	head        []byte       // request line and headers, without the header that names the attempt
	body        []byte       // the buffered request body, which each attempt sends
	source      bodySource   // sends a streamed request body; nil if the field body holds the whole body
	maxBuffered int          // largest response body that is buffered, in bytes
	sink        responseSink // receives a larger response body; nil if a larger body is a protocol error
	onResult    func(nodeResult)

	volumeRate    float64 // rate limit of the volume's plan, in cost units per second
	readsObject   bool    // the cost depends on the size of the object that is read
	sizeUnknown   bool    // the object's size was unknown, so the cost was estimated
	streamedBytes int64   // bytes of the response body passed to the sink so far
}

// bodySource produces the request body that is streamed to a node.
type bodySource interface {
	// startBody is called once the request's head has been written to n. The source then starts to
	// write the body to n.
	startBody(n *nodeConn)
	// bodyDrained is called when the kernel has accepted all bytes written so far. The source may
	// then write more.
	bodyDrained()
}

// responseSink receives a node's streamed response.
type responseSink interface {
	// responseHeaders receives the head of the response. After this call the forwarder makes no
	// further attempt for the request.
	responseHeaders(n *nodeConn, r *http1.Response)
	// responseData receives a part of the body, and reports whether it accepts the next part at
	// once. If it returns false, the sink later calls the connection's resumeReading.
	responseData(b []byte) bool
}

// resultKind says how a node request ended.
type resultKind int

const (
	resultBuffered resultKind = iota // the complete response is in the fields resp and body
	resultStreamed                   // the complete response has been passed to the sink
	resultRejected                   // not executed, or safe to execute again; the client may retry after retryAfter
	resultFailed                     // the node may or may not have executed the request
	resultAborted                    // the response ended early, after its head was passed to the sink
)

// nodeResult is the result of a nodeRequest. The fields resp and body are valid only until onResult
// returns.
type nodeResult struct {
	kind       resultKind
	resp       *http1.Response
	body       []byte
	retryAfter time.Duration // set if kind is resultRejected
	timedOut   bool          // set if kind is resultFailed and a timeout was the cause
}
