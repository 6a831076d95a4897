//go:build race

package modelcheck

// slower is how much less is explored under the race detector.
const workDivisor = 12
