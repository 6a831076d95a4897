package invariants

import (
	"net/http"

	"chalkstand/fake/storagenode"
)

// checkResponses checks that each request gets exactly one final response, that the response
// ends before the deadline and has the right content, and that a rejection has a Retry-After
// header. A request needs no response if its client canceled it, if its gateway crashed, or if the
// log ends before the deadline.
func (c *checker) checkResponses() {
	for i := range c.log.Requests {
		r := &c.log.Requests[i]
		due := r.Sent + c.params.Classes[r.Class].Deadline + c.params.ResponseTolerance
		crashedAt, crashed := c.crashTime(r.Gateway)
		lostInCrash := crashed && r.Ended >= crashedAt-c.params.LogTolerance
		switch {
		case r.Responses > 1:
			c.report(NoRequestLost, r.Ended, []string{r.Tag}, "%s got %d responses", r.Tag, r.Responses)
		case r.Responses == 0 && !r.ClientCanceled && !lostInCrash && c.log.End > due:
			c.report(NoRequestLost, r.Ended, []string{r.Tag}, "%s got no response from %s%s",
				r.Tag, r.Gateway, reasonText(r.NoReply))
		case r.Responses == 1 && r.Ended > due:
			late := r.Ended - due + c.params.ResponseTolerance
			c.report(NoRequestLost, r.Ended, []string{r.Tag}, "%s was answered %v after its deadline", r.Tag, late)
		case r.Status == http.StatusServiceUnavailable && !r.HasRetryAfter:
			c.report(NoRequestLost, r.Ended, []string{r.Tag}, "%s was rejected without a Retry-After", r.Tag)
		}
		if r.ContentError != "" {
			c.report(ContentIntact, r.Ended, []string{r.Tag}, "%s: %s", r.Tag, r.ContentError)
		}
	}
}

// checkAttempts checks that a request has at most one attempt in flight, that no attempt arrives
// after the final response, and that the request is not executed more often than its class allows.
func (c *checker) checkAttempts() {
	for tag, entries := range c.entriesByTag {
		r := c.requests[tag]
		for i, e := range entries {
			if i > 0 {
				c.checkConsecutive(entries[i-1], e)
			}
			if r != nil && r.Responses > 0 && !r.Aborted && e.Arrived > r.Ended+c.params.LogTolerance {
				c.report(NoRequestLost, e.Arrived, []string{tag}, "%s arrived at %s after its final response", tag, e.Node)
			}
		}
		if r != nil {
			c.checkExecutions(r, entries)
		}
	}
}

// checkConsecutive checks that an attempt does not arrive before the previous attempt of its request has ended,
// and that no attempt arrives twice.
func (c *checker) checkConsecutive(previous, e storagenode.LogEntry) {
	if e.Arrived < c.attemptEnd(previous)-c.params.LogTolerance {
		c.report(OneAttemptAtATime, e.Arrived, []string{e.Tag}, "%s: attempt %d arrived at %s while attempt %d was in flight at %s",
			e.Tag, e.Attempt, e.Node, previous.Attempt, previous.Node)
	}
	if e.Gateway == previous.Gateway && e.Request == previous.Request && e.Attempt == previous.Attempt {
		c.report(OneAttemptAtATime, e.Arrived, []string{e.Tag}, "%s: attempt %d arrived twice", e.Tag, e.Attempt)
	}
}

// checkExecutions checks a request that is not idempotent. The request must be executed at most once, and not at all
// if it was rejected. If its class is NonIdempotent, it must not be retried after an attempt that may have executed it.
func (c *checker) checkExecutions(r *Request, entries []storagenode.LogEntry) {
	idempotency := c.params.Classes[r.Class].Idempotency
	if idempotency == Idempotent {
		return
	}
	executions := 0
	for _, e := range entries {
		if e.Executed {
			executions++
		}
	}
	if executions > 1 {
		c.report(ExecutedOnce, entries[len(entries)-1].Arrived, []string{r.Tag}, "%s was executed %d times", r.Tag, executions)
	}
	if executions > 0 && r.Status == http.StatusServiceUnavailable && r.Responses == 1 {
		c.report(ExecutedOnce, r.Ended, []string{r.Tag}, "%s was rejected although it was executed", r.Tag)
	}
	if idempotency != NonIdempotent {
		return
	}
	for i, e := range entries[1:] {
		if entries[i].Executed || entries[i].Status == 0 {
			c.report(ExecutedOnce, e.Arrived, []string{r.Tag}, "%s was retried after an ambiguous attempt", r.Tag)
		}
	}
}

// reasonText returns a reason in the form in which it follows a statement, or "" if there is none.
func reasonText(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + reason + ")"
}
