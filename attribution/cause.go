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

// Cause is what a request's time is put down to. Every moment of a request belongs
// to exactly one.
type Cause uint8

// The causes.
const (
	Gateway   Cause = iota // in the gateway itself: parsing, deciding, writing
	BodyIn                 // its body comes in, at the client's pace
	Held                   // held, and not told for what: its client left first
	Others                 // held at its node while requests of other volumes were out
	Own                    // held while requests of its own volume were out
	Limit                  // held by its volume's limit
	ColdNode               // held by the guard of a cold node
	Suspect                // held by the pause of a suspect node
	Turn                   // waits for its key's turn, or for the key to rest
	Pause                  // between attempts
	Lost                   // in attempts that brought no answer
	Connect                // for a connection to its node
	NodeQueue              // at the node, waiting (as the node's report tells)
	NodeWork               // at the node, in service
	NodeTime               // at the node, not told which of the two
	BodyOut                // its answer passes to the client
	Client                 // the client takes its answer, at its own pace
	Loop                   // its head waits for a turn on its event loop
	causes
)

// Causes is how many causes there are.
const Causes = int(causes)

var causeNames = [Causes]string{
	"gateway", "body_in", "held_untold", "behind_others", "behind_own", "limit", "cold_node", "suspect_node", "turn", "pause",
	"lost_attempts", "connect", "node_queue", "node_work", "node_unknown", "body_out", "slow_client", "loop",
}

// String returns the cause's name in reports.
func (c Cause) String() string {
	if c >= causes {
		return "unknown"
	}
	return causeNames[c]
}

// CauseNamed finds a cause by its name.
func CauseNamed(name string) (Cause, bool) {
	for i, n := range causeNames {
		if n == name {
			return Cause(i), true
		}
	}
	return 0, false
}

// Split is time by cause.
type Split [Causes]time.Duration

// Total returns the sum over all causes.
func (s *Split) Total() time.Duration {
	var t time.Duration
	for _, d := range s {
		t += d
	}
	return t
}

// Add adds another split.
func (s *Split) Add(o *Split) {
	for i, d := range o {
		s[i] += d
	}
}

// Span follows one request. Its parts always sum to the time from its start to the
// last change of cause: each change puts the time since the one before to one cause.
type Span struct {
	Parts Split
	start time.Duration
	since time.Duration
	cause Cause
}

// Begin starts a span.
func Begin(now time.Duration, c Cause) Span { return Span{start: now, since: now, cause: c} }

// Cause returns the present cause.
func (s *Span) Cause() Cause { return s.cause }

// To puts the time since the last change down to the present cause, and goes on
// with another. A clock that goes back changes nothing.
func (s *Span) To(now time.Duration, c Cause) {
	if now > s.since {
		s.Parts[s.cause] += now - s.since
		s.since = now
	}
	s.cause = c
}

// Took returns the time accounted for so far.
func (s *Span) Took() time.Duration { return s.since - s.start }

// Account returns the account up to the last change of cause.
func (s *Span) Account(volume string, o Outcome) Entry {
	return Entry{Volume: volume, Started: s.start, Ended: s.since, Outcome: o, Parts: s.Parts}
}

// Move puts time that was accounted to one cause down to another, as a late report
// tells; no more than is there. It returns what was moved.
func (s *Span) Move(from, to Cause, d time.Duration) time.Duration {
	d = min(max(d, 0), s.Parts[from])
	s.Parts[from] -= d
	s.Parts[to] += d
	return d
}

// MarshalText writes the cause's name.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads a cause's name.
func (c *Cause) UnmarshalText(b []byte) error {
	got, ok := CauseNamed(string(b))
	if !ok {
		return fmt.Errorf("attribution: no cause is called %q", b)
	}
	*c = got
	return nil
}

// MarshalJSON writes the times that are not zero, by the causes' names, in
// nanoseconds.
func (s Split) MarshalJSON() ([]byte, error) {
	m := make(map[Cause]time.Duration, Causes)
	for c, d := range s {
		if d != 0 {
			m[Cause(c)] = d
		}
	}
	return json.Marshal(m)
}

// UnmarshalJSON reads what MarshalJSON writes.
func (s *Split) UnmarshalJSON(b []byte) error {
	var m map[Cause]time.Duration
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	*s = Split{}
	for c, d := range m {
		s[c] = d
	}
	return nil
}

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota // by its node
	Refused                 // by the gateway; trying again was harmless
	Failed                  // by the gateway, with nothing promised
	Cut                     // its answer broke off
	Left                    // the client left before
	outcomes
)

// Outcomes is how many there are.
const Outcomes = int(outcomes)

var outcomeNames = [Outcomes]string{"answered", "refused", "failed", "cut", "left"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }
