//go:build !race

package modelcheck

// workDivisor reduces the number of states and walks that the tests explore. It is 1 without the
// race detector, which means no reduction.
const workDivisor = 1
