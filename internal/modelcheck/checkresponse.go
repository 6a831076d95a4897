package modelcheck

// Checks of the final responses that clients get.

import (
	"chalkstand/dispatch"
	"chalkstand/forwarder"
	"chalkstand/internal/upstreamhttp"
)

// noteResponse notes what a response says on whether the request was executed.
func (w *World) recordResponse(kind Kind, c *conn) {
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

func (w *World) startQuiescence(r *request) {
	r.quiescentAt = max(r.quiescentAt, w.now+w.cfg.Dispatch.Quiescence)
}

// checkForwarded checks that a response belongs to its request.
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

// noteHeaders notes that a response's headers are forwarded to the client.
func (w *World) recordHeadersForwarded(c *conn) {
	r := c.request
	if r.headersForwarded || r.finished() {
		w.reportViolation(ruleAnswer, "request %d: a response starts after another, or after its end", r.id)
	}
	r.headersForwarded = true
}

// finish gives a client its final response and checks it.
func (w *World) finish(r *request, response forwarder.Action) {
	if r == nil {
		w.reportViolation(ruleAnswer, "%T for an unknown request", response)
		return
	}
	if r.canceled {
		return // the client has disconnected
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

// checkRejection checks that a rejected request may be sent again by its client.
func (w *World) checkRejection(r *request, reject forwarder.Reject) {
	if r.ambiguous && !repeatableByClient(w.class(r)) {
		w.reportViolation(ruleEffects, "request %d is rejected as safe to retry, though it may have been executed", r.id)
	}
	if reject.RetryAfter <= 0 {
		w.reportViolation(ruleAnswer, "request %d is rejected without a time to retry", r.id)
	}
}

// repeatableByClient reports whether requests of a class may be executed again wherever the
// client's retry is sent to.
func repeatableByClient(class *dispatch.Class) bool {
	return class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.Deduplicated && class.DedupScope == dispatch.DedupEverywhere
}

// outcomeName returns the outcome of a final response.
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
