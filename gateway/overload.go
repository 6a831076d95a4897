package gateway

import (
	"strings"
	"time"

	"chalkstand/internal/http1"
	"chalkstand/internal/payload"
	"chalkstand/overload"
)

// newOverloadController returns a controller for the overload control of one volume on this worker.
func (w *loopWorker) newOverloadController() *overload.Controller {
	o := w.gateway.cfg.FairSharing.Overload
	c, err := overload.New(overload.Config{
		Target:        o.Target.D(),
		Interval:      o.Interval.D(),
		RetryAfter:    o.RetryAfter.D(),
		MaxRetryAfter: o.MaxRetryAfter.D(),
	})
	if err != nil {
		panic("gateway: " + err.Error()) // cannot happen: loading the settings validates these values
	}
	return c
}

// rejectOverload rejects a request after its head has been read, before the signature is checked.
// The worker does not read from the connection again until the retry time, so a client that retries
// earlier causes no work.
func (t *transaction) rejectOverload(r *http1.Request, retryAfter time.Duration) {
	c := t.conn
	c.worker.gateway.metrics.overloaded.Inc()
	t.resource, _, _ = strings.Cut(string(r.Target), "?")
	if !r.None() { // marks the body as unread, so the connection closes after the response
		t.body = &payload.Body{}
	}
	t.respondSlowDown(retryAfter)
	if c.state == stateReading && c.conn.Open() {
		c.conn.Pause()
		c.worker.backoff.add(c, c.worker.gateway.core.now()+retryAfter)
	}
}
