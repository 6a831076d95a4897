// This file ends the service of a forwarder. Every request gets its final response before the
// forwarder is gone.

package forwarder

import (
	"maps"
	"slices"

	"chalkstand/dispatch"
)

// onShutdown gives every request its final response, except those whose client has received the
// headers of a response: they continue. The dispatcher decides between Reject and Fail.
func (f *Forwarder) onShutdown() {
	f.notify(dispatch.Shutdown{})
	for _, id := range slices.Sorted(maps.Keys(f.requests)) {
		f.endAttempt(f.requests[id])
	}
}

// endAttempt ends the attempt of a request, if it has one that no response has answered yet. The
// dispatcher starts no other attempt, because it has been told of the shutdown.
func (f *Forwarder) endAttempt(r *request) {
	switch r.stage {
	case stageDialing:
		f.abandonDial(r, dispatch.NotSent)
	case stageInFlight:
		f.abandonAttempt(r, dispatch.Canceled)
	case stageDetached:
		f.respond(r, Fail{ID: r.req.ID, Loop: r.loop})
	}
}
