// Package attribution tells where the time of requests went and who waited behind
// whom. It is told of a request's stages and of sends and ends at nodes, with times
// passed in; it does no I/O, reads no clock and starts no goroutine. It decides
// nothing.
package attribution

import (
	"encoding/json"
	"fmt"
	"time"
)

// Component is what a request's time is put down to. Every moment of a request belongs
// to exactly one.
type Component uint8

// The causes.
const (
	Gateway            Component = iota // in the gateway itself: parsing, deciding, writing
	RequestBody                         // its body comes in, at the client's pace
	QueuedUnknown                       // held, and not told for what: its client left first
	QueuedBehindOthers                  // held at its node while requests of other volumes were out
	QueuedBehindOwn                     // held while requests of its own volume were out
	RateLimited                         // held by its volume's limit
	SlowStart                           // held by the guard of a cold node
	Ejected                             // held by the pause of a suspect node
	KeyOrder                            // waits for its key's turn, or for the key to rest
	RetryBackoff                        // between attempts
	FailedAttempts                      // in attempts that brought no answer
	Dialing                             // for a connection to its node
	NodeQueue                           // at the node, waiting (as the node's report tells)
	NodeService                         // at the node, in service
	NodeUnknown                         // at the node, not told which of the two
	ResponseBody                        // its answer passes to the client
	SlowClient                          // the client takes its answer, at its own pace
	EventLoop                           // its head waits for a turn on its event loop
	componentCount
)

// Components is how many causes there are.
const Components = int(componentCount)

var componentNames = [Components]string{
	"gateway", "body_in", "held_untold", "behind_others", "behind_own", "limit", "cold_node", "suspect_node", "turn", "pause",
	"lost_attempts", "connect", "node_queue", "node_work", "node_unknown", "body_out", "slow_client", "loop",
}

// String returns the cause's name in reports.
func (c Component) String() string {
	if c >= componentCount {
		return "unknown"
	}
	return componentNames[c]
}

// ParseComponent finds a cause by its name.
func ParseComponent(name string) (Component, bool) {
	for i, n := range componentNames {
		if n == name {
			return Component(i), true
		}
	}
	return 0, false
}

// Breakdown is time by cause.
type Breakdown [Components]time.Duration

// Total returns the sum over all causes.
func (s *Breakdown) Total() time.Duration {
	var t time.Duration
	for _, d := range s {
		t += d
	}
	return t
}

// Add adds another split.
func (s *Breakdown) Add(o *Breakdown) {
	for i, d := range o {
		s[i] += d
	}
}

// Span follows one request. Its parts always sum to the time from its start to the
// last change of cause: each change puts the time since the one before to one cause.
type Span struct {
	Parts Breakdown
	start time.Duration
	lastChange time.Duration
	component Component
}

// StartSpan starts a span.
func StartSpan(now time.Duration, c Component) Span { return Span{start: now, lastChange: now, component: c} }

// Component returns the present cause.
func (s *Span) Component() Component { return s.component }

// Enter puts the time since the last change down to the present cause, and goes on
// with another. A clock that goes back changes nothing.
func (s *Span) Enter(now time.Duration, c Component) {
	if now > s.lastChange {
		s.Parts[s.component] += now - s.lastChange
		s.lastChange = now
	}
	s.component = c
}

// Elapsed returns the time accounted for so far.
func (s *Span) Elapsed() time.Duration { return s.lastChange - s.start }

// Finish returns the account up to the last change of cause.
func (s *Span) Finish(volume string, o Outcome) Entry {
	return Entry{Volume: volume, Started: s.start, Ended: s.lastChange, Outcome: o, Parts: s.Parts}
}

// Move puts time that was accounted to one cause down to another, as a late report
// tells; no more than is there. It returns what was moved.
func (s *Span) Move(from, to Component, d time.Duration) time.Duration {
	d = min(max(d, 0), s.Parts[from])
	s.Parts[from] -= d
	s.Parts[to] += d
	return d
}

// MarshalText writes the cause's name.
func (c Component) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads a cause's name.
func (c *Component) UnmarshalText(b []byte) error {
	got, ok := ParseComponent(string(b))
	if !ok {
		return fmt.Errorf("attribution: no cause is called %q", b)
	}
	*c = got
	return nil
}

// MarshalJSON writes the times that are not zero, by the causes' names, in
// nanoseconds.
func (s Breakdown) MarshalJSON() ([]byte, error) {
	m := make(map[Component]time.Duration, Components)
	for c, d := range s {
		if d != 0 {
			m[Component(c)] = d
		}
	}
	return json.Marshal(m)
}

// UnmarshalJSON reads what MarshalJSON writes.
func (s *Breakdown) UnmarshalJSON(b []byte) error {
	var m map[Component]time.Duration
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	*s = Breakdown{}
	for c, d := range m {
		s[c] = d
	}
	return nil
}

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	Completed Outcome = iota // by its node
	Rejected                 // by the gateway; trying again was harmless
	Failed                   // by the gateway, with nothing promised
	Aborted                  // its answer broke off
	Canceled                 // the client left before
	outcomeCount
)

// Outcomes is how many there are.
const Outcomes = int(outcomeCount)

var outcomeNames = [Outcomes]string{"answered", "refused", "failed", "cut", "left"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }
