package dispatch

import (
	"testing"
)

func TestOrderByKey(t *testing.T) {
	r := newRig(t, testConfig())
	put := func(key string) (RequestID, []Action) {
		return r.request(Request{Shard: 0, Class: 1, Key: key, Plan: 1})
	}
	a, acts := put("k")
	expectOutcome(t, "first", acts, a, "sent")
	b, acts := put("k")
	expectOutcome(t, "second waits for its turn", acts, b, "held")
	c, acts := put("other")
	expectOutcome(t, "another key", acts, c, "sent")
	r.complete(c, 0, OK)
	expectOutcome(t, "the turn passes", r.complete(a, 0, OK), b, "sent")
	r.now += 10 * ms
	e, _ := put("k")
	acts = r.handle(ClientCanceled{b})
	expectOutcome(t, "the client of the one running has left; its attempt is out", acts, e, "held")
	acts = r.complete(b, 0, Canceled)
	expectOutcome(t, "the key rests after doubt", acts, e, "held")
	expectOutcome(t, "still", r.advance(149*ms), e, "held")
	expectOutcome(t, "rested", r.advance(ms), e, "sent")
	r.complete(e, 0, OK)
	if len(r.d.keyQueues) != 0 {
		t.Errorf("%d keys kept", len(r.d.keyQueues))
	}
}
