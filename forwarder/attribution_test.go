package forwarder

import (
	"testing"

	"chalkstand/attribution"
	"chalkstand/dispatch"
)

func newAttributionHarness(t *testing.T) *harness {
	t.Helper()
	cfg := testConfig()
	cfg.MaxConnsPerNode = 16
	cfg.Attribution = true
	h := newHarness(t, cfg)
	h.setNode("a", 0, dispatch.Ready)
	return h
}

// startFor starts a request of the given volume at shard 0.
func (h *harness) startFor(volume dispatch.VolumeID, id, class int, key string) *testRequest {
	h.t.Helper()
	h.volume = volume
	return h.start(id, class, 0, key, false)
}

// floodNode starts requests of the volume "flood" that occupy all of the node's
// concurrency, and returns them.
func (h *harness) floodNode() []*testRequest {
	h.t.Helper()
	var flood []*testRequest
	for i := range 4 {
		flood = append(flood, h.startFor("flood", i+1, unsafeClass, ""))
		h.completeDial()
	}
	return flood
}

// The time of a request is attributed to the component that caused it. The wait for a
// node's concurrency is attributed to the volumes that occupied the node.
func TestAttributionNamesTheCause(t *testing.T) {
	h := newAttributionHarness(t)
	flood := h.floodNode()
	review := h.startFor("review", 5, unsafeClass, "")
	h.advance(30 * ms)
	h.complete(flood[0].conn)
	h.advance(10 * ms)
	h.complete(review.conn)
	e := h.entries["review"]
	if e.Parts[attribution.QueuedBehindOthers] != 30*ms || e.Parts[attribution.NodeUnknown] != 10*ms ||
		len(e.Behind) != 1 || e.Behind[0] != (attribution.Contribution{Volume: "flood", Time: 30 * ms}) {
		t.Fatalf("entry of a queued request = %+v, want 30ms behind flood and 10ms of NodeUnknown", e)
	}
	for _, r := range flood[1:] {
		h.complete(r.conn)
	}

	first := h.startFor("first", 11, writeClass, "k")
	second := h.startFor("second", 12, writeClass, "k")
	h.advance(20 * ms)
	h.complete(first.conn)
	h.complete(second.conn)
	if e := h.entries["second"]; e.Parts[attribution.KeyOrder] != 20*ms || e.Parts.Total() != 20*ms {
		t.Fatalf("entry of a request that waits for its key = %+v, want 20ms of KeyOrder only", e)
	}

	retried := h.startFor("retried", 21, readClass, "")
	h.advance(15 * ms)
	h.loseConn(ConnectionLost{Conn: retried.conn})
	h.advance(40 * ms)
	h.complete(retried.conn)
	if e := h.entries["retried"]; e.Parts[attribution.FailedAttempts] != 15*ms ||
		e.Parts[attribution.RetryBackoff] == 0 || e.Parts.Total() != 55*ms {
		t.Fatalf("entry after a lost attempt = %+v, want 15ms of FailedAttempts and some RetryBackoff in 55ms", e)
	}

	stream := h.startFor("stream", 31, readClass, "")
	h.advance(5 * ms)
	stream.streaming = true
	h.handle(ResponseHeaders{Conn: stream.conn, Info: okInfo()})
	h.advance(70 * ms)
	h.complete(stream.conn)
	if e := h.entries["stream"]; e.Parts[attribution.NodeUnknown] != 5*ms || e.Parts[attribution.ResponseBody] != 70*ms {
		t.Fatalf("entry of a streamed response = %+v, want 5ms of NodeUnknown and 70ms of ResponseBody", e)
	}
}
