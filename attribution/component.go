package attribution

import "fmt"

// Component is the part of the system, or the reason for waiting, that a moment of a request's
// latency is attributed to. Each moment is attributed to exactly one component.
type Component uint8

// The components say where a request is or what it waits for.
const (
	Gateway            Component = iota // the gateway parses, schedules or writes the request
	RequestBody                         // the gateway receives the request body from the client
	QueuedUnknown                       // the request was queued, but the client canceled before the reason was known
	QueuedBehindOthers                  // the request is queued while requests of other volumes are in flight
	QueuedBehindOwn                     // the request is queued while requests of its own volume are in flight
	RateLimited                         // the request is queued because of its volume's rate limit
	SlowStart                           // the request is queued because a node is in slow start
	Ejected                             // the request is queued because a node is ejected
	KeyOrder                            // the request waits for earlier writes to its key, or for the key's quiescence
	RetryBackoff                        // the request waits before a retry
	FailedAttempts                      // the request spent the time in attempts that got no response
	Dialing                             // the request waits for a connection to its node
	NodeQueue                           // the request is queued at the node, as the node reported
	NodeService                         // the request is in service at the node, as the node reported
	NodeUnknown                         // the request is at the node, which has not reported queue and service times
	ResponseBody                        // the gateway forwards the response from the node
	SlowClient                          // the gateway waits for the client to read the response
	EventLoop                           // the request waits for a time slice of its event loop
	componentCount
)

// Components is the number of components.
const Components = int(componentCount)

// componentNames holds the name of each component in logs, reports and JSON. Stored logs contain
// these names, so they must not change.
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

// String returns the component's name as reports print it.
func (c Component) String() string {
	if c >= componentCount {
		return "unknown"
	}
	return componentNames[c]
}

// ParseComponent returns the component with the given name. It returns false if no component has
// that name.
func ParseComponent(name string) (Component, bool) {
	for i, n := range componentNames {
		if n == name {
			return Component(i), true
		}
	}
	return 0, false
}

// MarshalText implements encoding.TextMarshaler: it returns the component's name.
func (c Component) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler: it accepts the name of a component.
func (c *Component) UnmarshalText(b []byte) error {
	parsed, ok := ParseComponent(string(b))
	if !ok {
		return fmt.Errorf("attribution: unknown component %q", b)
	}
	*c = parsed
	return nil
}
