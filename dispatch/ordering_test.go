package dispatch

import "testing"

func TestOrderByKey(t *testing.T) {
	r := newRig(t, testConfig())
	put := func(key string) (RequestID, []Action) {
		return r.request(Request{Shard: 0, Class: deduplicatedClass, Key: key, Plan: unlimitedPlan})
	}
	a, acts := put("k")
	expectOutcome(t, "first", acts, a, sent)
	b, acts := put("k")
	expectOutcome(t, "second waits for its turn", acts, b, pending)
	c, acts := put("other")
	expectOutcome(t, "another key", acts, c, sent)
	r.complete(c, 0, OK)
	expectOutcome(t, "second has its turn", r.complete(a, 0, OK), b, sent)
	r.now += 10 * ms
	e, _ := put("k")
	acts = r.handle(ClientCanceled{b})
	expectOutcome(t, "the client of the first canceled; its attempt is in flight", acts, e, pending)
	acts = r.complete(b, 0, Canceled)
	expectOutcome(t, "the key is not quiescent after an ambiguous attempt", acts, e, pending)
	expectOutcome(t, "not yet quiescent", r.advance(149*ms), e, pending)
	expectOutcome(t, "quiescent", r.advance(ms), e, sent)
	r.complete(e, 0, OK)
	if len(r.d.keyQueues) != 0 {
		t.Errorf("%d key queues kept", len(r.d.keyQueues))
	}
}
