//go:build race

package modelcheck

// workDivisor reduces the number of states and walks that the tests explore, because code runs
// slowly under the race detector.
const workDivisor = 12
