// This file ends the service of a dispatcher. Every request gets its final answer before the
// dispatcher is gone, because nothing answers it afterwards.

package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// handleShutdown gives a final answer to every request without an outstanding attempt. From then on,
// no attempt starts: an arriving request is rejected, and so is one whose attempt ends without a
// response, unless a retry by its client would not be safe.
func (d *Dispatcher) handleShutdown() {
	d.shuttingDown = true
	for _, r := range d.requestsByArrival() {
		if r.state != completed && !r.outstanding {
			d.reject(r, d.cfg.DefaultRetryAfter())
		}
	}
}

// requestsByArrival returns the records of all requests in the order of their arrival.
func (d *Dispatcher) requestsByArrival() []*request {
	byArrival := func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) }
	return slices.SortedFunc(maps.Values(d.requests), byArrival)
}
