package attribution

import "fmt"

// Component is what a moment of a request's time is attributed to. Every moment belongs to
// exactly one component.
type Component uint8

// The components.
const (
	Gateway            Component = iota // in the gateway itself: parsing, deciding, writing
	RequestBody                         // receiving its body from the client
	QueuedUnknown                       // queued for an unknown reason: the client canceled first
	QueuedBehindOthers                  // queued while requests of other volumes were in flight
	QueuedBehindOwn                     // queued while requests of its own volume were in flight
	RateLimited                         // queued by its volume's rate limit
	SlowStart                           // queued by the slow start of a node
	Ejected                             // queued by the ejection of a node
	KeyOrder                            // waiting for earlier writes of its key or the key's quiescence
	RetryBackoff                        // waiting before a retry
	FailedAttempts                      // in attempts without a response
	Dialing                             // waiting for a connection to its node
	NodeQueue                           // queued at the node, as the node reported
	NodeService                         // in service at the node, as the node reported
	NodeUnknown                         // at the node, which has not reported how the time divides
	ResponseBody                        // forwarding the response from the node
	SlowClient                          // waiting for the client to read the response
	EventLoop                           // waiting for a time slice of its event loop
	componentCount
)

// Components is the number of components.
const Components = int(componentCount)

// componentNames are the names in logs, reports and JSON, which are a stable interface.
var componentNames = [Components]string{
	Gateway:            "gateway",
	RequestBody:        "body_in",
	QueuedUnknown:      "held_untold",
	QueuedBehindOthers: "behind_others",
	QueuedBehindOwn:    "behind_own",
	RateLimited:        "limit",
	SlowStart:          "cold_node",
	Ejected:            "suspect_node",
	KeyOrder:           "turn",
	RetryBackoff:       "pause",
	FailedAttempts:     "lost_attempts",
	Dialing:            "connect",
	NodeQueue:          "node_queue",
	NodeService:        "node_work",
	NodeUnknown:        "node_unknown",
	ResponseBody:       "body_out",
	SlowClient:         "slow_client",
	EventLoop:          "loop",
}

// String returns the component's name in reports.
func (c Component) String() string {
	if c >= componentCount {
		return "unknown"
	}
	return componentNames[c]
}

// ParseComponent returns the component of a name and reports whether there is one.
func ParseComponent(name string) (Component, bool) {
	for i, n := range componentNames {
		if n == name {
			return Component(i), true
		}
	}
	return 0, false
}

// MarshalText implements encoding.TextMarshaler with the component's name.
func (c Component) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Component) UnmarshalText(b []byte) error {
	parsed, ok := ParseComponent(string(b))
	if !ok {
		return fmt.Errorf("attribution: unknown component %q", b)
	}
	*c = parsed
	return nil
}
