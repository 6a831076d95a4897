// Package attribution attributes the latency of requests: which component each moment of a
// request belongs to, and behind which other volumes it waited. Callers report state changes
// of requests with the time at which they happened; the package does no I/O, reads no clock
// and starts no goroutine. Nothing is decided by its results.
package attribution
