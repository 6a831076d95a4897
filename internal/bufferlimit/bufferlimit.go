// Package bufferlimit decides which connection must release its buffers when the buffers of all
// connections together exceed a limit. It does no I/O and reads no clock.
package bufferlimit

import (
	"iter"
	"time"
)

// Usage describes the buffers of a connection that wait for its peer.
type Usage struct {
	Bytes int           // size of the buffers; 0 if the connection waits for nothing
	Since time.Duration // time since which the connection has waited
}

// minAge is the least age with which a buffer counts, so that the size of a new buffer matters, too.
const minAge = time.Millisecond

// cost returns the product of the size and the age of the buffers. A peer that is slow, or has
// stopped, costs more than one that transfers as much at full speed.
func (u Usage) cost(now time.Duration) float64 {
	return float64(u.Bytes) * float64(max(now-u.Since, minAge))
}

// Costliest returns the connection whose buffers cost the most at the time now. It returns false if
// no connection holds a buffer.
func Costliest[C any](conns iter.Seq[C], usage func(C) Usage, now time.Duration) (costliest C, ok bool) {
	highest := 0.0
	for c := range conns {
		if cost := usage(c).cost(now); cost > highest {
			costliest, highest = c, cost
		}
	}
	return costliest, highest > 0
}
