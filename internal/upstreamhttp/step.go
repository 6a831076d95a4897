package upstreamhttp

// State is the state of a connection's responses.
type State uint8

// The states of a Reader.
const (
	Idle            State = iota // no request is out
	AwaitingHeaders              // a request is out, and the response's headers are not whole yet
	HeadersReceived              // the owner has to call Stream or Buffer
	Buffered                     // the response is collected as a whole
	Streaming                    // the response's body is passed on piece by piece
	Complete                     // the response is whole; the owner has not called ResponseTaken yet
	Broken                       // nothing more is read
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

// StepKind is the kind of a Step.
type StepKind uint8

// The kinds of steps.
const (
	NeedMore         StepKind = iota // more bytes are needed
	Headers                          // headers of a response that is not buffered at once: Stream or Buffer
	BodyData                         // a piece of a streamed body
	BufferedResponse                 // a buffered response is whole
	ResponseEnd                      // a streamed response is whole
	ProtocolError                    // the input is no valid response: the connection is broken
)

// Step is what a call of Next has read.
type Step struct {
	Kind     StepKind
	Consumed int    // bytes of the input that were consumed
	Body     []byte // of BodyData and BufferedResponse; valid as long as the input
	Last     bool   // with BodyData: it ends a body of known length
	Reason   string // with ProtocolError: the reason
}
