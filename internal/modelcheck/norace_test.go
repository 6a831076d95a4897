//go:build !race

package modelcheck

// workDivisor is how much less is explored under the race detector.
const workDivisor = 1
