package attribution

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawEntry draws the entry of a request to a node that ended now and did not start before start.
func drawEntry(t *rapid.T, request uint64, start, now time.Duration) Entry {
	t.Helper()
	e := Entry{Started: max(start, now-time.Duration(rapid.Int64Range(0, 3e6).Draw(t, "duration"))), Ended: now}
	left := e.Ended - e.Started
	for left > 0 {
		d := time.Duration(rapid.Int64Range(1, int64(left)).Draw(t, "part"))
		e.Parts[drawComponent(t, "component")] += d
		left -= d
	}
	if d := e.Parts[QueuedBehindOthers]; d > 0 {
		e.Behind = []Contribution{{"a", d / 2}, {"b", d - d/2}}
	}
	e.Unreported = []Unreported{{Request: request, Unknown: e.Parts[NodeUnknown]}}
	return e
}

// The parts of a client span sum to its duration, whether it includes sequential requests to nodes,
// concurrent ones, or none.
func TestClientSpanSumsExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "start"))
		start := now
		s := StartClientSpan(now, Gateway)
		n := rapid.IntRange(0, 6).Draw(t, "requests")
		for i := range n {
			now += time.Duration(rapid.Int64Range(0, 1e6).Draw(t, "interval"))
			s.Enter(now, []Component{Gateway, RequestBody}[i%2])
			e := drawEntry(t, uint64(i), start, now)
			s.Include(&e)
		}
		now += time.Duration(rapid.Int64Range(0, 1e6).Draw(t, "end interval"))
		e := s.End(now, "v", Completed)
		var behind, unknown time.Duration
		for _, b := range e.Behind {
			behind += b.Time
		}
		for _, u := range e.Unreported {
			unknown += u.Unknown
		}
		if e.Parts.Total() != now-start || e.Ended-e.Started != now-start {
			t.Fatalf("sum of the parts: got %v, want %v; parts %v", e.Parts.Total(), now-start, e.Parts)
		}
		if behind > e.Parts[QueuedBehindOthers] || unknown > e.Parts[NodeUnknown] {
			t.Fatalf("got %v behind volumes, want at most %v; got %v unreported, want at most %v",
				behind, e.Parts[QueuedBehindOthers], unknown, e.Parts[NodeUnknown])
		}
		requireNoNegativePart(t, e.Parts)
	})
}

// The parts into which DivideWait divides a wait sum to the length of the wait.
func TestDivideSumsExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ahead []InFlightUnits
		for i := range rapid.IntRange(0, 8).Draw(t, "n") {
			units := rapid.Float64Range(1e-3, 1e3).Draw(t, "units")
			ahead = append(ahead, InFlightUnits{Volume: strconv.Itoa(i), Units: units})
		}
		d := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "wait"))
		var sum time.Duration
		for _, b := range DivideWait(ahead, d) {
			sum += b.Time
		}
		if sum != d {
			t.Fatalf("sum of the contributions: got %v, want %v", sum, d)
		}
	})
}
