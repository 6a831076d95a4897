package attribution

import (
	"encoding/json"
	"time"
)

// Breakdown holds a time for each component.
type Breakdown [Components]time.Duration

// Total returns the sum of the times of all components.
func (b *Breakdown) Total() time.Duration {
	var total time.Duration
	for _, d := range b {
		total += d
	}
	return total
}

// Add adds the times of another breakdown, component by component.
func (b *Breakdown) Add(o *Breakdown) {
	for i, d := range o {
		b[i] += d
	}
}

// move reattributes up to d from one component to another. It moves no more than the first
// component holds, and returns the time moved.
func (b *Breakdown) move(from, to Component, d time.Duration) time.Duration {
	d = min(max(d, 0), b[from])
	b[from] -= d
	b[to] += d
	return d
}

// MarshalJSON returns a JSON object that maps component names to times in nanoseconds. It omits
// components whose time is 0.
func (b Breakdown) MarshalJSON() ([]byte, error) {
	m := make(map[Component]time.Duration, Components)
	for c, d := range b {
		if d != 0 {
			m[Component(c)] = d
		}
	}
	return json.Marshal(m)
}

// UnmarshalJSON parses the JSON object that MarshalJSON returns.
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
