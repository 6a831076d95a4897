package modelcheck

// The functions in this file check the final responses that the gateway gives to clients.

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/upstreamhttp"
)

// recordResponse marks the request of a response as possibly executed, unless the node has
// rejected the request. After an invalid response the node may still execute the request, so
// the quiescence period of the request's key starts.
func (w *World) recordResponse(kind MoveKind, c *conn) {
	r := c.request
	if r == nil {
		return
	}
	if kind != RespondReject {
		r.ambiguous = true
	}
	if kind == RespondInvalid {
		w.startQuiescence(r)
	}
}

// startQuiescence starts the quiescence period after a request. Until the period ends, the
// gateway must not send a later request with the same key.
func (w *World) startQuiescence(r *request) {
	r.quiescentAt = max(r.quiescentAt, w.now+w.cfg.Dispatch.Quiescence)
}

// checkForwarded checks that a forwarded response is complete and that it came on the connection
// that carries the request.
func (w *World) checkForwarded(a forwarder.ForwardResponse, r *request, c *conn) {
	switch {
	case c == nil:
		w.reportViolation(ruleConnection, "request %d is given the response of connection %d, which is closed", a.ID, a.Conn)
	case r == nil || c.request != r:
		w.reportViolation(ruleConnection, "request %d is given the response of connection %d, which carries another", a.ID, a.Conn)
	case c.reader.State() != upstreamhttp.Complete:
		w.reportViolation(ruleConnection, "request %d is given a response that is %v", a.ID, c.reader.State())
	}
}

// checkShutdown checks that each request has its final response after the gateway has begun to shut
// down, unless its client has received the headers of a response.
func (w *World) checkShutdown() {
	for _, r := range w.requests {
		if r.unfinished() && !r.headersForwarded && !w.responsePending(r) {
			w.reportViolation(ruleAnswer, "request %d has no response after the shutdown", r.id)
		}
	}
}

// recordHeadersForwarded records that the gateway forwards the headers of a response to the
// client, and checks that no other response came before.
func (w *World) recordHeadersForwarded(c *conn) {
	r := c.request
	if r.headersForwarded || r.finished() {
		w.reportViolation(ruleAnswer, "request %d: a response starts after another, or after its end", r.id)
	}
	r.headersForwarded = true
}

// finish checks a final response and records it as the outcome of the request.
func (w *World) finish(r *request, response forwarder.Action) {
	if r == nil {
		w.reportViolation(ruleAnswer, "%T for an unknown request", response)
		return
	}
	if r.canceled {
		return // the client has disconnected and receives no response
	}
	r.onLoop = false
	r.outcome = outcomeName(response)
	r.responses++
	if r.responses > 1 {
		w.reportViolation(ruleAnswer, "request %d has %d final responses", r.id, r.responses)
	}
	_, aborted := response.(forwarder.AbortResponse)
	_, forwarded := response.(forwarder.ForwardResponse)
	switch {
	case r.headersForwarded && !aborted && !forwarded:
		w.reportViolation(ruleAnswer, "request %d: %T after its response has started", r.id, response)
	case !r.headersForwarded && aborted:
		w.reportViolation(ruleAnswer, "request %d: its response is aborted before it has started", r.id)
	case w.now > r.deadline && !r.headersForwarded && !r.bodyStreaming:
		w.reportViolation(ruleAnswer, "request %d gets its response %v after its deadline", r.id, w.now-r.deadline)
	}
	if reject, ok := response.(forwarder.Reject); ok {
		w.checkRejection(r, reject)
	}
}

// checkRejection checks that the client may safely send a rejected request again, and that the
// rejection says when.
func (w *World) checkRejection(r *request, reject forwarder.Reject) {
	if r.ambiguous && !repeatableByClient(w.class(r)) {
		w.reportViolation(ruleEffects, "request %d is rejected as safe to retry, though it may have been executed", r.id)
	}
	if reject.RetryAfter <= 0 {
		w.reportViolation(ruleAnswer, "request %d is rejected without a time to retry", r.id)
	}
}

// repeatableByClient reports whether a client may retry a request of a class after the request
// has been executed, regardless of the node that receives the retry.
func repeatableByClient(class *dispatch.Class) bool {
	return class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.Deduplicated && class.DedupScope == dispatch.DedupEverywhere
}

// outcomeName returns the outcome constant for a type of final response.
func outcomeName(response forwarder.Action) string {
	switch response.(type) {
	case forwarder.ForwardResponse:
		return outcomeForwarded
	case forwarder.Reject:
		return outcomeRejected
	case forwarder.Fail:
		return outcomeFailed
	case forwarder.AbortResponse:
		return outcomeAborted
	}
	return ""
}
