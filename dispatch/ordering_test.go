package dispatch

import "testing"

func TestOrderByKey(t *testing.T) {
	r := newFixture(t, testConfig())
	put := func(key string) (RequestID, []Action) {
		return r.request(Request{Shard: 0, Class: deduplicatedClass, Key: key, Plan: unlimitedPlan})
	}
	a, acts := put("k")
	expectOutcome(t, "first request of the key", acts, a, sent)
	b, acts := put("k")
	expectOutcome(t, "second request of the key while the first is in flight", acts, b, pending)
	c, acts := put("other")
	expectOutcome(t, "request of another key", acts, c, sent)
	r.complete(c, 0, OK)
	expectOutcome(t, "second request after the first is complete", r.complete(a, 0, OK), b, sent)
	r.now += 10 * ms
	e, _ := put("k")
	acts = r.handle(ClientCanceled{b})
	expectOutcome(t, "third request while the canceled second request has an attempt in flight", acts, e, pending)
	acts = r.complete(b, 0, Canceled)
	expectOutcome(t, "third request directly after the ambiguous attempt", acts, e, pending)
	expectOutcome(t, "third request 149 ms after the ambiguous attempt", r.advance(149*ms), e, pending)
	expectOutcome(t, "third request 150 ms after the ambiguous attempt", r.advance(ms), e, sent)
	r.complete(e, 0, OK)
	if len(r.d.keyQueues) != 0 {
		t.Errorf("got %d key queues after all requests are complete, want 0", len(r.d.keyQueues))
	}
}
