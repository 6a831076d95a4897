package attribution

import (
	"encoding/json"
	"time"
)

// Breakdown is time by component.
type Breakdown [Components]time.Duration

// Total returns the sum over all components.
func (b *Breakdown) Total() time.Duration {
	var total time.Duration
	for _, d := range b {
		total += d
	}
	return total
}

// Add adds the times of another breakdown.
func (b *Breakdown) Add(o *Breakdown) {
	for i, d := range o {
		b[i] += d
	}
}

// move reattributes up to d from one component to another, no more than is there, and
// returns how much was moved.
func (b *Breakdown) move(from, to Component, d time.Duration) time.Duration {
	d = min(max(d, 0), b[from])
	b[from] -= d
	b[to] += d
	return d
}

// MarshalJSON writes the times that are not zero, in nanoseconds by component name.
func (b Breakdown) MarshalJSON() ([]byte, error) {
	m := make(map[Component]time.Duration, Components)
	for c, d := range b {
		if d != 0 {
			m[Component(c)] = d
		}
	}
	return json.Marshal(m)
}

// UnmarshalJSON reads what MarshalJSON writes.
func (b *Breakdown) UnmarshalJSON(text []byte) error {
	var m map[Component]time.Duration
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	*b = Breakdown{}
	for c, d := range m {
		b[c] = d
	}
	return nil
}
