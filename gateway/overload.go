package gateway

import (
	"strings"
	"time"

	"chalkstand/internal/http1"
	"chalkstand/internal/payload"
	"chalkstand/overload"
)

// newOverloadController returns the overload control of one volume on this worker.
func (w *loopWorker) newOverloadController() *overload.Controller {
	o := w.gateway.cfg.Share.Overload
	c, err := overload.New(overload.Config{
		Target:        o.Target.D(),
		Interval:      o.Interval.D(),
		RetryAfter:    o.Back.D(),
		MaxRetryAfter: o.MaxBack.D(),
	})
	if err != nil {
		panic("gateway: " + err.Error()) // cannot happen: the settings were checked
	}
	return c
}

// rejectOverload rejects a request of which only the head has been read. The connection is put into
// backoff until the retry time, so that a client that retries earlier costs nothing.
func (t *transaction) rejectOverload(r *http1.Request, retryAfter time.Duration) {
	c := t.conn
	c.worker.gateway.metrics.overloaded.Inc()
	t.resource, _, _ = strings.Cut(string(r.Target), "?")
	if !r.None() { // the body is not read
		t.body = &payload.Body{}
	}
	t.respondSlowDown(retryAfter)
	if c.state == stateReading && c.conn.Open() {
		c.conn.Pause()
		c.worker.backoff.add(c, c.worker.gateway.core.now()+retryAfter)
	}
}
