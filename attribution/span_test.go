package attribution

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Whatever the schedule, the parts of a span sum to its time.
func TestSpanSumsExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "start"))
		s := StartSpan(now, Gateway)
		first, latest := now, now
		for _, step := range rapid.SliceOf(rapid.Int64Range(-1e6, 1e9)).Draw(t, "steps") {
			now += time.Duration(step) // clocks that go back change nothing
			s.Enter(now, Component(rapid.IntRange(0, Components-1).Draw(t, "cause")))
			latest = max(latest, now)
			s.Move(Component(rapid.IntRange(0, Components-1).Draw(t, "from")), Component(rapid.IntRange(0, Components-1).Draw(t, "to")), time.Duration(step))
		}
		if s.Parts.Total() != s.Elapsed() || s.Elapsed() != latest-first {
			t.Fatalf("parts %v, took %v, time %v", s.Parts.Total(), s.Elapsed(), latest-first)
		}
		for c, d := range s.Parts {
			if d < 0 {
				t.Fatalf("%v: %v", Component(c), d)
			}
		}
	})
}

func TestCausesHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for c := range Component(Components) {
		back, ok := ParseComponent(c.String())
		if !ok || back != c || seen[c.String()] {
			t.Errorf("%d is %q", c, c)
		}
		seen[c.String()] = true
	}
}
