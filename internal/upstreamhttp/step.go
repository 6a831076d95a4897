package upstreamhttp

// State is the state of the exchange of one request and its response on a connection.
type State uint8

// The states of a Reader.
const (
	Idle            State = iota // No request awaits a response.
	AwaitingHeaders              // A request was sent, and the response's head is incomplete.
	HeadersReceived              // The owner must call StreamBody or BufferBody.
	Buffered                     // The Reader collects the body to return it as a whole.
	Streaming                    // The Reader returns the body in pieces.
	Complete                     // The response is complete, and the owner has not called ResponseTaken yet.
	Broken                       // The connection is unusable, and the Reader reads no more bytes.
)

var stateNames = [...]string{
	Idle:            "idle",
	AwaitingHeaders: "awaiting headers",
	HeadersReceived: "headers received",
	Buffered:        "buffered",
	Streaming:       "streaming",
	Complete:        "complete",
	Broken:          "broken",
}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// StepKind tells what Next has read.
type StepKind uint8

// The kinds of steps.
const (
	NeedMore         StepKind = iota // The next step needs more input.
	Headers                          // The head is complete, and the owner must call StreamBody or BufferBody.
	BodyData                         // Step.Body holds a piece of a streamed body.
	BufferedResponse                 // A buffered response is complete, and Step.Body holds its body.
	ResponseEnd                      // A streamed response is complete.
	ProtocolError                    // The input is not a valid response, and the connection is broken.
)

// Step is the part of a response that one call of Next has read.
type Step struct {
	Kind     StepKind
	Consumed int    // number of bytes of the input that the step consumed
	Body     []byte // data of a BodyData or BufferedResponse step; valid as long as the input is unchanged
	Last     bool   // This BodyData step ends a body of known length.
	Reason   string // why a ProtocolError step broke the connection
}
