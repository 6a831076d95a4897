// Package attribution attributes the latency of each request to components, and attributes the
// time that a request waited to the volumes that it waited behind. Callers report the state
// changes of requests and the time of each change. The package does no I/O, reads no clock and
// starts no goroutine. The gateway makes no decision based on the results.
package attribution
