package attribution

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func drawComponent(t *rapid.T, label string) Component {
	t.Helper()
	return Component(rapid.IntRange(0, Components-1).Draw(t, label))
}

func requireNoNegativePart(t *rapid.T, parts Breakdown) {
	t.Helper()
	for c, d := range parts {
		if d < 0 {
			t.Fatalf("time in component %v: got %v, want 0 or more", Component(c), d)
		}
	}
}

// The parts of a span sum to its duration, for any sequence of changes and moves.
func TestSpanSumsExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "start"))
		s := StartSpan(now, Gateway)
		first, latest := now, now
		for _, step := range rapid.SliceOf(rapid.Int64Range(-1e6, 1e9)).Draw(t, "steps") {
			now += time.Duration(step) // a negative step must not attribute any time
			s.Enter(now, drawComponent(t, "component"))
			latest = max(latest, now)
			from, to := drawComponent(t, "from"), drawComponent(t, "to")
			s.Move(from, to, time.Duration(step))
		}
		if s.Parts.Total() != s.Elapsed() || s.Elapsed() != latest-first {
			t.Fatalf("sum of the parts: got %v, elapsed %v, want %v", s.Parts.Total(), s.Elapsed(), latest-first)
		}
		requireNoNegativePart(t, s.Parts)
	})
}

// ParseComponent inverts String, and no two components have the same name.
func TestComponentNames(t *testing.T) {
	seen := map[string]bool{}
	for c := range Component(Components) {
		parsed, ok := ParseComponent(c.String())
		if !ok || parsed != c || seen[c.String()] {
			t.Errorf("component %d: name %q is not unique or does not parse back to the component", c, c)
		}
		seen[c.String()] = true
	}
}
